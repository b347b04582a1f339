#ifndef MUSTARDPROXY_FAULT_MATRIX_MODEL_WORKER_H_
#define MUSTARDPROXY_FAULT_MATRIX_MODEL_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/events.h"
#include "node.h"
#include "promises.h"

namespace mustardproxy::fault_matrix {

/// How long a task runs, and what it answers.
struct TaskScript {
  Duration run{0};
  std::int32_t status = 200;
};

/// A worker by the rules of docs/PROTOCOLS.md.
class ModelWorker : public Node {
 public:
  struct Rules {
    /// A start or renewal under a lapsed lease is refused; only a new attach
    /// is accepted then.
    bool refuses_after_lapse = false;
    /// `GET /v1/tasks/{task}` names the worker's run.
    bool names_incarnation = true;
  };
  ModelWorker(Simulation* simulation, Promises* promises,
              WorkerDescription description, Resources capacity, Rules rules);

  void Start();
  [[nodiscard]] const WorkerDescription& Description() const {
    return this->description;
  }
  [[nodiscard]] bool Runs(const TaskId& task) const {
    return this->tasks.contains(task);
  }
  [[nodiscard]] bool Busy() const { return !this->tasks.empty(); }
  /// @return true if that run of the process has a lease in force here
  [[nodiscard]] bool HeldBy(const ProcessId& process,
                            Incarnation process_run) const;
  /// @return who attached last, if anybody did since this worker's start
  [[nodiscard]] const ProcessId& LastHolder() const { return this->holder; }
  void FailAll(Duration lasting);
  void Heal();

  /// The calls; a refusal is a `WorkerRefused` or an error.
  Event Attach(const AttachWorker& call, const ProcessId& holder,
               Incarnation holder_run);
  Event Renew(const RenewWorker& call);
  Event Release(const ReleaseWorker& call);
  Event Stop(const StopTask& call);
  Event Query(const QueryTask& call);
  /// @param answer gets the answer, for an attached task when it has ended
  void StartTaskHere(const StartTask& call, const TaskScript& script,
                     std::function<void(Event)> answer);

 protected:
  void OnKilled() override;
  void OnStarted() override;
  void OnResumed() override;

 private:
  struct Task {
    RunningTask about;
    Instant started;
    Instant ends;
    Instant stop_by;
    Instant lease_until;
    std::int32_t status = 200;
    std::function<void(Event)> answer;
  };

  void Lapse();
  void EndTask(const TaskId& task, TaskEnd end, std::int32_t status);
  [[nodiscard]] WorkerRefused Refusal(Epoch epoch) const;
  [[nodiscard]] bool Accepts(Epoch epoch) const;
  [[nodiscard]] WorkerReport Report(std::uint64_t after) const;
  [[nodiscard]] Resources Used() const;
  void CheckAt(Instant when);

  Promises* promises;
  WorkerDescription description;
  Resources capacity;
  Rules rules;
  Incarnation incarnation = 0;
  Epoch highest = 0;
  bool attached = false;
  ProcessId holder;
  Incarnation holder_run = 0;
  Duration lease{0};
  Instant lease_until;
  std::map<TaskId, Task> tasks;
  std::set<TaskId> seen;
  std::map<TaskId, EndedTask> ended;
  std::vector<TaskId> ended_order;
  Instant fails_until;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_MODEL_WORKER_H_
