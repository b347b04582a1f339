#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cell.h"
#include "mustardproxy/core/scheduler.h"
#include "sections.h"

namespace mustardproxy::bench {
namespace {

constexpr int kPlacements = 200'000;
/// Part of the slots in use while placements are timed.
constexpr double kFill = 0.85;

/// Where the time goes is a find, a reserve and a free each.
class PlacementTable {
 public:
  PlacementTable() = default;
  PlacementTable(const PlacementTable&) = delete;
  PlacementTable& operator=(const PlacementTable&) = delete;
  virtual ~PlacementTable() = default;
  virtual std::optional<WorkerId> Place(const TaskId& task,
                                        const Resources& resources) = 0;
  virtual void Free(const WorkerId& worker, const TaskId& task) = 0;
};

class IndexedTable final : public PlacementTable {
 public:
  explicit IndexedTable(const CellShape& cell) : ledger(OpenCell(cell)) {}
  std::optional<WorkerId> Place(const TaskId& task,
                                const Resources& resources) override {
    auto worker = this->ledger.Find(resources, Packing::kBestFit, {});
    if (!worker || !this->ledger.Reserve(*worker, task, resources)) {
      return std::nullopt;
    }
    return worker;
  }
  void Free(const WorkerId& worker, const TaskId& task) override {
    this->ledger.Release(worker, task);
  }

 private:
  Ledger ledger;
};

/// Baseline: looks at every worker, with the same bookkeeping of tasks.
class LinearTable final : public PlacementTable {
 public:
  explicit LinearTable(const CellShape& cell);
  std::optional<WorkerId> Place(const TaskId& task,
                                const Resources& resources) override;
  void Free(const WorkerId& worker, const TaskId& task) override;

 private:
  struct Entry {
    WorkerId id;
    Resources free;
    std::unordered_map<TaskId, Resources> tasks;
  };
  Resources capacity;
  std::vector<Entry> workers;
  std::unordered_map<WorkerId, std::size_t> by_id;
};

LinearTable::LinearTable(const CellShape& cell) : capacity(cell.capacity) {
  for (std::int32_t i = 0; i < cell.workers; ++i) {
    const WorkerId id(std::string("w").append(std::to_string(i)));
    this->by_id[id] = this->workers.size();
    this->workers.push_back({id, cell.capacity, {}});
  }
}

std::optional<WorkerId> LinearTable::Place(const TaskId& task,
                                           const Resources& resources) {
  Entry* best = nullptr;
  double best_left = 0;
  for (Entry& entry : this->workers) {
    if (!resources.FitsIn(entry.free)) continue;
    const Resources left = entry.free - resources;
    const double score = static_cast<double>(left.cpu_milli) /
                             static_cast<double>(this->capacity.cpu_milli) +
                         static_cast<double>(left.memory_mb) /
                             static_cast<double>(this->capacity.memory_mb) +
                         static_cast<double>(left.slots) /
                             static_cast<double>(this->capacity.slots);
    if (best != nullptr && score >= best_left) continue;
    best = &entry;
    best_left = score;
  }
  if (best == nullptr) return std::nullopt;
  Entry& chosen = this->workers[this->by_id.at(best->id)];
  chosen.tasks.emplace(task, resources);
  chosen.free -= resources;
  return chosen.id;
}

void LinearTable::Free(const WorkerId& worker, const TaskId& task) {
  Entry& entry = this->workers[this->by_id.at(worker)];
  const auto found = entry.tasks.find(task);
  entry.free += found->second;
  entry.tasks.erase(found);
}

struct Placed {
  WorkerId worker;
  TaskId task;
};

/// @return ns per placement and its end, at a steady fill
double Time(PlacementTable* table, const CellShape& cell, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::int64_t> size(1, 4);
  const auto task_of = [](int number) {
    return TaskId(
        std::string("q").append(std::to_string(number)).append("/0/1"));
  };
  const auto resources_of = [&]() {
    return Resources{size(random) * cell.capacity.cpu_milli / 32,
                     size(random) * cell.capacity.memory_mb / 32, 0, 1};
  };
  std::vector<Placed> running;
  const double wanted =
      kFill * static_cast<double>(cell.workers * cell.capacity.slots);
  int number = 0;
  while (static_cast<double>(running.size()) < wanted) {
    TaskId task = task_of(++number);
    const auto worker = table->Place(task, resources_of());
    if (!worker) break;
    running.push_back({*worker, std::move(task)});
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kPlacements; ++i) {
    std::uniform_int_distribution<std::size_t> pick(0, running.size() - 1);
    Placed& ended = running[pick(random)];
    table->Free(ended.worker, ended.task);
    ended.task = task_of(++number);
    const Resources resources = resources_of();
    auto worker = table->Place(ended.task, resources);
    if (worker) ended.worker = std::move(*worker);
  }
  const std::chrono::duration<double, std::nano> passed =
      std::chrono::steady_clock::now() - begin;
  return passed.count() / kPlacements;
}

/// @return ns per request through the whole scheduler at a steady fill
double TimeScheduler(const CellShape& cell) {
  const Mix mix = MakeMix(cell, {"a", "b", "c"});
  const char* const teams[] = {"a", "b", "c"};
  Ledger ledger = OpenCell(cell);
  Scheduler scheduler;
  scheduler.Configure(mix.configuration);
  std::vector<TaskId> running;
  const auto wanted = static_cast<std::size_t>(
      kFill * static_cast<double>(cell.workers * cell.capacity.slots));
  Instant now{};
  std::size_t oldest = 0;
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kPlacements + static_cast<int>(wanted); ++i) {
    if (i == static_cast<int>(wanted)) {
      begin = std::chrono::steady_clock::now();
    }
    now += std::chrono::microseconds(100);
    QueuedRequest request;
    request.request = RequestId(std::string("q").append(std::to_string(i)));
    request.service = ServiceId("screen");
    request.team = TeamId(teams[i % 3]);
    request.arrived = now;
    request.placement_deadline = now + std::chrono::seconds(2);
    if (scheduler.Enqueue(now, ledger, std::move(request)).refusal) continue;
    for (Placement& placement : scheduler.Schedule(now, &ledger, 100)) {
      running.push_back(std::move(placement.task));
    }
    if (running.size() - oldest >= wanted) {
      scheduler.OnTaskEnded(now, &ledger, running[oldest++], true);
    }
  }
  const std::chrono::duration<double, std::nano> passed =
      std::chrono::steady_clock::now() - begin;
  return passed.count() / kPlacements;
}

}  // namespace

void BenchPlacementCost(const BenchOptions& options) {
  std::printf("%8s %14s %14s %8s %22s\n", "workers", "index ns", "scan ns",
              "ratio", "request, whole, ns");
  for (const std::int32_t workers : {50, 150, 300, 1200}) {
    CellShape cell = Dlonie();
    cell.workers = workers;
    IndexedTable indexed(cell);
    LinearTable linear(cell);
    const double index_ns = Time(&indexed, cell, options.seed);
    const double scan_ns = Time(&linear, cell, options.seed);
    std::printf("%8d %14.0f %14.0f %8.2f %22.0f\n", workers, index_ns, scan_ns,
                index_ns / scan_ns, TimeScheduler(cell));
  }
}

}  // namespace mustardproxy::bench
