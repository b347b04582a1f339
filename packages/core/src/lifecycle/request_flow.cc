#include "lifecycle/request_flow.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {
namespace {

/// Time in the queue after which a request may be forwarded to a peer with free
/// resources.
constexpr Duration kForwardAfter = std::chrono::milliseconds(200);
constexpr Duration kForwardRoundInterval = std::chrono::milliseconds(100);
/// Maximum number of requests examined in one round of forwarding; bounds its
/// duration.
constexpr std::size_t kForwardsPerRound = 32;
/// Time after the deadline in which an answer of the worker is still accepted.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(100);

}  // namespace

void RequestFlow::On(const RequestArrived& event) {
  CoreContext& context = this->parts->context;
  const Request& request = event.request;
  if (this->parts->table.Seen(request.id) ||
      this->parts->deferred.Find(request.id) != nullptr) {
    return;
  }
  context.Record(RequestEvent(TimelineKind::kRequestArrived, request.id,
                              request.service.Text()));
  if (!this->Admit(request)) {
    return;
  }
  ActiveRequest entry;
  entry.request = request;
  if (entry.request.team.Empty()) {
    entry.request.team = context.configuration.default_team;
  }
  if (entry.request.origin.Empty()) {
    entry.request.origin = context.Self();
  }
  entry.terms = *TermsOf(context.configuration, request.service);
  entry.arrived = context.now;
  entry.deadline = context.now + request.timeout;
  entry.placement_deadline =
      context.now + std::min(request.timeout, entry.terms.max_wait);
  entry.last_attempt = this->parts->ProcessNumber() * kAttemptsPerProcess;
  ActiveRequest* added = this->parts->table.Add(std::move(entry));
  this->parts->retry_budget.OnRequest(context.now);
  if (!request.idempotency_key.empty() && request.hops == 0) {
    this->parts->claims.Begin(*added);
    return;
  }
  this->Place(added);
}

bool RequestFlow::Admit(const Request& request) {
  const CoreContext& context = this->parts->context;
  const auto refuse = [&](Error error, std::string text) {
    this->parts->answers.RefuseArrival(request, error, std::move(text));
    return false;
  };
  if (context.stopping) {
    return refuse(Error::kShuttingDown, "this entry process is stopping");
  }
  if (context.configuration.version == 0) {
    return refuse(Error::kStarting, "no configuration has arrived yet");
  }
  const auto limit = static_cast<std::size_t>(context.options.max_requests);
  if (this->parts->table.Size() >= limit) {
    return refuse(Error::kTooManyConnections,
                  "max_requests is " + std::to_string(limit));
  }
  if (!TermsOf(context.configuration, request.service)) {
    return refuse(Error::kUnknownService, "service " + request.service.Text());
  }
  const TeamId& team =
      request.team.Empty() ? context.configuration.default_team : request.team;
  if (!context.configuration.teams.contains(team)) {
    return refuse(Error::kUnknownTeam, "team " + team.Text());
  }
  return true;
}

void RequestFlow::Place(ActiveRequest* entry) {
  if (entry->terms.deferred) {
    this->parts->deferred.Accept(entry);
    return;
  }
  const Admission admission = this->Queue(entry);
  if (admission.refusal) {
    if (!this->ForwardUnqueued(entry, admission)) {
      this->parts->answers.RefuseAdmission(entry, admission);
    }
    return;
  }
  const RequestId id = entry->request.id;
  this->parts->placing.Run();
  // Placing may have changed the table, though it never answers a request.
  entry = this->parts->table.Find(id);
  if (entry == nullptr || entry->phase != RequestPhase::kQueued) {
    return;
  }
  if (this->parts->forwarding.TryForward(entry, Reach::kOwnDataCenter)) {
    return;
  }
  this->parts->context.Record(RequestEvent(TimelineKind::kRequestQueued, id));
  this->parts->table.queued.push_back(id);
  this->next_forward_round = std::min(this->next_forward_round,
                                      this->parts->context.now + kForwardAfter);
}

bool RequestFlow::ForwardUnqueued(ActiveRequest* entry,
                                  const Admission& admission) {
  // Failure: a process that owns no worker has forwarded as much as its peer's
  // last digest had resources for, and refuses everything else until the next
  // digest, although the peer has finished the work and would queue more.
  // Requests are then refused while workers are idle. So the request is
  // forwarded anyway and the peer decides.
  if (admission.refusal == Error::kNoWorker) {
    return this->parts->forwarding.TryForwardToOwner(entry);
  }
  return this->parts->forwarding.TryForward(entry, Reach::kAnywhere);
}

Admission RequestFlow::Queue(ActiveRequest* entry) {
  Admission admission =
      this->parts->placing.Enqueue(*entry, entry->placement_deadline);
  if (admission.refusal) {
    return admission;
  }
  ++entry->last_attempt;
  entry->phase = RequestPhase::kQueued;
  entry->queued_at = this->parts->context.now;
  return admission;
}

void RequestFlow::OnPlaced(std::span<const Placement> placements) {
  const CoreContext& context = this->parts->context;
  ActiveRequest* entry = this->parts->table.Find(placements.front().request);
  if (entry == nullptr || entry->phase != RequestPhase::kQueued) {
    this->parts->placing.ReleasePlacements(placements);
    return;
  }
  entry->phase = RequestPhase::kRunning;
  entry->attempt = Attempt{};
  entry->attempt.number = entry->last_attempt;
  const bool detached = placements.size() > 1;
  const Duration left = entry->deadline - context.now + kAnswerGrace;
  const Duration timeout = detached ? kDetachedStartTimeout : left;
  this->parts->placing.RecordWait(entry->terms.profile, entry->arrived);
  for (const Placement& placement : placements) {
    this->parts->placing.Plan(placement, entry->request.service,
                              entry->terms.max_run, detached);
    entry->attempt.slots.push_back(
        {placement.task, placement.worker, SlotState::kPending, {}});
  }
  for (const Placement& placement : placements) {
    this->parts->tasks.Send(placement.task, entry->request.body, timeout);
  }
}

