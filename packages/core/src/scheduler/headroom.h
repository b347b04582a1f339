#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_

#include <cstdint>
#include <optional>

#include "mustardproxy/core/ledger.h"
#include "scheduler/catalog.h"

namespace mustardproxy::detail {

/// Room kept free for urgent work (priority 0), as much as its measured
/// arrivals and run times ask for.
///
/// With arrivals at random, the number of urgent tasks that run at once has
/// about the mean and variance of `rate * run time`. Room is kept for that mean
/// and three standard deviations, less what urgent tasks hold already, and
/// never for more than half of the cell.
class Headroom {
 public:
  /// Works the target out again if it is due.
  void Update(Instant now, const Catalog& catalog, Ledger* ledger);
  /// @return tasks of the mean urgent size to be kept room for now
  [[nodiscard]] std::int64_t Wanted() const;
  void UrgentStarted() { ++this->running; }
  void UrgentEnded() { --this->running; }
  /// @param beside room that is free but promised to a gang, in urgent tasks
  /// @return true if lower-priority work may take `resources` there
  [[nodiscard]] bool Allows(const Ledger& ledger, const WorkerId& worker,
                            const Resources& resources,
                            std::int64_t beside) const;
  /// The mean urgent task.
  [[nodiscard]] const Resources& Task() const { return this->task; }
  /// @return when the target changes next
  [[nodiscard]] std::optional<Instant> NextUpdate() const;

 private:
  std::optional<Instant> updated;
  Resources task;
  std::int64_t target = 0;
  std::int64_t running = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_
