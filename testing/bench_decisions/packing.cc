#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "cell.h"
#include "sections.h"

namespace mustardproxy::bench {
namespace {

constexpr int kRounds = 40;
/// Part of the cell that the batch in the count of hosts takes.
constexpr double kBatchPart = 0.6;
/// Ends and starts before the first refusal is looked for.
constexpr int kChurn = 4000;
constexpr double kChurnFill = 0.7;

struct NamedPacking {
  const char* name;
  Packing packing;
};

constexpr NamedPacking kPackings[] = {
    {"first-fit", Packing::kFirstFit},
    {"best-fit", Packing::kBestFit},
    {"spread", Packing::kSpread},
};

/// Small bookings, large batch tasks heavy in memory or in processors.
Resources RandomTask(const CellShape& cell, std::mt19937_64* random) {
  const auto draw = [random](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(*random);
  };
  const std::int64_t cpu = cell.capacity.cpu_milli / 32;
  const std::int64_t memory = cell.capacity.memory_mb / 32;
  switch (draw(0, 3)) {
    case 0:
      return {draw(1, 2) * cpu, draw(1, 2) * memory, 0, 1};
    case 1:
      return {draw(2, 6) * cpu, draw(2, 6) * memory, 0, 1};
    case 2:
      return {draw(2, 6) * cpu, draw(8, 14) * memory, 0, 1};
    default:
      return {draw(8, 14) * cpu, draw(2, 6) * memory, 0, 1};
  }
}

struct Placed {
  WorkerId worker;
  TaskId task;
};

/// One cell under one policy.
class Packer {
 public:
  Packer(const CellShape& cell, Packing packing)
      : ledger(OpenCell(cell)), packing(packing) {}

  bool Place(const Resources& task) {
    const auto worker = this->ledger.Find(task, this->packing, {});
    if (!worker) return false;
    const TaskId id(std::string("t").append(std::to_string(++this->number)));
    if (!this->ledger.Reserve(*worker, id, task)) return false;
    this->running.push_back({*worker, id});
    return true;
  }
  void EndOne(std::mt19937_64* random) {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    this->running.size() - 1);
    std::swap(this->running[pick(*random)], this->running.back());
    this->ledger.Release(this->running.back().worker,
                         this->running.back().task);
    this->running.pop_back();
  }
  /// @return share in use of the part that is used most
  [[nodiscard]] double Used() const {
    const Resources free = this->ledger.TotalFree();
    const Resources whole = this->ledger.TotalCapacity();
    const auto used = [](std::int64_t left, std::int64_t all) {
      return 1.0 - static_cast<double>(left) / static_cast<double>(all);
    };
    return std::max({used(free.cpu_milli, whole.cpu_milli),
                     used(free.memory_mb, whole.memory_mb),
                     used(free.slots, whole.slots)});
  }
  [[nodiscard]] int HostsInUse(const CellShape& cell) const {
    int hosts = 0;
    for (std::int32_t i = 0; i < cell.workers; ++i) {
      const WorkerId id(std::string("w").append(std::to_string(i)));
      hosts += this->ledger.FreeOn(id) == cell.capacity ? 0 : 1;
    }
    return hosts;
  }

 private:
  Ledger ledger;
  Packing packing;
  std::vector<Placed> running;
  int number = 0;
};

struct Figures {
  double stranded = 0;
  double stranded_after_churn = 0;
  double hosts = 0;
  double lower_bound = 0;
};

int LowerBound(const CellShape& cell, const Resources& sum) {
  const auto hosts = [](std::int64_t part, std::int64_t capacity) {
    return static_cast<int>((part + capacity - 1) / capacity);
  };
  return std::max({hosts(sum.cpu_milli, cell.capacity.cpu_milli),
                   hosts(sum.memory_mb, cell.capacity.memory_mb),
                   hosts(sum.slots, cell.capacity.slots)});
}

double StrandedAtFirstRefusal(const CellShape& cell, Packing packing,
                              std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Packer packer(cell, packing);
  while (packer.Place(RandomTask(cell, &random))) {
  }
  return 1.0 - packer.Used();
}

double StrandedAfterChurn(const CellShape& cell, Packing packing,
                          std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Packer packer(cell, packing);
  for (int i = 0; i < kChurn; ++i) {
    while (packer.Used() >= kChurnFill) packer.EndOne(&random);
    packer.Place(RandomTask(cell, &random));
  }
  while (packer.Place(RandomTask(cell, &random))) {
  }
  return 1.0 - packer.Used();
}

void CountHosts(const CellShape& cell, Packing packing, std::uint64_t seed,
                Figures* figures) {
  std::mt19937_64 random(seed);
  Packer packer(cell, packing);
  Resources sum;
  while (packer.Used() < kBatchPart) {
    const Resources task = RandomTask(cell, &random);
    if (!packer.Place(task)) break;
    sum += task;
  }
  figures->hosts += packer.HostsInUse(cell);
  figures->lower_bound += LowerBound(cell, sum);
}

Figures Measure(const CellShape& cell, Packing packing, std::uint64_t seed) {
  Figures figures;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    const std::uint64_t own = seed * kRounds + round;
    figures.stranded += StrandedAtFirstRefusal(cell, packing, own);
    figures.stranded_after_churn += StrandedAfterChurn(cell, packing, own);
    CountHosts(cell, packing, own, &figures);
  }
  figures.stranded /= kRounds;
  figures.stranded_after_churn /= kRounds;
  figures.hosts /= kRounds;
  figures.lower_bound /= kRounds;
  return figures;
}

}  // namespace

void BenchPacking(const BenchOptions& options) {
  const CellShape cell = Dlonie();
  std::printf(
      "share of the scarcest resource stranded at the first task that does "
      "not fit, mean of %d rounds; hosts for a batch of %.0f%%; baseline: "
      "first-fit\n",
      kRounds, kBatchPart * 100);
  std::printf("%-10s %9s %7s | %9s %7s | %6s %7s %7s\n", "policy", "stranded",
              "ratio", "churned", "ratio", "hosts", "ratio", "bound");
  Figures baseline;
  for (const NamedPacking& named : kPackings) {
    const Figures figures = Measure(cell, named.packing, options.seed);
    if (named.packing == Packing::kFirstFit) baseline = figures;
    std::printf(
        "%-10s %8.2f%% %7.3f | %8.2f%% %7.3f | %6.2f %7.3f %7.2f\n", named.name,
        figures.stranded * 100, figures.stranded / baseline.stranded,
        figures.stranded_after_churn * 100,
        figures.stranded_after_churn / baseline.stranded_after_churn,
        figures.hosts, figures.hosts / baseline.hosts, figures.lower_bound);
  }
}

}  // namespace mustardproxy::bench
