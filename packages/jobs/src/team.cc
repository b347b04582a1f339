#include "mustardproxy/jobs/team.h"

#include <algorithm>

namespace mustardproxy::jobs {
namespace {

std::int64_t CountOne(std::int64_t cap, std::int64_t used, std::int64_t each,
                      std::int64_t limit) {
  if (cap == 0 || each == 0) return limit;
  return std::clamp<std::int64_t>((cap - used) / each, 0, limit);
}

}  // namespace

bool MayAccess(const JobAccess& caller, const JobAccess& job) {
  if (job.team.Empty() || caller.team.Empty()) return true;
  return job.team == caller.team ||
         job.key_fingerprint == caller.key_fingerprint;
}

std::int64_t CountUnderCap(const Resources& cap, const Resources& used,
                           const Resources& each, std::int64_t limit) {
  limit = CountOne(cap.cpu_milli, used.cpu_milli, each.cpu_milli, limit);
  limit = CountOne(cap.memory_mb, used.memory_mb, each.memory_mb, limit);
  return CountOne(cap.accelerators, used.accelerators, each.accelerators,
                  limit);
}

}  // namespace mustardproxy::jobs
