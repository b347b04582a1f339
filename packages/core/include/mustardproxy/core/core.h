#ifndef MUSTARDPROXY_CORE_CORE_H_
#define MUSTARDPROXY_CORE_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/digest.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/journal.h"
#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/ownership.h"
#include "mustardproxy/core/worker_health.h"

namespace mustardproxy {

/// Construction parameters of a core.
struct CoreOptions {
  PeerDescription self;
  Incarnation incarnation = 0;
  std::vector<PeerDescription> peers;
  /// Workers named in the settings, used until the first host list arrives.
  std::vector<WorkerDescription> workers;
  MembershipOptions membership;
  OwnershipOptions ownership;
  WorkerHealthOptions worker_health;
  JournalOptions journal;
  /// Lease of a task at its worker; each renewal of the worker's own lease
  /// renews it. A task on an unreachable worker is considered stopped once this
  /// time has passed since the last renewal was sent.
  Duration task_lease = std::chrono::seconds(10);
  /// The same for a start that the worker never confirmed. A suspended worker
  /// may still have the start unread in its receive buffer and run it after it
  /// resumes; the task's lease begins only then.
  Duration unconfirmed_start_timeout = std::chrono::seconds(60);
  /// Maximum number of requests of all kinds in progress in this process.
  std::int32_t max_requests = 20000;
  /// Seed of the core's random number generators.
  std::uint64_t seed = 0;
};

/// State summary for operators.
struct CoreStatus {
  ProcessId process;
  DataCenterId data_center;
  Incarnation incarnation = 0;
  ConfigurationVersion configuration_version = 0;
  bool ready = false;
  bool stopping = false;
  bool platform_reachable = false;
  std::int32_t owned_workers = 0;
  std::int32_t known_workers = 0;
  std::int32_t live_peers = 0;
  std::int32_t queued = 0;
  std::int32_t running = 0;
  std::int32_t requests = 0;
  std::int32_t deferred = 0;
  Resources capacity;
  Resources free;
  std::vector<JournalId> journals;
  /// Digest that peers would receive now.
  Digest digest;
};

/// Decision logic of one entry process. It performs no input or output: it
/// consumes events and emits actions. Not thread-safe; only the control thread
/// calls it.
///
/// @par Example
/// @code
/// Core core(options);
/// Actions actions;
/// core.Handle(now, ConfigurationArrived{configuration}, &actions);
/// core.Handle(now, RequestArrived{request}, &actions);
/// @endcode
class Core {
 public:
  explicit Core(CoreOptions options);
  ~Core();
  Core(Core&&) noexcept;
  Core& operator=(Core&&) noexcept;

  /// Processes one event and appends the resulting actions to `actions`.
  void Handle(Instant now, Event event, Actions* actions);
  /// @return the latest time at which the next `Tick` must be delivered
  [[nodiscard]] Instant NextWakeup() const;
  [[nodiscard]] CoreStatus Status(Instant now) const;
  /// @return the configuration in force
  [[nodiscard]] const Configuration& ConfigurationInForce() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_CORE_H_
