#ifndef MUSTARDPROXY_JOBS_WORKER_INCARNATION_H_
#define MUSTARDPROXY_JOBS_WORKER_INCARNATION_H_

#include <compare>
#include <cstdint>
#include <string>

#include "mustardproxy/core/ids.h"

namespace mustardproxy::jobs {

/// Identifies one incarnation of a worker, from its start to its end.
/// Successive incarnations share the id. Sequence numbers, runs and orders
/// belong to a single incarnation.
struct WorkerIncarnation {
  WorkerId id;
  /// Start time in Unix milliseconds as reported by the worker. 0 if the worker
  /// does not report it; the id alone then identifies the incarnation.
  std::int64_t start_unix_ms = 0;

  friend bool operator==(const WorkerIncarnation&,
                         const WorkerIncarnation&) = default;
  // clang-tidy reports the 0 in the rewritten comparison as a null pointer.
  friend std::strong_ordering operator<=>(const WorkerIncarnation&,
                                          const WorkerIncarnation&) =
      default;  // NOLINT
};

/// @return false if `a` and `b` are known to be different incarnations
[[nodiscard]] bool MayBeSameIncarnation(const WorkerIncarnation& a,
                                        const WorkerIncarnation& b);

/// @return `id@start`, or the id alone if the start time is not known
[[nodiscard]] std::string Text(const WorkerIncarnation& worker);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_INCARNATION_H_
