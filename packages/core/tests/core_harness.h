#ifndef MUSTARDPROXY_CORE_TESTS_CORE_HARNESS_H_
#define MUSTARDPROXY_CORE_TESTS_CORE_HARNESS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mustardproxy/core/core.h"

namespace mustardproxy::testing {

/// A core driven in virtual time. Workers and platform answer automatically
/// unless a test disables this; all other actions are collected.
class CoreHarness {
 public:
  /// Creates process `p1` of data centre `dc1` with the peers `p2` (same data
  /// centre) and `q1` (another data centre).
  explicit CoreHarness(std::int32_t workers);

  void Send(Event event);
  /// Advances virtual time and delivers each tick that is due.
  void Advance(Duration duration);
  /// Advances virtual time without ticks, as for a suspended process.
  void Pause(Duration duration) { this->now += duration; }
  [[nodiscard]] Instant Now() const { return this->now; }

  /// Removes and returns the collected actions of one kind, in order.
  template <typename Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> taken;
    Actions left;
    for (Action& action : this->actions) {
      if (auto* typed = std::get_if<Kind>(&action)) {
        taken.push_back(std::move(*typed));
      } else {
        left.push_back(std::move(action));
      }
    }
    this->actions = std::move(left);
    return taken;
  }

  /// @return a request with the next id; `service` is one of
  ///   `CellConfiguration()`
  Request MakeRequest(const std::string& service);
  /// Sends a request.
  /// @return its id
  RequestId SendRequest(const std::string& service,
                        const std::string& key = "");
  /// Takes the start of a request's only task, which must have been sent.
  StartTask TakeStart();
  Reply TakeReply();
  /// Reports the end of a started task.
  void EndTask(const StartTask& start, std::int32_t status = 200,
               TaskEnd end = TaskEnd::kFinished);
  /// Adds a live peer with free resources.
  void AddPeerWithRoom(const std::string& peer, const std::string& data_center);

  /// Services: `screen` (urgent, idempotent), `booking` (urgent,
  /// non-idempotent), `review` (deferred, idempotent), `letter` (deferred,
  /// non-idempotent), `rota` (gang of two), `means`
  /// (deferred gang of two).
  static Configuration CellConfiguration();

  Core core;
  /// Whether workers and the journal answer automatically.
  bool workers_answer = true;
  bool journal_answers = true;
  /// Unreachable workers.
  std::set<WorkerId> silent_workers;
  /// Running tasks reported by each worker.
  std::map<WorkerId, std::vector<RunningTask>> running;
  /// Epoch of the last attach to each worker.
  std::map<WorkerId, Epoch> epochs;
  /// Ended tasks reported with the next renewal.
  std::map<WorkerId, std::vector<EndedTask>> ended;
  Incarnation worker_incarnation = 77;

 private:
  void Perform(Actions fresh);
  bool Answer(const Action& action);
  [[nodiscard]] WorkerReport Report(const WorkerId& worker, Epoch epoch);

  Instant now{std::chrono::seconds(1)};
  Actions actions;
  std::int32_t last_request = 0;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_CORE_TESTS_CORE_HARNESS_H_
