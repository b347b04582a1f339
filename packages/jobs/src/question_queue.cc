#include "question_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Value of work that is done late, as a fraction of its value in time.
constexpr double kLateValueFraction = 0.2;
/// Value of work beyond the share of its team, as a fraction of the same work
/// within it.
constexpr double kExcessValueFraction = 0.2;
/// One of this many long questions is the one that has waited longest.
constexpr std::uint64_t kOldestPeriod = 4;
/// One of this many is the oldest of all, including questions for jobs without
/// remaining value, because their callers still wait for the end.
constexpr std::uint64_t kOldestOfAllPeriod = 4 * kOldestPeriod;
/// Minimum values for a task that declares no processors or no run time, and
/// the run time assumed for a task that runs until it is stopped.
constexpr std::int64_t kMinTaskCpuMilli = 100;
constexpr Duration kMinTaskRunTime = milliseconds(100);
constexpr Duration kServiceRunTime = seconds(60);

double RemainingValue(DeadlineStatus deadline_status) {
  switch (deadline_status) {
    case DeadlineStatus::kOnTime:
      return 1.0;
    case DeadlineStatus::kLate:
      return kLateValueFraction;
    case DeadlineStatus::kExpired:
      break;
  }
  return 0.0;
}

/// @return value of the work that can start per unit of the policy service's
///   time. The fixed part of the cost stands for the whole, because the workers
///   in the question are selected later.
double ValuePerCost(const PermissionRequest& request, Instant now) {
  const auto cost = static_cast<double>(
      std::max<std::int64_t>(1, request.policy.decision.count()));
  const double share = request.exceeds_share ? kExcessValueFraction : 1.0;
  return share * RemainingValue(request.deadlines.At(now)) *
         static_cast<double>(request.work.count()) / cost;
}

/// @return true for work that comes after that of teams within their shares
bool Yields(const PermissionRequest& request, Instant now) {
  return request.yields ||
         request.deadlines.At(now) == DeadlineStatus::kExpired;
}

bool PrecedesInQueue(const WaitingQuestion& a, const WaitingQuestion& b,
                     Instant now) {
  const bool a_short = !IsLong(a.request.policy);
  const bool b_short = !IsLong(b.request.policy);
  if (a_short != b_short) return a_short;
  if (a.request.capacity_reserved != b.request.capacity_reserved)
    return a.request.capacity_reserved;
  // Failure: the wide work of a team beyond its share is worth more than the
  // narrow work of the others, and its questions delay theirs.
  if (a.request.yields || b.request.yields) {
    const bool a_yields = Yields(a.request, now);
    const bool b_yields = Yields(b.request, now);
    if (a_yields != b_yields) return b_yields;
  }
  const double a_value = ValuePerCost(a.request, now);
  const double b_value = ValuePerCost(b.request, now);
  return std::tie(b_value, a.request.start_by, a.number) <
         std::tie(a_value, b.request.start_by, b.number);
}

bool IsLongWithoutCapacity(const WaitingQuestion& one) {
  return IsLong(one.request.policy) && !one.request.capacity_reserved;
}

}  // namespace

bool IsLong(const AdvicePolicy& policy) {
  return policy.decision >= kLongQuestionThreshold;
}

Duration DeclaredWork(const Step& step, std::int64_t tasks) {
  const Duration run = step.long_running
                           ? kServiceRunTime
                           : std::max(kMinTaskRunTime, step.estimate);
  const std::int64_t cpu = std::max(kMinTaskCpuMilli, step.each.cpu_milli);
  return tasks * cpu * run / 1000;
}

void QuestionQueue::Push(const PermissionRequest& request, Instant now) {
  this->waiting.push_back({request, now, this->next_number++});
}

void QuestionQueue::Forget(const JobId& job) {
  std::erase_if(this->waiting, [&](const WaitingQuestion& one) {
    return one.request.step.job == job;
  });
}

QuestionQueue::Iterator QuestionQueue::FindOldest(Instant now) {
  // Expired questions are sent too, but not at the expense of late ones.
  const bool include_expired = this->long_sent % kOldestOfAllPeriod == 0;
  auto oldest = this->waiting.end();
  for (auto one = this->waiting.begin(); one != this->waiting.end(); ++one) {
    if (!IsLongWithoutCapacity(*one)) continue;
    const bool counts = include_expired || one->request.deadlines.At(now) !=
                                               DeadlineStatus::kExpired;
    const bool older =
        oldest == this->waiting.end() || one->number < oldest->number;
    if (counts && older) oldest = one;
  }
  return oldest;
}

std::optional<WaitingQuestion> QuestionQueue::TakeNext(Instant now,
                                                       bool with_long) {
  auto next = this->waiting.end();
  for (auto one = this->waiting.begin(); one != this->waiting.end(); ++one) {
    if (!with_long && IsLong(one->request.policy)) continue;
    const bool first =
        next == this->waiting.end() || PrecedesInQueue(*one, *next, now);
    if (first) next = one;
  }
  if (next == this->waiting.end()) return std::nullopt;
  if (IsLongWithoutCapacity(*next) && this->long_sent % kOldestPeriod == 0) {
    const auto oldest = this->FindOldest(now);
    if (oldest != this->waiting.end()) next = oldest;
  }
  WaitingQuestion taken = std::move(*next);
  // The order in the vector has no meaning.
  if (next != this->waiting.end() - 1) *next = std::move(this->waiting.back());
  this->waiting.pop_back();
  return taken;
}

}  // namespace mustardproxy::jobs
