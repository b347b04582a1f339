#ifndef MUSTARDPROXY_JOBS_JOB_JSON_H_
#define MUSTARDPROXY_JOBS_JOB_JSON_H_

#include <string_view>
#include <variant>

#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Names of the JSON fields of a job. The defaults are the names used by the
/// product; an adapter supplies those of its platform.
struct JobFieldNames {
  const char* payload = "payload";
  const char* steps = "steps";
  const char* first_unix_ms = "first_unix_ms";
  const char* interval_ms = "interval_ms";
  const char* occurrences = "occurrences";
  const char* tasks = "tasks";
  const char* cpu_milli = "cpu_milli";
  const char* memory_mb = "memory_mb";
  const char* accelerators = "accelerators";
  const char* estimate_ms = "estimate_ms";
  const char* after = "after";
  const char* checkpointing = "checkpointing";
  const char* gang = "gang";
  const char* same_rack = "same_rack";
  const char* speculative = "speculative";
  const char* long_running = "long_running";
  const char* best_effort = "best_effort";
  const char* required_label = "required_label";
  const char* near_rack = "near_rack";
  const char* max_per_worker = "max_per_worker";
  const char* image = "image";
  const char* response_target_ms = "response_target_ms";
  const char* max_unavailable = "max_unavailable";
};

/// Parses a job specification from JSON and validates it. Unknown fields are
/// ignored.
/// @return the job specification, or the first problem with the field name as
///   it appears in `names`
///
/// @code
///     auto parsed =
///         ParseJobJson(R"({"steps":[{"tasks":4,"cpu_milli":500}]})", {});
/// @endcode
[[nodiscard]] std::variant<JobSpec, SpecProblem> ParseJobJson(
    std::string_view text, const JobFieldNames& names);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_JSON_H_