void RequestFlow::OnExpired(const RequestId& request) {
  ActiveRequest* entry = this->parts->table.Find(request);
  if (entry == nullptr || entry->phase != RequestPhase::kQueued) {
    return;
  }
  this->parts->answers.Refuse(
      entry, Error::kWaitTooLong, kUnavailableStatus,
      "no resources became free within the maximum wait",
      this->parts->scheduler.RetryAfter(this->parts->context.now));
}

void RequestFlow::On(const CancelRequested& event) {
  ActiveRequest* entry = this->parts->table.Find(event.request);
  if (entry == nullptr || entry->phase == RequestPhase::kJournalling) {
    return;
  }
  entry->caller_gone = true;
  switch (entry->phase) {
    case RequestPhase::kClaiming:
      this->parts->claims.Abandon(entry->request);
      this->parts->answers.Refuse(entry, Error::kCancelled, kUnavailableStatus,
                                  "cancelled");
      return;
    case RequestPhase::kQueued:
      this->parts->scheduler.Cancel(event.request);
      this->parts->answers.Refuse(entry, Error::kCancelled, kUnavailableStatus,
                                  "cancelled");
      return;
    case RequestPhase::kRunning:
      // A non-idempotent task runs on, since stopping it could leave a partial
      // effect.
      if (entry->terms.idempotent) {
        this->StopTasks(entry);
      }
      return;
    case RequestPhase::kForwarded:
      this->parts->forwarding.Cancel(entry);
      return;
    case RequestPhase::kRecalling:
    case RequestPhase::kJournalling:
      return;
  }
}

void RequestFlow::Recall(ActiveRequest* entry, std::uint64_t query) {
  entry->recalls.push_back(query);
  entry->caller_gone = true;
  switch (entry->phase) {
    case RequestPhase::kQueued:
      this->parts->scheduler.Cancel(entry->request.id);
      this->parts->answers.AnswerRecalls(entry, entry->may_have_run,
                                         DeferredState::kCancelled);
      this->parts->answers.Refuse(entry, Error::kCancelled, kUnavailableStatus,
                                  "recalled");
      return;
    case RequestPhase::kRunning:
      this->StopTasks(entry);
      return;
    default:
      this->parts->answers.AnswerRecalls(entry, true, DeferredState::kUnknown);
      return;
  }
}

void RequestFlow::OnDeadline(const RequestId& request) {
  ActiveRequest* entry = this->parts->table.Find(request);
  if (entry == nullptr) {
    return;
  }
  switch (entry->phase) {
    case RequestPhase::kClaiming:
      this->parts->claims.Abandon(entry->request);
      this->parts->answers.Refuse(
          entry, Error::kJournalUnavailable, kUnavailableStatus,
          "the idempotency key was not claimed in time");
      return;
    case RequestPhase::kQueued:
      this->parts->scheduler.Cancel(request);
      this->OnExpired(request);
      return;
    case RequestPhase::kRunning:
      this->StopTasks(entry);
      this->parts->answers.AnswerUnknown(
          entry, Error::kDeadlineExceeded,
          "the caller's timeout passed while the task ran");
      return;
    case RequestPhase::kForwarded:
      this->parts->context.Emit(ForwardCancel{entry->peer, request});
      this->parts->answers.AnswerUnknown(
          entry, Error::kDeadlineExceeded,
          "the caller's timeout passed at a peer");
      return;
    case RequestPhase::kRecalling:
      this->parts->answers.AnswerUnknown(
          entry, Error::kPeerLost,
          "a lost peer did not confirm in time that it stopped the request");
      return;
    case RequestPhase::kJournalling:
      this->parts->deferred.OnAcceptTimeout(entry);
      return;
  }
}

void RequestFlow::Tick() {
  const Instant now = this->parts->context.now;
  for (const RequestId& request : this->parts->table.TakeExpired(now)) {
    this->OnDeadline(request);
  }
  if (now >= this->next_forward_round) {
    this->ForwardWaiting();
  }
}

void RequestFlow::ForwardWaiting() {
  const Instant now = this->parts->context.now;
  std::deque<RequestId>& queued = this->parts->table.queued;
  std::size_t examined = 0;
  std::size_t left = queued.size();
  for (; left > 0 && examined < kForwardsPerRound; --left) {
    const RequestId id = queued.front();
    ActiveRequest* entry = this->parts->table.Find(id);
    if (entry == nullptr || entry->phase != RequestPhase::kQueued) {
      queued.pop_front();
      continue;
    }
    if (now - entry->queued_at < kForwardAfter) {
      break;
    }
    queued.pop_front();
    ++examined;
    const bool half_waited =
        now - entry->arrived > (entry->placement_deadline - entry->arrived) / 2;
    const Reach reach = half_waited ? Reach::kAnywhere : Reach::kOwnDataCenter;
    if (!this->parts->forwarding.TryForward(entry, reach)) {
      queued.push_back(id);
    }
  }
  this->next_forward_round =
      queued.empty() ? Instant::max() : now + kForwardRoundInterval;
}

Instant RequestFlow::NextWakeup() const {
  return std::min(this->parts->table.NextDeadline(), this->next_forward_round);
}

}  // namespace mustardproxy::detail
