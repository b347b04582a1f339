#ifndef MUSTARDPROXY_JOBS_WORKER_INCARNATION_H_
#define MUSTARDPROXY_JOBS_WORKER_INCARNATION_H_

#include <compare>
#include <cstdint>
#include <string>

#include "mustardproxy/core/ids.h"

namespace mustardproxy::jobs {

/// One life of a worker. The id alone names a place in which lives follow each
/// other; what a worker counts, holds or was told belongs to one of them.
struct WorkerIncarnation {
  WorkerId id;
  /// Start of the life in Unix milliseconds, as the worker tells it; 0 if it
  /// does not, and the id then names the life.
  std::int64_t start_unix_ms = 0;

  friend bool operator==(const WorkerIncarnation&,
                         const WorkerIncarnation&) = default;
  // clang-tidy takes the 0 of its own rewriting for a null pointer.
  friend std::strong_ordering operator<=>(const WorkerIncarnation&,
                                          const WorkerIncarnation&) =
      default;  // NOLINT
};

/// @return false if the two are known to be different lives
[[nodiscard]] bool MayBeSameIncarnation(const WorkerIncarnation& a,
                                        const WorkerIncarnation& b);

/// @return `id@born`, or the id alone if the birth is not known
[[nodiscard]] std::string Text(const WorkerIncarnation& worker);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_INCARNATION_H_
