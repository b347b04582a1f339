#ifndef MUSTARDPROXY_JOBS_WORKER_TABLE_H_
#define MUSTARDPROXY_JOBS_WORKER_TABLE_H_

#include <map>
#include <memory>

#include "mustardproxy/core/ids.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// All workers that an owner knows, by id; in a fixed order, so that decisions
/// repeat.
using WorkerTable = std::map<WorkerId, std::unique_ptr<WorkerSession>>;

[[nodiscard]] inline WorkerSession* Find(const WorkerTable& workers,
                                         const WorkerId& id) {
  const auto found = workers.find(id);
  return found == workers.end() ? nullptr : found->second.get();
}

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_TABLE_H_
