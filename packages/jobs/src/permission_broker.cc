#include "permission_broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Weight of one answer in the moving average of the share of permitted
/// workers, and the initial value of that average.
constexpr double kPermittedShareWeight = 0.05;
constexpr double kInitialPermittedShare = 0.4;
/// Processes reserved for short questions: one plus twice the number that these
/// have kept busy recently, but at most one in three. A burst of urgent steps
/// needs three times the usual number. Reserving that many at all times would
/// delay long questions, which take up to a second.
constexpr double kSpareShortClients = 1.0;
constexpr double kShortClientsPerBusy = 2.0;
constexpr std::size_t kClientsPerShortClient = 3;
/// Time constant of the average of recent load.
constexpr Duration kLoadDecayTime = milliseconds(1500);

/// Maximum number of questions that are dropped in one go.
constexpr std::size_t kMaxDroppedQuestions = 16;

std::pair<std::int32_t, std::int32_t> StepNumberOf(const StepRef& step) {
  return {step.occurrence, step.step};
}

void Permit(SessionNumber session, Ticket ticket, StepAdvice* known) {
  for (PermittedWorker& one : known->permitted) {
    if (one.session != session) continue;
    one.ticket = std::move(ticket);
    return;
  }
  known->permitted.push_back({session, std::move(ticket)});
}

void Refuse(SessionNumber session, StepAdvice* known) {
  std::erase_if(known->permitted, [&](const PermittedWorker& one) {
    return one.session == session;
  });
  const auto place =
      std::lower_bound(known->refused.begin(), known->refused.end(), session);
  const bool there = place != known->refused.end() && *place == session;
  if (!there) known->refused.insert(place, session);
}

/// @param steps advice by job, then by occurrence and step
/// @return the advice on a step, or null
template <typename Steps>
auto* FindAdvice(Steps& steps, const StepRef& step) {
  const auto job = steps.find(step.job);
  using Found = decltype(&job->second.begin()->second);
  if (job == steps.end()) return Found{nullptr};
  const auto found = job->second.find(StepNumberOf(step));
  return found == job->second.end() ? nullptr : &found->second;
}

Duration Cost(const AdvicePolicy& policy, std::size_t workers) {
  return policy.decision +
         policy.per_worker * static_cast<std::int64_t>(workers);
}

}  // namespace

void ShortQuestionLoad::Note(Instant now, Duration took) {
  this->busy = this->BusyAt(now) + static_cast<double>(took.count());
  this->noted = now;
}

double ShortQuestionLoad::BusyAt(Instant now) const {
  const auto passed = static_cast<double>((now - this->noted).count());
  return this->busy *
         std::exp(-passed / static_cast<double>(kLoadDecayTime.count()));
}

std::size_t ShortQuestionLoad::ClientsToReserve(Instant now) const {
  const double clients =
      this->BusyAt(now) / static_cast<double>(kLoadDecayTime.count());
  return static_cast<std::size_t>(
      std::ceil(kSpareShortClients + kShortClientsPerBusy * clients));
}

const Ticket* StepAdvice::TicketFor(SessionNumber session) const {
  const auto found = std::find_if(
      this->permitted.begin(), this->permitted.end(),
      [&](const PermittedWorker& one) { return one.session == session; });
  return found == this->permitted.end() ? nullptr : &found->ticket;
}

bool StepAdvice::Refuses(SessionNumber session) const {
  return std::binary_search(this->refused.begin(), this->refused.end(),
                            session);
}

PermissionBroker::PermissionBroker(Parts parts, Chooser chooser,
                                   AnswerHandler on_answer)
    : parts(parts),
      chooser(std::move(chooser)),
      on_answer(std::move(on_answer)) {}

void PermissionBroker::SetClients(const std::vector<AdviceClient>& present) {
  std::map<ProcessId, Client> kept;
  for (const AdviceClient& client : present) {
    Client& entry = kept[client.process];
    const auto former = this->clients.find(client.process);
    const bool same = former != this->clients.end() &&
                      former->second.address == client.address;
    if (same) entry = former->second;
    entry.address = client.address;
  }
  this->clients = std::move(kept);
  this->SendWaiting();
}

