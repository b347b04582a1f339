#ifndef MUSTARDPROXY_JOBS_PASS_CAPACITY_H_
#define MUSTARDPROXY_JOBS_PASS_CAPACITY_H_

#include <map>
#include <span>
#include <vector>

#include "evacuations.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resource_math.h"
#include "placement.h"
#include "worker_table.h"

namespace mustardproxy::jobs {

/// Free capacity of all workers that accept tasks, during one pass over the
/// queue. A pass examines hundreds of steps, so no lookup here is by name
/// except by service.
class PassCapacity {
 public:
  /// Leaves out the workers in evacuated data centres.
  PassCapacity(const WorkerTable& workers, const Evacuations& evacuations);
  PassCapacity(const PassCapacity&) = delete;
  PassCapacity& operator=(const PassCapacity&) = delete;

  /// @return the capacity of each worker of a service
  [[nodiscard]] std::span<WorkerCapacity* const> OfService(
      const ServiceId& service) const;
  /// @return the total capacity of a service's workers, free or not
  [[nodiscard]] Resources Capacity(const ServiceId& service) const;
  /// @return the total capacity of all workers, free or not
  [[nodiscard]] Resources Total() const;
  /// @return the capacity of a worker, or null if it does not accept tasks
  [[nodiscard]] WorkerCapacity* At(SessionNumber session) const {
    return session < this->by_session.size() ? this->by_session[session]
                                             : nullptr;
  }
  /// @return false if no worker of the service has capacity for a single task
  [[nodiscard]] bool MayFitTask(const ServiceId& service,
                                const Step& step) const;

 private:
  struct ServiceCapacity {
    std::vector<WorkerCapacity*> capacities;
    /// Maximum over the workers of each resource. Free capacity only shrinks
    /// during a pass.
    Resources most;
    Resources capacity;
  };

  std::vector<WorkerCapacity> capacities;
  std::vector<WorkerCapacity*> by_session;
  std::map<ServiceId, ServiceCapacity> services;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PASS_CAPACITY_H_
