#include "worker_session.h"

#include <algorithm>
#include <utility>

#include "options.h"

namespace mustardproxy::jobs {

Duration SessionRun::Survived() const {
  if (!this->seen_running) return Duration::zero();
  return *this->seen_running - this->ordered_at.value_or(this->started_at);
}

bool SessionRun::MayStartLate() const {
  if (this->phase == RunPhase::kPlanned) return false;
  // The start orders of a previous owner are not known, and a response to a
  // start order does not show which incarnation sent it.
  return !this->ordered_at || this->order_in_flight || this->start_unanswered ||
         !this->seen_running;
}

bool SessionRun::OrderMayArrive(Instant now) const {
  return this->Unanswered() && !this->bound_to_incarnation &&
         now < this->start_sent + kLateStartWindow;
}

void SessionRun::NoteRunning(Instant now) {
  this->seen_running = now;
  this->delayed = false;
  // An order that may be repeated may still be under way.
  if (this->bound_to_incarnation) return;
  this->start_unanswered = false;
  if (this->phase != RunPhase::kOrdered) return;
  this->phase = RunPhase::kStarted;
  this->expected_listed_from = now;
}

void SessionRun::NoteUnlisted(Instant asked) {
  const bool expected = asked >= this->start_sent + kDelayedStartThreshold;
  if (expected && this->phase == RunPhase::kOrdered) this->delayed = true;
}

bool SessionRun::MustBeListed(Instant asked) const {
  if (this->order_in_flight) return false;
  const bool order_lost = this->start_unanswered &&
                          !this->bound_to_incarnation &&
                          !this->OrderMayArrive(asked);
  return order_lost ||
         (this->expected_listed_from && *this->expected_listed_from <= asked);
}

WorkerSession::WorkerSession(SessionNumber number, WorkerInfo info,
                             Instant known_since, Instant inherited_until,
                             TeamUsage* usage, SessionObserver* observer)
    : number(number),
      observer(observer),
      info(std::move(info)),
      known_since(known_since),
      usage(usage),
      inherited_until(inherited_until) {}

WorkerSession::~WorkerSession() {
  if (this->usage == nullptr) return;
  for (const auto& [run, record] : this->runs) {
    this->usage->Subtract(record.share);
  }
}

void WorkerSession::NoteChange() {
  if (this->observer != nullptr) this->observer->OnChange(this->number);
}

void WorkerSession::SetStartTimeIfUnknown(std::int64_t start_unix_ms) {
  if (this->info.incarnation.start_unix_ms == 0) {
    this->info.incarnation.start_unix_ms = start_unix_ms;
  }
}

std::int64_t WorkerSession::LeaseUntilMs(Instant now, Duration lease) const {
  if (!this->clock) return 0;
  return this->clock->clock_ms +
         WholeMilliseconds(now - this->clock->received_at + lease);
}

void WorkerSession::NoteLeaseSent(std::int64_t until_ms) {
  if (until_ms <= this->lease_sent_ms || !this->clock) return;
  this->lease_sent_ms = until_ms;
  // Failure: a task is started elsewhere while the worker, whose clock is slow,
  // still runs it. The clock was read at some time before the response arrived;
  // for a hold that waits, at the very end. Counted from the response at the
  // slowest permitted rate, the worker's clock has passed the end of the lease
  // by the computed time.
  const double left_ms = static_cast<double>(until_ms - this->clock->clock_ms) /
                         kSlowestWorkerClock;
  const Instant lapse = this->clock->received_at +
                        milliseconds(static_cast<std::int64_t>(left_ms) + 1) +
                        kLeaseExpiryMargin;
  this->lease_expires_at = std::max(this->lease_expires_at, lapse);
}

void WorkerSession::NoteClock(ClockReading reading) {
  if (reading.clock_ms == 0) return;
  const bool older = this->clock && reading.sent_at < this->clock->sent_at;
  if (!older) this->clock = reading;
}

bool WorkerSession::MarkSilent(Instant now, bool exact) {
  if (std::exchange(this->unresponsive, true)) return false;
  this->silent_since = now;
  this->silence_exact = exact;
  return true;
}

bool WorkerSession::HasLeft() const {
  if (!this->info.draining) return false;
  return !this->unresponsive ||
         this->silent_since + kDrainDetectionDelay >= this->leaves_at;
}

Instant WorkerSession::LastAnswer() const {
  return this->clock ? this->clock->received_at : Instant();
}

void WorkerSession::AddRun(const RunRef& run, SessionRun record) {
  const auto [found, added] = this->runs.emplace(run, record);
  if (!added) return;
  this->NoteChange();
  this->used += record.resources;
  if (this->usage != nullptr) this->usage->Add(record.share);
}

void WorkerSession::RemoveRun(const RunRef& run) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end()) return;
  this->NoteChange();
  this->EndQuarantine(run);
  this->used -= found->second.resources;
  if (this->usage != nullptr) this->usage->Subtract(found->second.share);
  this->runs.erase(found);
}

