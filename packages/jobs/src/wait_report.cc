#include "wait_report.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

/// Interval between two lines about one step, and the delay before the first.
constexpr Duration kReportInterval = seconds(2);
/// A fortieth of the rate that the log accepts.
constexpr std::int32_t kMaxLinesPerSecond = 50;
constexpr double kPercent = 100.0;

std::string_view Name(DeadlineStatus deadline_status) {
  switch (deadline_status) {
    case DeadlineStatus::kOnTime:
      return "in-time";
    case DeadlineStatus::kLate:
      return "late";
    case DeadlineStatus::kExpired:
      break;
  }
  return "worthless";
}

}  // namespace

std::string_view Name(WaitReason reason) {
  switch (reason) {
    case WaitReason::kTeamCap:
      return "team-cap";
    case WaitReason::kNoWorker:
      return "no-worker";
    case WaitReason::kEvacuated:
      return "evacuated";
    case WaitReason::kPermissions:
      return "permissions";
    case WaitReason::kRoom:
      return "room";
    case WaitReason::kShare:
      return "share";
    case WaitReason::kLapsed:
      return "lapsed";
    case WaitReason::kQuarantine:
      return "quarantine";
    case WaitReason::kNone:
      break;
  }
  return "none";
}

std::string_view Name(UnblockEvent end) {
  switch (end) {
    case UnblockEvent::kAnswer:
      return "answer";
    case UnblockEvent::kQuestion:
      return "question";
    case UnblockEvent::kPass:
      return "pass";
    case UnblockEvent::kReservations:
      return "reservations";
    case UnblockEvent::kRuns:
      return "runs";
    case UnblockEvent::kTeamRuns:
      return "team-runs";
    case UnblockEvent::kCapRaised:
      return "cap-raised";
    case UnblockEvent::kQuarantine:
      return "quarantine";
    case UnblockEvent::kHold:
      return "hold";
    case UnblockEvent::kEvacuationCancelled:
      return "evacuation-cancelled";
    case UnblockEvent::kWorkers:
      return "workers";
    case UnblockEvent::kNothing:
      break;
  }
  return "nothing";
}

bool WaitFacts::NeedsEvacuated() const {
  return this->could_fit < this->needed &&
         this->could_fit + this->evacuated_fit >= this->needed;
}

WaitReason WaitFacts::Reason() const {
  if (this->capped) return WaitReason::kTeamCap;
  if (this->NeedsEvacuated()) return WaitReason::kEvacuated;
  if (this->eligible == 0) return WaitReason::kNoWorker;
  if (this->could_fit < this->needed) {
    return this->has_policy ? WaitReason::kPermissions : WaitReason::kNoWorker;
  }
  if (this->room < this->needed) {
    return this->beyond_share ? WaitReason::kShare : WaitReason::kRoom;
  }
  if (this->fresh_room < this->needed) return WaitReason::kLapsed;
  if (this->quarantined) return WaitReason::kQuarantine;
  return WaitReason::kNone;
}

UnblockEvent WaitFacts::NextUnblockEvent() const {
  if (this->capped) {
    return this->exceeds_cap ? UnblockEvent::kCapRaised
                             : UnblockEvent::kTeamRuns;
  }
  if (this->asking) return UnblockEvent::kAnswer;
  if (this->helped_by_question) return UnblockEvent::kQuestion;
  if (!this->gang && this->fresh_room >= this->needed) {
    return this->quarantined ? UnblockEvent::kQuarantine : UnblockEvent::kPass;
  }
  const bool has_room = this->room >= this->needed;
  if (has_room && this->room_taken_by_gangs) return UnblockEvent::kReservations;
  // Other tasks ask only where capacity is free, and not if a worker with a
  // valid permission will have capacity soon.
  const bool waits_for_runs = !this->gang || !has_room;
  if (waits_for_runs && this->fits_later) return UnblockEvent::kRuns;
  if (this->held > 0) return UnblockEvent::kHold;
  if (this->NeedsEvacuated()) return UnblockEvent::kEvacuationCancelled;
  const bool all_known =
      !this->has_policy || this->permitted + this->refused >= this->eligible;
  if (!has_room && all_known) return UnblockEvent::kWorkers;
  return UnblockEvent::kNothing;
}

WaitReport::WaitReport(EventLog* log, Metrics* metrics)
    : log(log), metrics(metrics) {}

bool WaitReport::Due(const SchedulingUnit& unit, Instant now) {
  Instant& report_after = unit.progress->next_wait_report;
  if (report_after == Instant()) report_after = now + kReportInterval;
  if (now < report_after) return false;
  if (now - this->second >= seconds(1)) {
    this->second = now;
    this->lines = 0;
  }
  if (this->lines == kMaxLinesPerSecond) return false;
  ++this->lines;
  report_after = now + kReportInterval;
  return true;
}

void WaitReport::Write(const SchedulingUnit& unit, const WaitFacts& facts,
                       Instant now) {
  const std::string_view reason = Name(facts.Reason());
  this->log->Write(
      "jobs", "step-waits",
      {{"step", Text(unit.ref)},
       {"queue", unit.queue->name.Text()},
       {"reason", reason},
       {"until", Name(facts.NextUnblockEvent())},
       {"tasks", unit.tasks.size()},
       {"needed", facts.needed},
       {"lateness", Name(unit.deadline_status)},
       {"eligible", facts.eligible},
       {"permitted", facts.permitted},
       {"refused", facts.refused},
       {"could_fit", facts.could_fit},
       {"room", facts.room},
       {"fresh_room", facts.fresh_room},
       {"free_percent",
        std::lround(kPercent * std::max(0.0, facts.free_share))},
       {"idle_ms", WholeMilliseconds(IdleTime(unit.progress->idle, now))},
       {"questions", unit.progress->idle.questions},
       {"dropped_questions", unit.progress->idle.dropped_questions},
       {"team", unit.entry->job.access.team.Text()},
       {"cap_cpu", facts.cap.cpu_milli},
       {"cap_memory_mb", facts.cap.memory_mb},
       {"team_cpu", facts.team_used.cpu_milli},
       {"team_memory_mb", facts.team_used.memory_mb},
       {"waited_ms", WholeMilliseconds(now - unit.entry->learned_at)}});
  const std::string label =
      "queue=" + unit.queue->name.Text() + ",reason=" + std::string(reason);
  this->metrics->Count("step_waits", label);
}

}  // namespace mustardproxy::jobs
