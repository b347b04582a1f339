#include "lifecycle/shutdown_flow.h"

#include "lifecycle/parts.h"

namespace mustardproxy::detail {
namespace {

/// Longest wait for the *handed over* records to become durable. Without them a
/// peer adopts the journals only after the delay for lost processes.
constexpr Duration kHandOverTimeout = std::chrono::seconds(3);
/// Longest wait for workers to confirm a release. Unreleased leases expire.
constexpr Duration kReleaseTimeout = std::chrono::seconds(3);
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

}  // namespace

void ShutdownFlow::Begin() {
  if (this->step != Step::kRunning) {
    return;
  }
  this->step = Step::kDraining;
  this->parts->context.stopping = true;
  this->parts->context.Record(
      TextEvent(TimelineKind::kProcessStopping, "draining"));
  this->parts->deferred.ParkAll();
  this->next_check = this->parts->context.now;
}

void ShutdownFlow::Tick() {
  const Instant now = this->parts->context.now;
  if (now < this->next_check) {
    return;
  }
  this->next_check = now + kCheckInterval;
  const bool timed_out = now >= this->step_deadline;
  switch (this->step) {
    case Step::kRunning:
    case Step::kFinished:
      this->next_check = Instant::max();
      return;
    case Step::kDraining:
      if (this->parts->table.Size() == 0) {
        this->HandOver();
      }
      return;
    case Step::kHandingOver:
      if (this->handing_over.empty() || timed_out) {
        this->Release();
      }
      return;
    case Step::kReleasing:
      if (this->parts->workers.AllReleased() || timed_out) {
        this->step = Step::kFinished;
        this->next_check = Instant::max();
        this->parts->context.Emit(ShutdownFinished{});
      }
      return;
  }
}

void ShutdownFlow::HandOver() {
  this->step = Step::kHandingOver;
  this->step_deadline = this->parts->context.now + kHandOverTimeout;
  // Running tasks continue at their workers. The end of a task received after
  // this record would be lost for the adopter, so work of the journal is no
  // longer tracked.
  for (const JournalId& journal : this->parts->journals.Names()) {
    if (this->parts->journals.IsUnused(journal)) {
      continue;
    }
    this->handing_over.insert(journal);
    this->parts->HandOver(journal);
  }
}

void ShutdownFlow::OnHandedOver(const JournalId& journal) {
  if (this->handing_over.erase(journal) > 0) {
    this->next_check = this->parts->context.now;
  }
}

void ShutdownFlow::Release() {
  this->step = Step::kReleasing;
  this->step_deadline = this->parts->context.now + kReleaseTimeout;
  this->parts->workers.ReleaseAll();
}

}  // namespace mustardproxy::detail
