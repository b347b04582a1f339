#include "lifecycle/deferred_flow.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

/// Accepted work never expires in the queue for lack of resources; this horizon
/// only gives the scheduler a deadline to order it by.
constexpr Duration kPlacementHorizon = std::chrono::hours(24 * 365 * 10);
/// Size of the range of attempt numbers of one holder of a journal.
constexpr std::int32_t kAttemptsPerHolder = 1000;
/// Longest time that a placement may hold its resources while its *started*
/// records are not durable.
constexpr Duration kRecordTimeout = std::chrono::seconds(1);
/// Delay after a failed attempt.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
/// Longest time that work avoids the workers on which it failed.
constexpr Duration kMaxAvoidTime = std::chrono::seconds(3);
constexpr Duration kParkDelay = std::chrono::seconds(1);

}  // namespace

DeferredWork* DeferredFlow::Get(const RequestId& request) {
  const auto found = this->works.find(request);
  return found == this->works.end() ? nullptr : &found->second;
}

const DeferredWork* DeferredFlow::Find(const RequestId& request) const {
  const auto found = this->works.find(request);
  return found == this->works.end() ? nullptr : &found->second;
}

std::size_t DeferredFlow::SizeIn(const JournalId& journal) const {
  const auto found = this->sizes.find(journal);
  return found == this->sizes.end() ? 0 : found->second;
}

bool DeferredFlow::MayStart() const {
  return !this->parts->context.stopping && this->parts->journals.Healthy();
}

