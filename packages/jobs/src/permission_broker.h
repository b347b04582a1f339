#ifndef MUSTARDPROXY_JOBS_PERMISSION_BROKER_H_
#define MUSTARDPROXY_JOBS_PERMISSION_BROKER_H_

#include <cstdint>
#include <functional>
#include <map>
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

/// A permission as long as it holds.
struct Ticket {
  std::string text;
  Instant expires;
};

/// A worker that may run a step, with the last permission for it.
struct PermittedWorker {
  SessionNumber session = 0;
  Ticket ticket;
};

/// What the policy service has said of one step.
struct StepAdvice {
  /// Workers that may run it, by session.
  std::vector<PermittedWorker> permitted;
  /// Workers that may not, in this life of theirs; sorted.
  std::vector<SessionNumber> refused;
  /// A question waits or is on its way.
  bool asking = false;

  /// @return the last permission for a worker, or null
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

/// How busy short questions have kept processes lately.
class ShortQuestionLoad {
 public:
  /// A short question has ended.
  void Note(Instant now, Duration took);
  /// @return processes that should be kept for the next ones
  [[nodiscard]] std::size_t ClientsToReserve(Instant now) const;

 private:
  [[nodiscard]] double BusyAt(Instant now) const;

  /// Microseconds, the older the less they count.
  double busy = 0.0;
  Instant noted;
};

/// Gets permissions from the policy service. It serves one question at a time
/// for each calling host, so questions are spread over all processes of the
/// cell, one on each, in the order of `QuestionQueue`, and some processes are
/// kept for short ones. Priorities do not count here, or the gangs of one queue
/// would keep all processes busy; they decide who gets the room.
class PermissionBroker {
 public:
  /// Chooses the workers to ask about at the moment when the question is sent;
  /// none: the question is dropped.
  using Chooser = std::function<std::vector<AskedWorker>(const StepRef&)>;

  struct Parts {
    Executor* executor = nullptr;
    PlacementAdviser* adviser = nullptr;
    JobPeers* peers = nullptr;
    EventLog* log = nullptr;
    Metrics* metrics = nullptr;
  };

  /// Told of each question that was answered, or failed.
  using AnswerHandler = std::function<void(const StepRef&)>;

  PermissionBroker(Parts parts, Chooser chooser, AnswerHandler on_answer);

  void SetClients(const std::vector<AdviceClient>& clients);
  /// Queues a question unless one about the step is under way.
  void RequestPermissions(const PermissionRequest& request);
  /// @return what is known of a step, or null
  [[nodiscard]] const StepAdvice* Find(const StepRef& step) const;
  /// @return which share of the workers asked about was permitted lately
  [[nodiscard]] double PermittedShare(const QueueName& queue) const;
  /// A worker has refused this permission.
  void DropTicket(const StepRef& step, SessionNumber session);
  void ForgetJob(const JobId& job);

 private:
  struct Client {
    std::string address;
    bool busy = false;
    bool busy_with_long = false;
    Instant unavailable_until;
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
  Client* FindIdleClient(bool long_question, ProcessId* process);
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
  /// By job, and then by occurrence and step: a pass looks one up for each
  /// step that waits.
  std::unordered_map<JobId, std::map<StepNumber, StepAdvice>> steps;
  std::map<QueueName, double> permitted_shares;
  ShortQuestionLoad short_question_load;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PERMISSION_BROKER_H_
