#ifndef MUSTARDPROXY_JOBS_ADVICE_DESK_H_
#define MUSTARDPROXY_JOBS_ADVICE_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "guard.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/placement_adviser.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy::jobs {

/// A permission as long as it holds.
struct Ticket {
  std::string text;
  Instant expires;
};

/// What the policy service has said of one step.
struct StepAdvice {
  /// Workers that may run it, with the last permission for each.
  std::map<WorkerId, Ticket> permitted;
  /// Workers that may not, in this life of theirs.
  std::set<WorkerId> refused;
  /// A question waits or is on its way.
  bool asking = false;

  [[nodiscard]] const Ticket* Valid(const WorkerId& worker, Instant now) const;
};

/// A process that can ask the policy service.
struct AdviceLane {
  ProcessId process;
  /// Empty for this process itself.
  std::string address;
};

/// One step that needs permissions.
struct AdviceNeed {
  StepRef step;
  QueueName queue;
  std::int32_t priority = 0;
  AdvicePolicy policy;
};

/// Gets permissions from the policy service. It serves one question at a time
/// for each calling host, so questions are spread over all processes of the
/// cell, one on each, and the most urgent ones go first. Some processes are
/// kept for short questions, which would otherwise wait behind long ones.
class AdviceDesk {
 public:
  /// Chooses the workers to ask about at the moment when the question is sent;
  /// none: the question is dropped.
  using Chooser = std::function<std::vector<WorkerId>(const StepRef&)>;

  struct Parts {
    Executor* executor = nullptr;
    PlacementAdviser* adviser = nullptr;
    JobPeers* peers = nullptr;
    EventLog* log = nullptr;
    Metrics* metrics = nullptr;
  };

  AdviceDesk(Parts parts, Chooser chooser, std::function<void()> on_answer);

  void SetLanes(const std::vector<AdviceLane>& lanes);
  /// Queues a question unless one about the step is under way.
  void Want(const AdviceNeed& need);
  /// @return what is known of a step, or null
  [[nodiscard]] const StepAdvice* Find(const StepRef& step) const;
  /// @return which share of the workers asked about was permitted lately
  [[nodiscard]] double PermittedShare(const QueueName& queue) const;
  /// A worker has refused this permission.
  void DropTicket(const StepRef& step, const WorkerId& worker);
  void ForgetJob(const JobId& job);

 private:
  struct Lane {
    std::string address;
    bool busy = false;
    bool busy_with_long = false;
    Instant out_until;
  };
  struct Waiting {
    AdviceNeed need;
    Instant since;
    std::uint64_t number = 0;
  };
  struct Sent {
    StepRef step;
    std::vector<WorkerId> workers;
    ProcessId lane;
    Instant at;
    Instant since;
    QueueName queue;
  };

  void Pump();
  Lane* FreeLane(bool long_question, ProcessId* process);
  void Send(const Waiting& waiting, std::vector<WorkerId> workers,
            const ProcessId& process, Lane* lane, Duration cost);
  void OnAnswer(const Sent& sent, const Result<Advice>& answer);
  void NoteShare(const Sent& sent, const Advice& advice);
  void Record(const Sent& sent, const Advice& advice, StepAdvice* known);

  Parts parts;
  Chooser chooser;
  std::function<void()> on_answer;
  std::map<ProcessId, Lane> lanes;
  std::vector<Waiting> queue;
  std::uint64_t next_number = 1;
  std::map<StepRef, StepAdvice> steps;
  std::map<QueueName, double> permitted_shares;
  Guard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ADVICE_DESK_H_
