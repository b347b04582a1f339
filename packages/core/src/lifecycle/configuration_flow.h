#ifndef MUSTARDPROXY_CORE_LIFECYCLE_CONFIGURATION_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_CONFIGURATION_FLOW_H_

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// Applies configurations. The version in force never decreases.
class ConfigurationFlow {
 public:
  explicit ConfigurationFlow(Parts* parts) : parts(parts) {}

  void On(const ConfigurationArrived& event);
  /// Starts or stops the watch at the platform, and fetches a newer
  /// configuration from a peer.
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->next_fetch; }

 private:
  Parts* parts;
  bool watching = false;
  Instant next_fetch;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_CONFIGURATION_FLOW_H_
