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

/// One core in virtual time. Workers and platform answer by themselves unless a
/// test takes that over; all other actions are collected.
class CoreHarness {
 public:
  /// Process `p1` of data centre `dc1` with the peers `p2` (near) and `q1`
  /// (another data centre).
  explicit CoreHarness(std::int32_t workers);

  void Send(Event event);
  /// Lets virtual time pass, with a tick whenever one is due.
  void Advance(Duration duration);
  /// Lets virtual time pass without a tick, as for a process that is paused.
  void Pause(Duration duration) { this->now += duration; }
  [[nodiscard]] Instant Now() const { return this->now; }

  /// Takes the collected actions of one kind out, in order.
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

  /// A request with the next id; the service names are those of `Cell`.
  Request MakeRequest(const std::string& service);
  /// Sends a request.
  /// @return its id
  RequestId SendRequest(const std::string& service,
                        const std::string& key = "");
  /// The start of a request's only task, which must have been sent.
  StartTask TakeStart();
  Reply TakeReply();
  /// Reports the end of a started task.
  void EndTask(const StartTask& start, std::int32_t status = 200,
               TaskEnd end = TaskEnd::kFinished);
  /// A live peer with room for anything.
  void AddPeerWithRoom(const std::string& peer, const std::string& data_center);

  /// Services: `screen` (urgent, idempotent), `booking` (urgent,
  /// non-idempotent), `review` (deferred, idempotent), `letter` (deferred,
  /// non-idempotent), `rota` (gang of two), `means`
  /// (deferred gang of two).
  static Configuration CellConfiguration();

  Core core;
  /// Workers and journal answer by themselves.
  bool workers_answer = true;
  bool journal_answers = true;
  /// Workers that do not answer.
  std::set<WorkerId> silent_workers;
  /// What each worker says it runs.
  std::map<WorkerId, std::vector<RunningTask>> running;
  /// Epoch of the last attach to each worker.
  std::map<WorkerId, Epoch> epochs;
  /// Ended tasks that the next renewal reports.
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
