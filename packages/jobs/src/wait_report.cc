#include "wait_report.h"

#include <string>

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

/// Pause between two lines about one step, and before the first.
constexpr Duration kPause = seconds(2);
/// Most lines a second: a fortieth of what the log takes.
constexpr std::int32_t kMaxLines = 50;

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
    case WaitReason::kNoWorker:
      return "no-worker";
    case WaitReason::kPermissions:
      return "permissions";
    case WaitReason::kRoom:
      return "room";
    case WaitReason::kLapsed:
      return "lapsed";
    case WaitReason::kQuarantine:
      return "quarantine";
    case WaitReason::kNone:
      break;
  }
  return "none";
}

std::string_view Name(WaitEnd end) {
  switch (end) {
    case WaitEnd::kAnswer:
      return "answer";
    case WaitEnd::kQuestion:
      return "question";
    case WaitEnd::kPass:
      return "pass";
    case WaitEnd::kReservations:
      return "reservations";
    case WaitEnd::kRuns:
      return "runs";
    case WaitEnd::kQuarantine:
      return "quarantine";
    case WaitEnd::kHold:
      return "hold";
    case WaitEnd::kWorkers:
      return "workers";
    case WaitEnd::kNothing:
      break;
  }
  return "nothing";
}

WaitReason WaitFacts::Reason() const {
  if (this->eligible == 0) return WaitReason::kNoWorker;
  if (this->could_fit < this->needed) {
    return this->has_policy ? WaitReason::kPermissions : WaitReason::kNoWorker;
  }
  if (this->room < this->needed) return WaitReason::kRoom;
  if (this->fresh_room < this->needed) return WaitReason::kLapsed;
  if (this->quarantined) return WaitReason::kQuarantine;
  return WaitReason::kNone;
}

WaitEnd WaitFacts::End() const {
  if (this->asking) return WaitEnd::kAnswer;
  if (this->helped_by_question) return WaitEnd::kQuestion;
  if (!this->gang && this->fresh_room >= this->needed) {
    return this->quarantined ? WaitEnd::kQuarantine : WaitEnd::kPass;
  }
  const bool has_room = this->room >= this->needed;
  if (has_room && this->room_taken_by_gangs) return WaitEnd::kReservations;
  // Other tasks ask only where there is room, and not if a worker whose
  // permission holds has room soon.
  const bool waits_for_runs = !this->gang || !has_room;
  if (waits_for_runs && this->fits_later) return WaitEnd::kRuns;
  if (this->held > 0) return WaitEnd::kHold;
  const bool all_known =
      !this->has_policy || this->permitted + this->refused >= this->eligible;
  if (!has_room && all_known) return WaitEnd::kWorkers;
  return WaitEnd::kNothing;
}

WaitReport::WaitReport(EventLog* log, Metrics* metrics)
    : log(log), metrics(metrics) {}

bool WaitReport::Due(const SchedulingUnit& unit, Instant now) {
  Instant& report_after = unit.progress->report_after;
  if (report_after == Instant()) report_after = now + kPause;
  if (now < report_after) return false;
  if (now - this->second >= seconds(1)) {
    this->second = now;
    this->lines = 0;
  }
  if (this->lines == kMaxLines) return false;
  ++this->lines;
  report_after = now + kPause;
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
       {"until", Name(facts.End())},
       {"tasks", unit.tasks.size()},
       {"needed", facts.needed},
       {"lateness", Name(unit.deadline_status)},
       {"eligible", facts.eligible},
       {"permitted", facts.permitted},
       {"refused", facts.refused},
       {"could_fit", facts.could_fit},
       {"room", facts.room},
       {"fresh_room", facts.fresh_room},
       {"waited_ms", WholeMilliseconds(now - unit.entry->learnt)}});
  const std::string label =
      "queue=" + unit.queue->name.Text() + ",reason=" + std::string(reason);
  this->metrics->Count("step_waits", label);
}

}  // namespace mustardproxy::jobs
