#ifndef MUSTARDPROXY_JOBS_PASS_ROOMS_H_
#define MUSTARDPROXY_JOBS_PASS_ROOMS_H_

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
class PassRooms {
 public:
  explicit PassRooms(const WorkerTable& workers);
  PassRooms(const PassRooms&) = delete;
  PassRooms& operator=(const PassRooms&) = delete;

  /// @return rooms of a service's workers
  [[nodiscard]] std::span<Room* const> OfService(
      const ServiceId& service) const;
  /// @return what all of a service's workers hold together
  [[nodiscard]] Resources Capacity(const ServiceId& service) const;
  /// @return the room of a worker, or null if it may not take tasks
  [[nodiscard]] Room* At(SessionNumber session) const {
    return session < this->by_session.size() ? this->by_session[session]
                                             : nullptr;
  }
  /// @return false if no worker of the service has room for a single task
  [[nodiscard]] bool MayFit(const ServiceId& service, const Step& step) const;

 private:
  struct ServiceRooms {
    std::vector<Room*> rooms;
    /// The most that any worker has of each part; rooms only shrink in a pass.
    Resources most;
    Resources capacity;
  };

  std::vector<Room> rooms;
  std::vector<Room*> by_session;
  std::map<ServiceId, ServiceRooms> services;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PASS_ROOMS_H_
