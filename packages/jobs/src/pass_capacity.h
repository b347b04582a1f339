#ifndef MUSTARDPROXY_JOBS_PASS_CAPACITY_H_
#define MUSTARDPROXY_JOBS_PASS_CAPACITY_H_

#include <map>
#include <span>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resource_math.h"
#include "placement.h"
#include "worker_table.h"

namespace mustardproxy::jobs {

/// The room of all workers that may take tasks, during one pass over the queue.
/// A pass looks at hundreds of steps, so nothing here is searched by name.
class PassCapacity {
 public:
  explicit PassCapacity(const WorkerTable& workers);
  PassCapacity(const PassCapacity&) = delete;
  PassCapacity& operator=(const PassCapacity&) = delete;

  /// @return rooms of a service's workers
  [[nodiscard]] std::span<WorkerCapacity* const> OfService(
      const ServiceId& service) const;
  /// @return what all of a service's workers hold together
  [[nodiscard]] Resources Capacity(const ServiceId& service) const;
  /// @return the room of a worker, or null if it may not take tasks
  [[nodiscard]] WorkerCapacity* At(SessionNumber session) const {
    return session < this->by_session.size() ? this->by_session[session]
                                             : nullptr;
  }
  /// @return false if no worker of the service has room for a single task
  [[nodiscard]] bool MayFitTask(const ServiceId& service,
                                const Step& step) const;

 private:
  struct ServiceCapacity {
    std::vector<WorkerCapacity*> capacities;
    /// The most that any worker has of each part; rooms only shrink in a pass.
    Resources most;
    Resources capacity;
  };

  std::vector<WorkerCapacity> capacities;
  std::vector<WorkerCapacity*> by_session;
  std::map<ServiceId, ServiceCapacity> services;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PASS_CAPACITY_H_