void WorkerSession::Quarantine(const RunRef& run, Duration probation_period) {
  SessionRun* record = this->FindRun(run);
  if (record == nullptr) return;
  record->probation_period = probation_period;
  // The count includes the run itself.
  record->alone = this->CountUnproven() == 1;
  if (std::exchange(record->quarantined, true)) return;
  ++this->quarantined;
  this->NoteChange();
}

void WorkerSession::EndQuarantine(const RunRef& run) {
  SessionRun* record = this->FindRun(run);
  if (record == nullptr) return;
  record->alone = false;
  if (!std::exchange(record->quarantined, false)) return;
  --this->quarantined;
  this->NoteChange();
}

bool WorkerSession::HasContactedRuns() const {
  return std::any_of(this->runs.begin(), this->runs.end(), [](const auto& run) {
    return run.second.phase != RunPhase::kPlanned;
  });
}

bool WorkerSession::InContact(Instant now) const {
  if (this->unresponsive || this->lease_withheld) return false;
  return this->HasContactedRuns() || now < this->verified + kContactWindow;
}

bool WorkerSession::MayHaveStartedElsewhere(Instant now) const {
  // Without a start time, the next incarnation has another id.
  if (this->info.incarnation.start_unix_ms == 0) return false;
  if (now < this->late_starts_until) return true;
  return std::any_of(this->runs.begin(), this->runs.end(), [](const auto& run) {
    const SessionRun& record = run.second;
    return record.phase != RunPhase::kPlanned && !record.bound_to_incarnation &&
           !record.seen_running;
  });
}

std::size_t WorkerSession::CountUnproven() const {
  return static_cast<std::size_t>(std::count_if(
      this->runs.begin(), this->runs.end(),
      [](const auto& one) { return one.second.Survived() < kProvenRunTime; }));
}

SessionRun* WorkerSession::FindRun(const RunRef& run) {
  const auto found = this->runs.find(run);
  return found == this->runs.end() ? nullptr : &found->second;
}

bool WorkerSession::HasOrdered() const {
  return std::any_of(this->runs.begin(), this->runs.end(), [](const auto& run) {
    return run.second.phase != RunPhase::kPlanned && !run.second.blocked;
  });
}

Resources WorkerSession::Free() const {
  return this->info.capacity - this->used;
}

bool WorkerSession::Overcommitted() const {
  return !this->used.FitsIn(this->info.capacity);
}

Resources WorkerSession::ExpectedFreeAt(Instant now, Instant moment,
                                        Resources free) const {
  for (const auto& [run, record] : this->runs) {
    // The remaining time of an overdue run is unknown.
    const bool ends =
        record.expected_end > now && record.expected_end <= moment;
    if (ends) free += record.resources;
  }
  return free;
}

bool WorkerSession::HasLabel(const std::string& label) const {
  return label.empty() ||
         std::find(this->info.labels.begin(), this->info.labels.end(), label) !=
             this->info.labels.end();
}

void WorkerSession::ExpectLateStart(Instant sent) {
  this->ExpectLateStartsUntil(sent + kLateStartWindow);
}

void WorkerSession::ExpectLateStartsUntil(Instant until) {
  this->late_starts_until = std::max(this->late_starts_until, until);
}

WorkerTarget WorkerSession::Target() const {
  return {this->info.incarnation, this->info.address};
}

}  // namespace mustardproxy::jobs
