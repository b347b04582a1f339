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

/// All that a core is made with.
struct CoreOptions {
  PeerDescription self;
  Incarnation incarnation = 0;
  std::vector<PeerDescription> peers;
  /// Workers known from the settings, before any host list arrives.
  std::vector<WorkerDescription> workers;
  MembershipOptions membership;
  OwnershipOptions ownership;
  WorkerHealthOptions worker_health;
  JournalOptions journal;
  /// Lease of a task at its worker, renewed with each renewal of the worker's
  /// own lease. A task whose worker can't be reached counts as stopped this
  /// long after the last renewal was sent.
  Duration task_lease = std::chrono::seconds(10);
  /// The same for a start that the worker never confirmed. It may still lie
  /// unread in a worker that is frozen, and would run as soon as that goes on:
  /// its lease only begins there and then.
  Duration unconfirmed_start_timeout = std::chrono::seconds(60);
  /// Most requests in progress here at once, of all kinds.
  std::int32_t max_requests = 20000;
  /// Seed of everything random in the core.
  std::uint64_t seed = 0;
};

/// A summary for operators.
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
  /// What peers are told when they ask at this moment.
  Digest digest;
};

/// The decisions of one entry process, without input or output: events in,
/// actions out. Not thread-safe; the control thread drives it.
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

  /// Takes one event in and appends what is to be done to `actions`.
  void Handle(Instant now, Event event, Actions* actions);
  /// @return when a `Tick` is due at the latest
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
