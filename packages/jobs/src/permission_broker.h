#ifndef MUSTARDPROXY_JOBS_PERMISSION_BROKER_H_
#define MUSTARDPROXY_JOBS_PERMISSION_BROKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/placement_adviser.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "question_queue.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// A permission and the end of its validity.
struct Ticket {
  std::string text;
  Instant expires;
};

/// A worker that may run a step, with the latest permission for it.
struct PermittedWorker {
  SessionNumber session = 0;
  Ticket ticket;
};

/// What the policy service has answered about one step.
struct StepAdvice {
  /// Workers that may run it, by session.
  std::vector<PermittedWorker> permitted;
  /// Workers that may not run it in their current incarnation; sorted.
  std::vector<SessionNumber> refused;
  /// A question is queued or in flight.
  bool asking = false;

  /// @return the latest permission for a worker, or null
  [[nodiscard]] const Ticket* TicketFor(SessionNumber session) const;
  [[nodiscard]] bool Refuses(SessionNumber session) const;
};

/// A worker to ask about.
struct AskedWorker {
  WorkerId id;
  SessionNumber session = 0;
};

/// A process that can ask the policy service.
struct AdviceClient {
  ProcessId process;
  /// Empty for this process itself.
  std::string address;
};

/// Recent load of the processes by short questions.
class ShortQuestionLoad {
 public:
  /// Records the duration of a short question that has ended.
  void Note(Instant now, Duration took);
  /// @return the number of processes to reserve for further short questions
  [[nodiscard]] std::size_t ClientsToReserve(Instant now) const;

 private:
  [[nodiscard]] double BusyAt(Instant now) const;

  /// Microseconds of load, decaying exponentially.
  double busy = 0.0;
  Instant noted;
};

/// Obtains permissions from the policy service, which serves one question at a
/// time per calling host. So questions are distributed over all processes of
/// the cell, one per process, in the order of `QuestionQueue`, and some
/// processes are reserved for short questions. Priorities have no effect here,
/// or the gangs of one queue would keep all processes busy; they decide which
/// step gets the capacity.
class PermissionBroker {
 public:
  /// Selects the workers to ask about at the time when the question is sent.
  /// With an empty result the question is dropped.
  using Chooser = std::function<std::vector<AskedWorker>(const StepRef&)>;

  struct Parts {
    Executor* executor = nullptr;
    PlacementAdviser* adviser = nullptr;
    JobPeers* peers = nullptr;
    EventLog* log = nullptr;
    Metrics* metrics = nullptr;
  };

  /// Called for each question that was answered or has failed.
  using AnswerHandler = std::function<void(const StepRef&)>;

  PermissionBroker(Parts parts, Chooser chooser, AnswerHandler on_answer);

  void SetClients(const std::vector<AdviceClient>& clients);
  /// Queues a question unless one about the step is queued or in flight.
  void RequestPermissions(const PermissionRequest& request);
  /// @return the advice on a step, or null
  [[nodiscard]] const StepAdvice* Find(const StepRef& step) const;
  /// @return the recent share of permitted workers among those asked about
  [[nodiscard]] double PermittedShare(const QueueName& queue) const;
  /// @return by session, how many questions about the worker are in flight;
  ///   none beyond the end
  [[nodiscard]] std::span<const std::uint16_t> QuestionsInFlight() const {
    return this->in_flight;
  }
  /// Marks the permission as expired after a worker has refused it.
  void DropTicket(const StepRef& step, SessionNumber session);
  void ForgetJob(const JobId& job);

 private:
  struct Client {
    std::string address;
    bool busy = false;
    bool busy_with_long = false;
    Instant unavailable_until;
  };
  struct IdleClient {
    ProcessId process;
    /// Null if all processes are busy.
    Client* client = nullptr;
    /// A long question may be sent now.
    bool takes_long = false;
    /// Number of processes that are used, idle or busy.
    std::size_t usable = 0;
    /// When the first process that is not used after a failure is used again;
    /// nothing if all are used.
    std::optional<Instant> next_available;
  };
  struct Sent {
    StepRef step;
    std::vector<AskedWorker> workers;
    ProcessId client;
    Instant at;
    Instant since;
    QueueName queue;
    bool is_long = false;
  };

  using StepNumber = std::pair<std::int32_t, std::int32_t>;

  void SendWaiting();
  /// Sends the waiting questions once another process is used again.
  void SendWhenAvailable(const IdleClient& idle);
  IdleClient FindIdleClient();
  void Send(const WaitingQuestion& waiting, std::vector<AskedWorker> workers,
            const ProcessId& process, Client* client, Duration cost);
  void OnAnswer(const Sent& sent, const Result<Advice>& answer);
  void UpdatePermittedShare(const Sent& sent, const Advice& advice);
  void Record(const Sent& sent, const Advice& advice, StepAdvice* known);

  Parts parts;
  Chooser chooser;
  AnswerHandler on_answer;
  std::map<ProcessId, Client> clients;
  QuestionQueue queue;
  /// By job, then by occurrence and step: a pass looks up each waiting step.
  std::unordered_map<JobId, std::map<StepNumber, StepAdvice>> steps;
  std::map<QueueName, double> permitted_shares;
  std::vector<std::uint16_t> in_flight;
  ShortQuestionLoad short_question_load;
  /// The rest of the waiting questions is looked at in a task of its own.
  bool continues = false;
  /// See SendWhenAvailable.
  bool timer_set = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PERMISSION_BROKER_H_
