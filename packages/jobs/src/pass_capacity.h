#ifndef MUSTARDPROXY_JOBS_PASS_CAPACITY_H_
#define MUSTARDPROXY_JOBS_PASS_CAPACITY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resource_math.h"
#include "owner_context.h"
#include "placement.h"
#include "session_observer.h"

namespace mustardproxy::jobs {

/// Free capacity of all workers that accept tasks, during one pass over the
/// queue. Workers in evacuated data centres accept none.
///
/// A pass examines hundreds of steps, so no lookup here is by name except by
/// service. Passes follow each other by the dozen in a second, so only workers
/// that have changed since the last one are examined.
class PassCapacity {
 public:
  explicit PassCapacity(OwnerContext* context);
  ~PassCapacity();
  PassCapacity(const PassCapacity&) = delete;
  PassCapacity& operator=(const PassCapacity&) = delete;

  /// Begins a pass: all capacity is as the runs on the workers leave it, and
  /// nothing is held.
  void Begin();
  /// @return the number of workers that were examined for this pass
  [[nodiscard]] std::size_t Examined() const { return this->examined; }
  /// @return true if a worker with runs did not answer when the pass began
  [[nodiscard]] bool AnySilent() const { return this->silent > 0; }

  /// @return the capacity of each worker of a service
  [[nodiscard]] std::span<WorkerCapacity* const> OfService(
      const ServiceId& service) const;
  /// @return the total capacity of a service's workers, free or not
  [[nodiscard]] Resources Capacity(const ServiceId& service) const;
  /// @return what tasks have left of that
  [[nodiscard]] Resources Free(const ServiceId& service) const;
  /// Called when tasks that take this much were placed in the pass.
  void NoteTaken(const ServiceId& service, const Resources& taken);
  /// @return the total capacity of all workers, free or not
  [[nodiscard]] Resources Total() const;
  /// @return the capacity of a worker, or null if it does not accept tasks
  [[nodiscard]] WorkerCapacity* At(SessionNumber session) const;
  /// @return false if no worker of the service has capacity for a single task
  [[nodiscard]] bool MayFitTask(const ServiceId& service,
                                const Step& step) const;

 private:
  struct ServiceCapacity;
  /// One session, for as long as the ownership lasts.
  struct Slot {
    /// As the pass leaves it.
    WorkerCapacity capacity;
    /// As the runs on the worker leave it.
    Resources free;
    /// Null unless the worker takes tasks.
    ServiceCapacity* service = nullptr;
    bool silent = false;
    Resources total;
  };
  struct ServiceCapacity {
    /// In the order of their workers' ids.
    std::vector<Slot*> slots;
    std::vector<WorkerCapacity*> capacities;
    /// Maximum over the workers of each resource. Free capacity only shrinks
    /// during a pass.
    Resources most;
    Resources capacity;
    /// What tasks have left of it.
    Resources free;
  };

  [[nodiscard]] bool TakesTasks(const WorkerSession& session) const;
  Slot& SlotAt(SessionNumber session);
  /// Removes the changed workers that take no more tasks of their service.
  void Unlist(std::span<const SessionNumber> changed);
  /// Updates the changed workers that take tasks.
  void List(std::span<const SessionNumber> changed);
  static void Reset(ServiceCapacity* service);
  [[nodiscard]] ServiceCapacity* FindService(const ServiceId& name);

  OwnerContext* context;
  ChangedSessions changes;
  /// By session; pointed to.
  std::deque<Slot> slots;
  std::map<ServiceId, ServiceCapacity> services;
  std::size_t examined = 0;
  std::size_t silent = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PASS_CAPACITY_H_