void DeferredFlow::Enqueue(DeferredWork* work) {
  const Instant now = this->parts->context.now;
  if (!this->MayStart()) {
    this->Park(work, kParkDelay);
    return;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  QueuedRequest queued;
  queued.request = work->request.id;
  queued.service = work->request.service;
  queued.team = work->request.team;
  queued.arrived = work->accepted;
  queued.placement_deadline = work->accepted + kPlacementHorizon +
                              (terms ? terms->max_wait : Duration{0});
  queued.attempt = work->last_attempt + 1;
  queued.avoid = work->avoid;
  const Admission admission = this->parts->scheduler.Enqueue(
      now, this->parts->ledger, std::move(queued), true);
  if (admission.refusal) {
    this->Park(work, kParkDelay);
    return;
  }
  ++work->last_attempt;
  work->phase = DeferredPhase::kQueued;
  if (!work->avoid.empty()) {
    this->timers.Set(work->request.id, now + kMaxAvoidTime);
  }
}

void DeferredFlow::Park(DeferredWork* work, Duration delay) {
  work->phase = DeferredPhase::kParked;
  this->timers.Set(work->request.id, this->parts->context.now + delay);
}

void DeferredFlow::OnPlaced(std::span<const Placement> placements) {
  DeferredWork* work = this->Get(placements.front().request);
  if (work == nullptr || work->phase != DeferredPhase::kQueued) {
    this->parts->placing.ReleasePlacements(placements);
    return;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  this->parts->placing.RecordWait(terms ? terms->profile : ProfileId(),
                                  work->accepted);
  work->phase = DeferredPhase::kRecording;
  work->attempt = Attempt{};
  work->attempt.number = work->last_attempt;
  work->pending_records = placements.size();
  for (const Placement& placement : placements) {
    const TaskPlan plan =
        this->parts->placing.Plan(placement, work->request.service,
                                  terms ? terms->max_run : Duration{0}, true);
    work->attempt.slots.push_back(
        {placement.task, placement.worker, SlotState::kPending, {}});
    StartedRecord record;
    record.request = work->request.id;
    record.task = placement.task;
    record.worker = placement.worker;
    record.epoch = plan.epoch;
    record.attempt = work->attempt.number;
    record.worker_incarnation = plan.worker_incarnation;
    this->parts->journals.Append(work->journal, std::move(record));
  }
  this->timers.Set(work->request.id, this->parts->context.now + kRecordTimeout);
}

void DeferredFlow::OnDurable(const JournalId& /*journal*/,
                             const StartedRecord& record) {
  DeferredWork* work = this->Get(record.request);
  const bool current = work != nullptr &&
                       work->phase == DeferredPhase::kRecording &&
                       work->attempt.number == record.attempt;
  if (!current || --work->pending_records > 0) {
    return;
  }
  this->timers.Clear(record.request);
  this->SendTasks(work);
}

void DeferredFlow::SendTasks(DeferredWork* work) {
  work->phase = DeferredPhase::kRunning;
  const std::vector<AttemptSlot> slots = work->attempt.slots;
  for (const AttemptSlot& slot : slots) {
    this->parts->tasks.Send(slot.task, work->request.body,
                            kDetachedStartTimeout);
  }
}

void DeferredFlow::WithdrawRecording(DeferredWork* work) {
  for (const AttemptSlot& slot : work->attempt.slots) {
    this->parts->tasks.Withdraw(slot.task);
  }
  work->attempt = Attempt{};
}

void DeferredFlow::OnTaskUpdate(const TaskUpdate& update) {
  DeferredWork* work = this->Get(update.request);
  if (work == nullptr || work->attempt.Find(update.task) == nullptr) {
    return;
  }
  this->parts->placing.RecordHealth(update, work->request.service);
  this->UpdateSlot(work, update);
  if (work->phase == DeferredPhase::kRecording) {
    // A placement that was not sent yet has lost its worker.
    this->WithdrawRecording(work);
    this->timers.Clear(work->request.id);
    this->Requeue(work);
    return;
  }
  if (work->phase != DeferredPhase::kRunning) {
    return;
  }
  if (work->attempt.Settled()) {
    this->Settled(work);
    return;
  }
  if (work->attempt.CanNotComplete()) {
    this->StopTasks(work, false);
  }
}

void DeferredFlow::UpdateSlot(DeferredWork* work, const TaskUpdate& update) {
  AttemptSlot* slot = work->attempt.Find(update.task);
  switch (update.kind) {
    case TaskUpdate::Kind::kStarted:
      slot->state = SlotState::kRunning;
      return;
    case TaskUpdate::Kind::kUncertain:
      return;
    case TaskUpdate::Kind::kNeverStarted:
      slot->state = SlotState::kNeverStarted;
      slot->lease_lost = update.reason == Error::kStaleEpoch;
      return;
    case TaskUpdate::Kind::kEnded:
      slot->state = SlotState::kEnded;
      slot->ended = update.ended;
      return;
    case TaskUpdate::Kind::kLost:
      slot->state = SlotState::kLost;
      return;
  }
}

void DeferredFlow::StopTasks(DeferredWork* work, bool checkpoint) {
  if (work->attempt.stopping) {
    return;
  }
  work->attempt.stopping = true;
  const std::vector<AttemptSlot> slots = work->attempt.slots;
  for (const AttemptSlot& slot : slots) {
    const bool open =
        slot.state == SlotState::kPending || slot.state == SlotState::kRunning;
    if (open) {
      this->parts->tasks.Stop(slot.task, checkpoint);
    }
  }
  if (work->adopted) {
    this->parts->StopAtPeers(work->request.id);
  }
}

void DeferredFlow::OnPreempted(const Preemption& preemption) {
  DeferredWork* work = this->Get(preemption.request);
  if (work == nullptr || work->attempt.Find(preemption.task) == nullptr) {
    return;
  }
  if (work->phase == DeferredPhase::kRecording) {
    this->WithdrawRecording(work);
    this->timers.Clear(work->request.id);
    this->Park(work, kRetryDelay);
    return;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  // A non-idempotent task can't be stopped and restarted.
  if (work->phase != DeferredPhase::kRunning || !terms || !terms->idempotent) {
    return;
  }
  work->attempt.preempted = true;
  this->StopTasks(work, true);
}

void DeferredFlow::OnExpired(const RequestId& request) {
  DeferredWork* work = this->Get(request);
  if (work != nullptr && work->phase == DeferredPhase::kQueued) {
    this->Park(work, kParkDelay);
  }
}

void DeferredFlow::OnFenced(const JournalId& journal) {
  std::vector<RequestId> gone;
  for (const auto& [request, work] : this->works) {
    if (work.journal == journal) {
      gone.push_back(request);
    }
  }
  for (const RequestId& request : gone) {
    DeferredWork* work = this->Get(request);
    this->parts->scheduler.Cancel(request);
    for (const AttemptSlot& slot : work->attempt.slots) {
      this->parts->tasks.Disown(slot.task);
    }
    for (const std::uint64_t query : std::exchange(work->cancel_queries, {})) {
      this->parts->context.Emit(AnswerQuery{query, std::nullopt});
    }
    this->timers.Clear(request);
    this->works.erase(request);
  }
  this->sizes.erase(journal);
}

void DeferredFlow::Resume(const DeferredEntry& entry) {
  if (this->Get(entry.request.id) != nullptr) {
    return;
  }
  DeferredWork work;
  work.request = entry.request;
  work.journal = entry.journal;
  work.accepted = this->parts->context.now;
  // The former holder may have planned attempts that are not in its journal;
  // their task ids must not be reused for other tasks.
  work.last_attempt =
      (entry.attempt / kAttemptsPerHolder + 1) * kAttemptsPerHolder;
  // The journal does not distinguish the outcomes of earlier attempts.
  work.may_have_run = entry.attempt > 1;
  ++this->sizes[entry.journal];
  DeferredWork* added =
      &this->works.emplace(entry.request.id, std::move(work)).first->second;
  this->parts->claims.SettleAccepted(entry.request);
  if (entry.started.empty()) {
    this->Enqueue(added);
    return;
  }
  added->phase = DeferredPhase::kRunning;
  added->adopted = true;
  added->attempt.number = entry.attempt;
  for (const StartedRecord& started : entry.started) {
    added->attempt.slots.push_back(
        {started.task, started.worker, SlotState::kPending, {}});
  }
  for (const StartedRecord& started : entry.started) {
    this->parts->placing.Watch(started, entry.request);
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, entry.request.service);
  // The records of one gang may be split across two batches. If some are
  // missing, no task of the gang was sent, since all records must be durable
  // before the first start.
  const auto expected = terms ? terms->tasks : 1;
  if (std::ssize(entry.started) < expected) {
    added->attempt.slots.push_back(
        {TaskId(), WorkerId(), SlotState::kNeverStarted, {}});
  }
}

bool DeferredFlow::HasNoPendingStart() const {
  return std::ranges::none_of(this->works, [](const auto& entry) {
    const DeferredPhase phase = entry.second.phase;
    return phase == DeferredPhase::kRecording ||
           phase == DeferredPhase::kQueued;
  });
}

bool DeferredFlow::AnyWaiting() const {
  return std::ranges::any_of(this->works, [](const auto& entry) {
    const DeferredPhase phase = entry.second.phase;
    return phase == DeferredPhase::kParked || phase == DeferredPhase::kQueued;
  });
}

void DeferredFlow::ParkAll() {
  for (auto& [request, work] : this->works) {
    if (work.phase == DeferredPhase::kQueued) {
      this->parts->scheduler.Cancel(request);
      this->Park(&work, kParkDelay);
    } else if (work.phase == DeferredPhase::kRecording) {
      this->WithdrawRecording(&work);
      this->Park(&work, kParkDelay);
    }
  }
}

void DeferredFlow::QueueParked() {
  for (auto& [request, work] : this->works) {
    if (work.phase == DeferredPhase::kParked) {
      this->timers.Clear(request);
      this->Enqueue(&work);
    }
  }
}

void DeferredFlow::Tick() {
  for (const RequestId& request :
       this->timers.TakeDue(this->parts->context.now)) {
    DeferredWork* work = this->Get(request);
    if (work == nullptr) {
      continue;
    }
    if (work->phase == DeferredPhase::kRecording) {
      // The platform is slow or unreachable: release the resources for work
      // that can start now.
      this->WithdrawRecording(work);
      this->Park(work, kParkDelay);
    } else if (work->phase == DeferredPhase::kParked) {
      this->Enqueue(work);
    } else if (work->phase == DeferredPhase::kQueued) {
      // The avoided workers may be the only ones left.
      this->parts->scheduler.Cancel(request);
      work->avoid.clear();
      this->Enqueue(work);
    }
  }
}

}  // namespace mustardproxy::detail