void PermissionBroker::RequestPermissions(const PermissionRequest& request) {
  StepAdvice& known = this->steps[request.step.job][StepNumberOf(request.step)];
  if (std::exchange(known.asking, true)) return;
  this->queue.Push(request, this->parts.executor->Now());
  this->SendWaiting();
}

const StepAdvice* PermissionBroker::Find(const StepRef& step) const {
  return FindAdvice(this->steps, step);
}

void PermissionBroker::DropTicket(const StepRef& step, SessionNumber session) {
  StepAdvice* known = FindAdvice(this->steps, step);
  if (known == nullptr) return;
  for (PermittedWorker& one : known->permitted) {
    if (one.session == session) one.ticket.expires = Instant::min();
  }
}

void PermissionBroker::ForgetJob(const JobId& job) {
  this->steps.erase(job);
  this->queue.Forget(job);
}

PermissionBroker::IdleClient PermissionBroker::FindIdleClient() {
  const Instant now = this->parts.executor->Now();
  std::size_t longs = 0;
  IdleClient idle;
  for (auto& [name, client] : this->clients) {
    if (client.unavailable_until > now) {
      idle.next_available =
          std::min(idle.next_available.value_or(client.unavailable_until),
                   client.unavailable_until);
      continue;
    }
    ++idle.usable;
    if (client.busy_with_long) ++longs;
    if (client.busy || idle.client != nullptr) continue;
    idle.process = name;
    idle.client = &client;
  }
  const std::size_t kept =
      std::min(idle.usable / kClientsPerShortClient,
               this->short_question_load.ClientsToReserve(now));
  idle.takes_long = longs < std::max<std::size_t>(1, idle.usable - kept);
  return idle;
}

void PermissionBroker::SendWaiting() {
  for (std::size_t dropped = 0; dropped < kMaxDroppedQuestions;) {
    if (this->queue.Size() == 0) return;
    // Usually no process is idle while many questions wait, and nothing else
    // is looked at then.
    const IdleClient idle = this->FindIdleClient();
    if (idle.client == nullptr) return this->SendWhenAvailable(idle);
    const auto waiting =
        this->queue.TakeNext(this->parts.executor->Now(), idle.takes_long);
    if (!waiting) return this->SendWhenAvailable(idle);
    std::vector<AskedWorker> workers = this->chooser(waiting->request.step);
    if (workers.empty()) {
      StepAdvice* known = FindAdvice(this->steps, waiting->request.step);
      if (known != nullptr) known->asking = false;
      ++dropped;
      continue;
    }
    const Duration cost = Cost(waiting->request.policy, workers.size());
    const bool is_long = IsLong(waiting->request.policy);
    idle.client->busy_with_long = is_long;
    if (is_long) this->queue.CountLongSent();
    this->Send(*waiting, std::move(workers), idle.process, idle.client, cost);
  }
  // Failure: a change makes all waiting questions pointless, and dropping
  // thousands of them at once occupies the control thread.
  if (std::exchange(this->continues, true)) return;
  this->parts.executor->Post(this->guard.Wrap([this] {
    this->continues = false;
    this->SendWaiting();
  }));
}

// Failure: all processes fail within the time for which each is not used
// afterwards, no answer is due that would send the waiting questions, and the
// steps that they are about are never started.
void PermissionBroker::SendWhenAvailable(const IdleClient& idle) {
  if (!idle.next_available || std::exchange(this->timer_set, true)) return;
  const Duration delay = *idle.next_available - this->parts.executor->Now();
  if (idle.usable == 0) {
    this->parts.log->Write("advice", "questions-held",
                           {{"waiting", this->queue.Size()},
                            {"processes", this->clients.size()},
                            {"for_ms", WholeMilliseconds(delay)}});
  }
  this->parts.executor->After(delay, this->guard.Wrap([this] {
    this->timer_set = false;
    this->SendWaiting();
  }));
}

