#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/ledger.h"

namespace mustardproxy {
namespace {

constexpr Resources kCapacity{16000, 64000, 2, 8};
constexpr int kFewWorkers = 90;
constexpr int kManyWorkers = 400;
constexpr int kSteps = 30000;

/// Reference model of the ledger without indexes.
struct Model {
  struct Entry {
    Resources used;
    std::map<TaskId, Resources> tasks;
    bool placeable = true;
  };
  std::map<WorkerId, Entry> workers;

  [[nodiscard]] Resources Free(const WorkerId& worker) const {
    const Entry& entry = this->workers.at(worker);
    if (!entry.placeable) return {};
    return kCapacity - entry.used;
  }
  [[nodiscard]] bool FitsSomewhere(const Resources& task) const {
    return std::ranges::any_of(this->workers, [&](const auto& known) {
      return known.second.placeable && task.FitsIn(this->Free(known.first));
    });
  }
  [[nodiscard]] Resources TotalFree() const {
    Resources total;
    for (const auto& [id, entry] : this->workers) total += this->Free(id);
    return total;
  }
};

class RandomOperations {
 public:
  RandomOperations(std::uint64_t seed, int workers)
      : random(seed), workers(workers) {
    for (int i = 0; i < workers; ++i) {
      this->AddWorker(WorkerId(std::string("w").append(std::to_string(i))));
    }
  }

  void Step() {
    const std::int64_t kind = this->Draw(0, 99);
    if (kind < 55) this->Place();
    if (kind >= 55 && kind < 95) this->End();
    if (kind >= 95 && kind < 97) this->TogglePlaceable();
    if (kind >= 97) this->AddWorker(this->AnyWorker());
    if (kind < 2) this->RemoveAnyWorker();
    if (kind == 2) this->AddRemovedWorkers();
    BOOST_REQUIRE(this->ledger.TotalFree() == this->model.TotalFree());
  }

 private:
  std::int64_t Draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
  }
  WorkerId AnyWorker() {
    return WorkerId(std::string("w").append(
        std::to_string(this->Draw(0, this->workers - 1))));
  }
  void AddWorker(const WorkerId& id) {
    WorkerDescription worker;
    worker.id = id;
    WorkerReport report;
    report.worker = id;
    report.capacity = kCapacity;
    this->ledger.AddWorker(worker, report);
    this->model.workers[id] = {};
    this->removed.erase(id);
  }
  void RemoveAnyWorker() {
    if (this->removed.size() >= kMaxRemoved) return;
    const WorkerId worker = this->AnyWorker();
    this->ledger.RemoveWorker(worker);
    this->model.workers.erase(worker);
    this->removed.insert(worker);
  }
  /// Adds all removed workers at once, so that the number of workers varies
  /// widely.
  void AddRemovedWorkers() {
    if (this->removed.size() < kMaxRemoved) return;
    for (const WorkerId& worker : std::set<WorkerId>(this->removed)) {
      this->AddWorker(worker);
    }
  }
  void Place() {
    const Resources task{this->Draw(1, 8) * 1000, this->Draw(1, 30) * 1000,
                         this->Draw(0, 9) == 0 ? 1 : 0, 1};
    const auto packing = static_cast<Packing>(this->Draw(0, 2));
    const auto found = this->ledger.Find(task, packing, {});
    BOOST_REQUIRE(found.has_value() == this->model.FitsSomewhere(task));
    if (!found) return;
    BOOST_REQUIRE(task.FitsIn(this->model.Free(*found)));
    const TaskId id(std::string("t").append(std::to_string(++this->number)));
    BOOST_REQUIRE(this->ledger.Reserve(*found, id, task));
    this->model.workers[*found].used += task;
    this->model.workers[*found].tasks[id] = task;
  }
  void End() {
    const WorkerId worker = this->AnyWorker();
    if (this->removed.contains(worker)) return;
    Model::Entry& entry = this->model.workers[worker];
    if (entry.tasks.empty()) return;
    const auto ended = entry.tasks.begin();
    this->ledger.Release(worker, ended->first);
    entry.used -= ended->second;
    entry.tasks.erase(ended);
  }
  void TogglePlaceable() {
    const WorkerId worker = this->AnyWorker();
    if (this->removed.contains(worker)) return;
    Model::Entry& entry = this->model.workers[worker];
    entry.placeable = !entry.placeable;
    this->ledger.SetPlaceable(worker, entry.placeable);
  }

  static constexpr std::size_t kMaxRemoved = 60;

  std::mt19937_64 random;
  int workers;
  std::set<WorkerId> removed;
  Ledger ledger;
  Model model;
  int number = 0;
};

BOOST_AUTO_TEST_SUITE(ledger_random)

// Failure: a task is rejected by its worker or waits although a worker has
// capacity, because an index diverges from the entries it is built from. Tasks
// start and end and workers are ejected, removed and added in random order.
BOOST_AUTO_TEST_CASE(the_indexes_agree_with_a_scan_at_every_step) {
  constexpr std::uint64_t kSeed = 20260101;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  for (const int workers : {kFewWorkers, kManyWorkers}) {
    RandomOperations operations(kSeed, workers);
    for (int i = 0; i < kSteps; ++i) operations.Step();
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
