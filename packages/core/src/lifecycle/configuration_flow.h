#ifndef MUSTARDPROXY_CORE_LIFECYCLE_CONFIGURATION_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_CONFIGURATION_FLOW_H_

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// Which configuration is in force here. It only ever goes forward.
class ConfigurationFlow {
 public:
  explicit ConfigurationFlow(Parts* parts) : parts(parts) {}

  void On(const ConfigurationArrived& event);
  /// Keeps or gives up the watch at the platform, and fetches what a peer has
  /// newer.
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->next_fetch; }

 private:
  Parts* parts;
  bool watching = false;
  Instant next_fetch;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_CONFIGURATION_FLOW_H_
