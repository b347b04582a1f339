#include "mustardproxy/jobs/job.h"

#include <algorithm>

#include "mustardproxy/jobs/worker_driver.h"

namespace mustardproxy::jobs {
namespace {

std::string FieldOf(std::size_t step, std::string_view field) {
  return "steps[" + std::to_string(step) + "]." + std::string(field);
}

std::optional<SpecProblem> CheckAfter(const Step& step, std::size_t index) {
  for (std::size_t i = 0; i < step.after.size(); ++i) {
    const std::int32_t earlier = step.after[i];
    if (earlier >= 0 && earlier < static_cast<std::int32_t>(index)) continue;
    return SpecProblem{
        FieldOf(index, "after[" + std::to_string(i) + "]"),
        std::to_string(earlier) +
            " is not the index of an earlier step (allowed: 0 to " +
            std::to_string(index) + ", exclusive)"};
  }
  return std::nullopt;
}

std::optional<SpecProblem> CheckStep(const Step& step, std::size_t index,
                                     const SpecLimits& limits) {
  if (step.tasks < 1 || step.tasks > limits.max_tasks) {
    return SpecProblem{FieldOf(index, "tasks"),
                       std::to_string(step.tasks) + " (allowed: 1 to " +
                           std::to_string(limits.max_tasks) + ")"};
  }
  const Resources& each = step.each;
  if (each.cpu_milli < 0 || each.memory_mb < 0 || each.accelerators < 0) {
    return SpecProblem{FieldOf(index, "each"), "amounts must not be negative"};
  }
  if (step.max_per_worker < 0 || step.max_unavailable < 0) {
    return SpecProblem{FieldOf(index, "max_per_worker"),
                       "limits must not be negative"};
  }
  return CheckAfter(step, index);
}

std::optional<SpecProblem> CheckSchedule(const JobSchedule& schedule,
                                         const SpecLimits& limits) {
  if (schedule.occurrences < 0 ||
      schedule.occurrences > limits.max_occurrences) {
    return SpecProblem{"schedule.occurrences",
                       std::to_string(schedule.occurrences) +
                           " (allowed: 0 to " +
                           std::to_string(limits.max_occurrences) + ")"};
  }
  if (schedule.occurrences > 1 && schedule.interval_ms < 1) {
    return SpecProblem{"schedule.interval_ms",
                       "a recurring job requires a positive interval"};
  }
  return std::nullopt;
}

}  // namespace

std::string Text(const StepRef& step) {
  return step.job.Text() + "." + std::to_string(step.occurrence) + "." +
         std::to_string(step.step);
}

std::string Text(const TaskRef& task) {
  return Text(task.step) + "." + std::to_string(task.index);
}

std::string_view Name(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view Name(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kGangMemberEnded:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

std::set<RunRef> HoldResult::ListedRuns() const {
  std::set<RunRef> listed;
  for (const RunningRun& one : this->running) listed.insert(one.run);
  for (const EndedRun& one : this->ended) listed.insert(one.run);
  return listed;
}

std::string_view Name(OrderOutcome end) {
  switch (end) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOldRun:
      return "old-run";
    case OrderOutcome::kLeaseExpired:
      return "late";
    case OrderOutcome::kNoRoom:
      return "no-room";
    case OrderOutcome::kNoTicket:
      return "no-ticket";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kOtherIncarnation:
      return "other-life";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kUncertain:
      return "uncertain";
    case OrderOutcome::kNotSent:
      return "not-sent";
  }
  return "unknown";
}

std::optional<SpecProblem> CheckSpec(const JobSpec& spec,
                                     const SpecLimits& limits) {
  if (spec.payload.size() > limits.max_payload_bytes) {
    return SpecProblem{
        "payload", std::to_string(spec.payload.size()) + " bytes (allowed: " +
                       std::to_string(limits.max_payload_bytes) + ")"};
  }
  if (spec.steps.empty() ||
      spec.steps.size() > static_cast<std::size_t>(limits.max_steps)) {
    return SpecProblem{"steps", std::to_string(spec.steps.size()) +
                                    " steps (allowed: 1 to " +
                                    std::to_string(limits.max_steps) + ")"};
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    if (auto problem = CheckStep(spec.steps[i], i, limits)) return problem;
    tasks += spec.steps[i].tasks;
  }
  if (tasks > limits.max_tasks) {
    return SpecProblem{"steps", std::to_string(tasks) +
                                    " tasks in total (allowed: " +
                                    std::to_string(limits.max_tasks) + ")"};
  }
  return CheckSchedule(spec.schedule, limits);
}

}  // namespace mustardproxy::jobs
