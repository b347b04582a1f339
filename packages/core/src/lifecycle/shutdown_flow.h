#ifndef MUSTARDPROXY_CORE_LIFECYCLE_SHUTDOWN_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_SHUTDOWN_FLOW_H_

#include <set>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// Graceful shutdown: requests in progress are completed, then journals are
/// handed over and leases released.
class ShutdownFlow {
 public:
  explicit ShutdownFlow(Parts* parts) : parts(parts) {}

  void Begin();
  /// The *handed over* record of a journal is durable.
  void OnHandedOver(const JournalId& journal);
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->next_check; }

 private:
  enum class Step { kRunning, kDraining, kHandingOver, kReleasing, kFinished };

  void HandOver();
  void Release();

  Parts* parts;
  Step step = Step::kRunning;
  std::set<JournalId> handing_over;
  Instant step_deadline = Instant::max();
  Instant next_check = Instant::max();
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_SHUTDOWN_FLOW_H_
