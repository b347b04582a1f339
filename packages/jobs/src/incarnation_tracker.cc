#include "incarnation_tracker.h"

#include <vector>

#include "dispatcher.h"
#include "options.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// How long a worker may go on with what an order started that was meant for
/// its former life: the lease in it counts on another clock, and the worker
/// shortens it to the longest that it gives.
Duration LongestLease() {
  const auto lease = static_cast<double>(kLongestWorkerLease.count());
  return Duration(static_cast<std::int64_t>(lease / kSlowestWorkerClock)) +
         kLapseMargin;
}

}  // namespace

IncarnationTracker::IncarnationTracker(OwnerContext* context)
    : context(context) {}

WorkerSession* IncarnationTracker::NoteEntry(const WorkerInfo& info,
                                             Instant inherited_until) {
  WorkerSession* known = this->context->workers.At(info.incarnation.id);
  if (known == nullptr) {
    this->context->health.Add(info.incarnation.id);
    return this->context->workers.Add(info, this->context->executor->Now(),
                                      inherited_until);
  }
  if (!MayBeSame(known->Incarnation(), info.incarnation)) {
    // A life that was met by its answer has yet to write its first entry.
    if (info.incarnation.born_ms < known->Incarnation().born_ms) return nullptr;
    return this->BeginLife(known, info, "entry");
  }
  known->LearnBirth(info.incarnation.born_ms);
  known->described = true;
  return known;
}

WorkerSession* IncarnationTracker::NoteAnswer(const WorkerIncarnation& meant,
                                              Instant asked,
                                              const OrderResult& result) {
  WorkerSession* known = this->context->workers.Find(meant);
  if (known == nullptr) return nullptr;
  // Another worker at its address says nothing about lives under this id.
  if (result.end == OrderEnd::kOtherLife) return known;
  const WorkerIncarnation answered{meant.id, result.born_ms};
  if (MayBeSame(known->Incarnation(), answered)) {
    known->LearnBirth(result.born_ms);
    return known;
  }
  // An answer may be overtaken by one of the next life. But no former life
  // answers what was asked once the present one was known, whatever the clock
  // said at its start.
  const bool later = asked >= known->KnownSince() ||
                     result.born_ms > known->Incarnation().born_ms;
  if (!later) return nullptr;
  WorkerInfo info = known->info;
  info.incarnation = answered;
  WorkerSession* next = this->BeginLife(known, info, "answer");
  // It may be of another kind, and have other room.
  next->described = false;
  return next;
}

WorkerSession* IncarnationTracker::NoteStored(const WorkerIncarnation& worker,
                                              Instant inherited_until) {
  WorkerSession* known = this->context->workers.At(worker.id);
  if (known == nullptr) {
    // Its entry is gone from the store; the worker may live on all the same.
    WorkerInfo unknown;
    unknown.incarnation = worker;
    WorkerSession* added = this->context->workers.Add(
        unknown, this->context->executor->Now(), inherited_until);
    added->listed = false;
    return added;
  }
  const bool entry_is_older = !MayBeSame(known->Incarnation(), worker) &&
                              known->Incarnation().born_ms < worker.born_ms;
  if (!entry_is_older) return known;
  WorkerInfo info = known->info;
  info.incarnation = worker;
  WorkerSession* next = this->BeginLife(known, info, "progress");
  next->described = false;
  return next;
}

WorkerSession* IncarnationTracker::BeginLife(WorkerSession* former,
                                             const WorkerInfo& info,
                                             std::string_view seen_in) {
  const Instant now = this->context->executor->Now();
  this->context->log->Write("workers", "worker-restarted",
                            {{"worker", Text(info.incarnation)},
                             {"former", Text(former->Incarnation())},
                             {"seen_in", seen_in},
                             {"runs", former->runs.size()}});
  this->context->runs->LoseAll(former, LossCause::kRestarted);
  const std::vector<UnansweredStart> starts = former->UnansweredStarts(now);
  const bool listed = former->listed;
  this->context->health.Remove(info.incarnation.id);
  this->context->health.Add(info.incarnation.id);
  WorkerSession* next =
      this->context->workers.Add(info, now, now + LongestLease());
  next->listed = listed;
  for (const UnansweredStart& start : starts) {
    this->context->runs->ShutOut(next, start);
  }
  this->context->dispatcher->Kick();
  return next;
}

}  // namespace mustardproxy::jobs
