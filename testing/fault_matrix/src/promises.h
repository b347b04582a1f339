#ifndef MUSTARDPROXY_FAULT_MATRIX_PROMISES_H_
#define MUSTARDPROXY_FAULT_MATRIX_PROMISES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/core.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::fault_matrix {

/// What is asked of a service in the matrix.
struct WorkKind {
  ServiceId service;
  bool idempotent = true;
  bool deferred = false;
  std::int32_t tasks = 1;
};

/// The judge: it sees what callers were told and what workers really ran, and
/// notes each broken promise.
class Promises {
 public:
  /// A caller has sent a request.
  void OnSent(const RequestId& request, const WorkKind& kind,
              const ProcessId& entry);
  void OnAnswer(const RequestId& request, const Answer& answer);
  void OnAccepted(const RequestId& request);
  /// The entry process of the request died or was stopped, so its caller may
  /// get no answer.
  void OnEntryGone(const ProcessId& entry);

  /// The entry process says that everything in progress has ended.
  void OnGracefulEnd(const ProcessId& entry);

  /// A worker begins to run a task.
  void OnRun(const WorkerId& worker, const TaskId& task,
             const RequestId& request);
  void OnRunEnded(const WorkerId& worker, const TaskId& task,
                  const RequestId& request, TaskEnd end, Duration run);
  /// What a worker runs now, against what it has.
  void OnLoad(const WorkerId& worker, const Resources& used,
              const Resources& capacity);
  void OnConfiguration(const std::string& process_run,
                       ConfigurationVersion version);
  /// A start was sent to a worker that its sender knew to be leaving for
  /// longer than allowed.
  void OnStartAtLeaving(const WorkerId& worker);
  void OnJournalled(const JournalRecord& record);
  /// A caller was told the state of deferred work.
  void OnStatus(const RequestId& request,
                const std::optional<DeferredStatus>& status);

  /// @return true if a caller was told that the deferred work is accepted
  [[nodiscard]] bool Accepted(const RequestId& request) const;
  /// @return true if each request has its answer and each deferred one its end
  [[nodiscard]] bool AllSettled() const;
  /// Checks what must hold once everything has healed and come to rest.
  void CheckAtEnd(ConfigurationVersion newest,
                  const std::vector<ConfigurationVersion>& in_force);
  [[nodiscard]] static bool IsIdle(const CoreStatus& status);
  /// Checks that a process keeps no room and no request for what is over.
  void CheckIdle(const ProcessId& process, const CoreStatus& status);
  void CheckResult(const RequestId& request,
                   const std::optional<DeferredStatus>& status);

  [[nodiscard]] const std::vector<std::string>& Broken() const {
    return this->broken;
  }
  /// Requests whose callers still wait for an answer.
  [[nodiscard]] std::vector<RequestId> WaitingRequests() const;
  /// Deferred work that was accepted and has no end yet.
  [[nodiscard]] std::vector<RequestId> OpenDeferred() const;
  /// Deferred work that was accepted, for the questions at the end.
  [[nodiscard]] std::vector<RequestId> AcceptedRequests() const;
  [[nodiscard]] std::int64_t Completed() const { return this->completed; }
  [[nodiscard]] std::int64_t NotRun() const { return this->not_run; }
  [[nodiscard]] std::int64_t Unknown() const { return this->unknown; }
  [[nodiscard]] std::int64_t Sent() const {
    return static_cast<std::int64_t>(this->requests.size());
  }
  /// Tasks that began to run.
  [[nodiscard]] std::int64_t Runs() const { return this->runs; }

 private:
  struct Seen {
    WorkKind kind;
    ProcessId entry;
    bool entry_gone = false;
    std::int32_t answers = 0;
    std::optional<Outcome> outcome;
    bool accepted = false;
    /// A caller was told that it was cancelled before it ran.
    bool told_never_ran = false;
    /// The end that a caller was told.
    std::optional<DeferredState> told_end;
    std::int32_t ends = 0;
    std::int32_t starts = 0;
    /// Tasks that finished, by attempt.
    std::map<std::string, std::int32_t> finished;
    /// Tasks that began to run, by attempt.
    std::map<std::string, std::int32_t> started;
    /// Longest run of a task, by attempt.
    std::map<std::string, Duration> longest_run;
    /// Where each task of the request runs now, by its index.
    std::map<std::string, std::set<std::string>> running;
  };

  void Break(std::string what);
  void CheckAnswer(const RequestId& request, Seen* seen, const Answer& answer);

  std::map<RequestId, Seen> requests;
  std::map<std::string, ConfigurationVersion> versions;
  std::vector<std::string> broken;
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t runs = 0;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_PROMISES_H_
