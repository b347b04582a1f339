#include "incarnation_tracker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dispatcher.h"
#include "lease_withholding.h"
#include "options.h"
#include "progress_writer.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// Maximum time for which a worker may execute a run started by an order for
/// its former incarnation. The lease in the order refers to the clock of that
/// incarnation, and the worker limits it to the longest lease that it grants.
Duration MaxLeaseDuration() {
  const auto lease = static_cast<double>(kMaxWorkerLease.count());
  return Duration(static_cast<std::int64_t>(lease / kSlowestWorkerClock)) +
         kLeaseExpiryMargin;
}

}  // namespace

IncarnationTracker::IncarnationTracker(OwnerContext* context)
    : context(context) {}

WorkerSession* IncarnationTracker::NoteEntry(const WorkerInfo& info,
                                             Instant inherited_until) {
  WorkerSession* known = this->context->workers.FindLatest(info.incarnation.id);
  if (known == nullptr) {
    this->context->health.Add(info.incarnation.id);
    return this->AddSession(info, inherited_until);
  }
  if (!MayBeSameIncarnation(known->Incarnation(), info.incarnation)) {
    // An incarnation that was first seen in a response has not written its
    // entry yet.
    if (info.incarnation.start_unix_ms < known->Incarnation().start_unix_ms)
      return nullptr;
    return this->BeginIncarnation(known, info, "entry", nullptr);
  }
  known->SetStartTimeIfUnknown(info.incarnation.start_unix_ms);
  known->described = true;
  return known;
}

WorkerSession* IncarnationTracker::NoteAnswer(const WorkerIncarnation& meant,
                                              Instant asked,
                                              const OrderResult& result,
                                              const HoldResult* lists) {
  WorkerSession* known = this->context->workers.Find(meant);
  if (known == nullptr) return nullptr;
  // A different worker at this address says nothing about the incarnations of
  // this id.
  if (result.end == OrderOutcome::kOtherIncarnation) return known;
  const WorkerIncarnation answered{meant.id, result.start_unix_ms};
  if (MayBeSameIncarnation(known->Incarnation(), answered)) {
    known->SetStartTimeIfUnknown(result.start_unix_ms);
    return known;
  }
  // A response may arrive after one of the next incarnation. However, a former
  // incarnation cannot respond to an order that was sent after the current one
  // was known, whatever start time the clocks gave them.
  const bool later = asked >= known->KnownSince() ||
                     result.start_unix_ms > known->Incarnation().start_unix_ms;
  if (!later) return nullptr;
  return this->BeginUndescribedIncarnation(known, answered, "answer", lists);
}

WorkerSession* IncarnationTracker::NoteStored(const WorkerIncarnation& worker,
                                              Instant inherited_until) {
  WorkerSession* known = this->context->workers.FindLatest(worker.id);
  if (known == nullptr) {
    // The entry was removed from the store, but the worker may still be
    // running.
    WorkerInfo unknown;
    unknown.incarnation = worker;
    WorkerSession* added = this->AddSession(unknown, inherited_until);
    added->listed = false;
    return added;
  }
  const bool entry_is_older =
      !MayBeSameIncarnation(known->Incarnation(), worker) &&
      known->Incarnation().start_unix_ms < worker.start_unix_ms;
  if (!entry_is_older) return known;
  return this->BeginUndescribedIncarnation(known, worker, "progress", nullptr);
}

WorkerSession* IncarnationTracker::BeginUndescribedIncarnation(
    WorkerSession* known, const WorkerIncarnation& met,
    std::string_view seen_in, const HoldResult* lists) {
  WorkerInfo info = known->info;
  info.incarnation = met;
  WorkerSession* next = this->BeginIncarnation(known, info, seen_in, lists);
  // The new incarnation may have other properties and another capacity.
  next->described = false;
  return next;
}

WorkerSession* IncarnationTracker::AddSession(const WorkerInfo& info,
                                              Instant inherited_until) {
  WorkerSession* added = this->context->workers.Add(
      info, this->context->executor->Now(), inherited_until);
  // An incarnation that is met for the first time may have followed one whose
  // entry was removed. Orders for that one may still arrive. Every start order
  // and every acknowledgement was preceded by a write, so this token is higher
  // than theirs.
  added->token = this->context->writer->LatestRevision();
  added->lease_withheld =
      this->context->withholding->Withholds(info.incarnation.id);
  return added;
}

// Failure: a restart is noticed seconds late, and tasks that were ordered to
// the new incarnation are blamed for the end of the former one.
Instant IncarnationTracker::EstimateRestart(const WorkerSession& former,
                                            const WorkerIncarnation& next,
                                            const HoldResult* lists) const {
  const Instant now = this->context->executor->Now();
  if (next.start_unix_ms == 0) return now;
  std::int64_t age_ms = this->context->executor->UnixMs() - next.start_unix_ms;
  // The time of day may have jumped; the worker's own clock starts with it.
  if (lists != nullptr) age_ms = std::min(age_ms, lists->order.clock_ms);
  return std::clamp(now - milliseconds(age_ms), former.LastAnswer(), now);
}

WorkerSession* IncarnationTracker::BeginIncarnation(WorkerSession* former,
                                                    const WorkerInfo& info,
                                                    std::string_view seen_in,
                                                    const HoldResult* lists) {
  this->context->log->Write("workers", "worker-restarted",
                            {{"worker", Text(info.incarnation)},
                             {"former", Text(former->Incarnation())},
                             {"seen_in", seen_in},
                             {"runs", former->runs.size()}});
  // Runs that the new incarnation lists were started by it, although no
  // response showed that.
  std::vector<std::pair<RunRef, SessionRun>> moved;
  const std::set<RunRef> taken =
      lists == nullptr ? std::set<RunRef>() : lists->ListedRuns();
  for (const RunRef& run : taken) {
    const SessionRun* record = former->FindRun(run);
    if (record == nullptr) continue;
    moved.emplace_back(run, *record);
    former->RemoveRun(run);
  }
  this->context->runs->HandleWorkerLoss(
      former, LossCause::kRestarted,
      this->EstimateRestart(*former, info.incarnation, lists));
  const std::map<RunRef, SessionRun> left = former->runs;
  const bool listed = former->listed;
  const Instant late_starts_until = former->LateStartsUntil();
  this->context->health.Remove(info.incarnation.id);
  this->context->health.Add(info.incarnation.id);
  WorkerSession* next = this->AddSession(
      info, this->context->executor->Now() + MaxLeaseDuration());
  next->listed = listed;
  next->ExpectLateStartsUntil(late_starts_until);
  for (const auto& [run, record] : moved) {
    this->context->runs->Move(next, run, record);
  }
  for (const auto& [run, record] : left) {
    if (record.Unanswered()) next->ExpectLateStart(record.start_sent);
    this->context->runs->BlockStart(next, run, record);
  }
  this->context->dispatcher->SchedulePass();
  return next;
}

}  // namespace mustardproxy::jobs
