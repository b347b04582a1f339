#include "overload_gate.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "mustardproxy/core/resource_math.h"
#include "options.h"
#include "placement.h"

namespace mustardproxy::jobs {
namespace {

/// Without a more recent report a job is accepted, and its announcement brings
/// one.
constexpr Duration kMaxReportAge = seconds(1);
/// Age of a report from which on one job that would be rejected is accepted.
/// Leaves time for the reply before the report is too old, when all jobs that
/// arrive until the reply would be accepted. A job that may still be of use is
/// preferred.
constexpr Duration kRenewByLateJobAge = milliseconds(700);
constexpr Duration kRenewByAnyJobAge = milliseconds(850);
/// Multiple of its objective after which a job has no value any more.
constexpr std::int64_t kUselessFactor = 3;
/// Overdue work that may wait before a job is rejected for being late, as a
/// share of its objective.
constexpr double kLateShare = 0.05;
/// The same for a job that was rejected before.
constexpr double kLateShareOfReturning = 0.15;
/// Time before its objective at which a job has to end while more overdue work
/// waits, as a share of the objective. Each job draws its own part of it, so
/// that processes whose reports lag accept fewer jobs as the wait grows, and
/// not all jobs until the next report.
constexpr double kMarginShare = 0.25;
constexpr double kMarginShareOfReturning = 0.1;
/// How long a rejected job is remembered: callers who wait for 3 s come back up
/// to four times.
constexpr Duration kRememberedTime = seconds(15);
/// Maximum number of rejected jobs that are remembered.
constexpr std::size_t kMaxRemembered = 8192;
/// `Retry-After` has whole seconds, and callers give up after a few.
constexpr Duration kMinRetryAfter = seconds(1);
constexpr Duration kMinRoomIn = milliseconds(500);
constexpr Duration kMaxRoomIn = seconds(4);
/// Jobs rejected at the same time return spread over this time.
constexpr Duration kRetrySpread = seconds(1);
constexpr std::string_view kLate = "late";
constexpr std::string_view kHopeless = "hopeless";

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

/// @return the longest chain of estimates
Duration LongestChain(const JobSpec& spec) {
  std::vector<Duration> ends;
  Duration longest{0};
  for (const Step& step : spec.steps) {
    Duration begin{0};
    for (const std::int32_t earlier : step.after) {
      begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
    }
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

/// @return the estimated time for which the job keeps all workers busy
Duration TotalWork(const JobSpec& spec, const Resources& capacity) {
  Duration work{0};
  for (const Step& step : spec.steps) {
    const Resources all = Multiply(TaskDemand(step), step.tasks);
    work += Scale(step.estimate, DominantShare(all, capacity));
  }
  return work;
}

bool HasNoObjective(const JobSpec& spec) {
  return spec.schedule.occurrences > 0 ||
         std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const Step& step) { return step.long_running; });
}

/// @return a number from 0 to 1, always the same for a job
double Draw(const JobId& id) {
  constexpr std::size_t kSteps = 1000;
  return static_cast<double>(std::hash<JobId>{}(id) % kSteps) /
         static_cast<double>(kSteps);
}

Duration RetryAfter(const JobId& id, Duration room_in) {
  return std::max(kMinRetryAfter, std::clamp(room_in, kMinRoomIn, kMaxRoomIn) +
                                      Scale(kRetrySpread, Draw(id)));
}

}  // namespace

void OverloadGate::OnReport(const LoadReport& given) {
  if (this->reported && given.made_at < this->report.made_at) return;
  this->report = given;
  this->reported = true;
  this->renewing = false;
}

GateDecision OverloadGate::Decide(const JobId& id, const Queue& queue,
                                  const JobSpec& spec, const TeamId& team,
                                  Instant now) {
  const GateDecision decision = this->Judge(id, queue, spec, team, now);
  if (decision.accept || this->renewing) return decision;
  const Duration due =
      decision.reason == kLate ? kRenewByLateJobAge : kRenewByAnyJobAge;
  if (decision.report_age < due) return decision;
  this->renewing = true;
  return {};
}

GateDecision OverloadGate::Judge(const JobId& id, const Queue& queue,
                                 const JobSpec& spec, const TeamId& team,
                                 Instant now) const {
  GateDecision decision;
  if (!this->reported) return decision;
  decision.report_age = std::max(Duration::zero(), now - this->report.made_at);
  if (decision.report_age > kMaxReportAge) return decision;
  const QueueLoad* load = this->report.Find(queue.name);
  if (load == nullptr || HasNoObjective(spec)) return decision;

  const bool above_share = this->report.IsAboveShare(team);
  const bool returns = this->Returns(id, now);
  const Duration chain = Scale(LongestChain(spec), load->run_time_ratio);
  const Duration run_time = std::max(
      chain, Scale(TotalWork(spec, load->capacity), load->run_time_ratio));
  const Duration objective = Scale(chain, queue.stretch) + queue.target;
  // A job that is too large for its objective is not rejected for its size.
  const Duration attainable = std::max(objective, load->overhead + run_time);
  const Duration wait = above_share ? load->wait_above_share : load->wait;
  const Duration end = wait + load->overhead + run_time;
  decision.predicted_wait = wait;
  decision.objective = objective;

  const Duration late_end =
      std::max(end, load->late_wait + load->overhead + run_time);
  if (end > attainable && late_end > kUselessFactor * attainable) {
    decision.accept = false;
    decision.reason = kHopeless;
    decision.predicted_wait = std::max(wait, load->late_wait);
    decision.retry_after = RetryAfter(id, end - attainable);
    return decision;
  }
  const Duration late = above_share ? load->late_work_of_all : load->late_work;
  double share = returns ? kLateShareOfReturning : kLateShare;
  // Teams above their shares give way first.
  if (above_share) share = returns ? kLateShare : 0.0;
  const double margin_share = returns ? kMarginShareOfReturning : kMarginShare;
  const Duration margin = Scale(attainable, margin_share * Draw(id));
  const bool overloaded = load->overdue_work > Scale(attainable, share);
  if (overloaded && end + late + margin > attainable) {
    decision.accept = false;
    decision.reason = kLate;
    decision.retry_after = RetryAfter(id, end + late - attainable);
  }
  return decision;
}

bool OverloadGate::Returns(const JobId& id, Instant now) const {
  const auto found = this->rejected.find(id);
  return found != this->rejected.end() &&
         now <= found->second + kRememberedTime;
}

void OverloadGate::NoteRejected(const JobId& id, Instant now) {
  this->rejected.insert_or_assign(id, now);
  this->by_time.emplace_back(now, id);
  while (this->by_time.size() > kMaxRemembered ||
         this->by_time.front().first + kRememberedTime < now) {
    const auto& [at, oldest] = this->by_time.front();
    const auto found = this->rejected.find(oldest);
    // It may have been rejected again since.
    if (found != this->rejected.end() && found->second == at) {
      this->rejected.erase(found);
    }
    this->by_time.pop_front();
  }
}

}  // namespace mustardproxy::jobs