void PermissionBroker::Send(const WaitingQuestion& waiting,
                            std::vector<AskedWorker> workers,
                            const ProcessId& process, Client* client,
                            Duration cost) {
  client->busy = true;
  AdviceQuestion question{
      waiting.request.step, {}, cost + kAdviceTimeoutMargin};
  for (const AskedWorker& worker : workers) {
    question.workers.push_back(worker.id);
    if (worker.session >= this->in_flight.size()) {
      this->in_flight.resize(worker.session + std::size_t{1});
    }
    ++this->in_flight[worker.session];
  }
  const Sent sent{
      waiting.request.step,          std::move(workers), process,
      this->parts.executor->Now(),   waiting.since,      waiting.request.queue,
      IsLong(waiting.request.policy)};
  auto done = this->guard.Wrap([this, sent](const Result<Advice>& answer) {
    this->OnAnswer(sent, answer);
  });
  if (client->address.empty()) {
    this->parts.adviser->Ask(std::move(question), std::move(done));
  } else {
    this->parts.peers->Ask(client->address, question, std::move(done));
  }
}

void PermissionBroker::OnAnswer(const Sent& sent,
                                const Result<Advice>& answer) {
  const Instant now = this->parts.executor->Now();
  for (const AskedWorker& worker : sent.workers) {
    --this->in_flight[worker.session];
  }
  if (!sent.is_long) {
    this->short_question_load.Note(
        now, std::chrono::duration_cast<Duration>(now - sent.at));
  }
  const auto client = this->clients.find(sent.client);
  if (client != this->clients.end()) {
    client->second.busy = false;
    client->second.busy_with_long = false;
    if (!answer) client->second.unavailable_until = now + kAdviceClientBackoff;
  }
  if (StepAdvice* known = FindAdvice(this->steps, sent.step)) {
    known->asking = false;
    if (answer) this->Record(sent, answer.value(), known);
  }
  if (!answer) {
    this->parts.log->Write("advice", "question-failed",
                           {{"step", Text(sent.step)},
                            {"by", sent.client.Text()},
                            {"reason", answer.error().message()}});
  }
  this->on_answer(sent.step);
  this->SendWaiting();
}

double PermissionBroker::PermittedShare(const QueueName& queue) const {
  const auto found = this->permitted_shares.find(queue);
  return found == this->permitted_shares.end() ? kInitialPermittedShare
                                               : found->second;
}

void PermissionBroker::UpdatePermittedShare(const Sent& sent,
                                            const Advice& advice) {
  const double share = static_cast<double>(advice.permitted.size()) /
                       static_cast<double>(sent.workers.size());
  const auto known =
      this->permitted_shares.emplace(sent.queue, kInitialPermittedShare).first;
  known->second += kPermittedShareWeight * (share - known->second);
}

void PermissionBroker::Record(const Sent& sent, const Advice& advice,
                              StepAdvice* known) {
  const Instant now = this->parts.executor->Now();
  std::unordered_map<WorkerId, const Permission*> permitted;
  for (const Permission& permission : advice.permitted) {
    permitted.emplace(permission.worker, &permission);
  }
  for (const AskedWorker& worker : sent.workers) {
    const auto found = permitted.find(worker.id);
    if (found == permitted.end()) {
      Refuse(worker.session, known);
    } else {
      Permit(worker.session, {found->second->ticket, now + advice.validity},
             known);
    }
  }
  this->UpdatePermittedShare(sent, advice);
  const auto wait = std::chrono::duration_cast<Duration>(now - sent.since);
  this->parts.metrics->Sample("advice_wait_us", "queue=" + sent.queue.Text(),
                              static_cast<double>(wait.count()));
  this->parts.log->Write("advice", "permissions",
                         {{"step", Text(sent.step)},
                          {"by", sent.client.Text()},
                          {"asked", sent.workers.size()},
                          {"permitted", advice.permitted.size()},
                          {"waited_ms", WholeMilliseconds(wait)},
                          {"valid_ms", WholeMilliseconds(advice.validity)}});
}

}  // namespace mustardproxy::jobs
