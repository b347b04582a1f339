#ifndef MUSTARDPROXY_PLATFORM_SRC_REACHABILITY_H_
#define MUSTARDPROXY_PLATFORM_SRC_REACHABILITY_H_

#include <mutex>
#include <optional>

#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/platform/call_observer.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy::platform_detail {

/// Tells the core when the platform stops and begins to answer, and counts the
/// calls. A change needs several calls in a row with the same end, so that one
/// lost reply does not make every entry process change its mind.
class Reachability final : public CallObserver {
 public:
  /// @param metrics may be null
  Reachability(EventSink* sink, Metrics* metrics);

  void OnCall(CallKind kind, CallEnd end) override;

 private:
  void Report(bool now_reachable);

  EventSink* sink;
  Metrics* metrics;
  std::mutex mutex;
  /// Empty until the first report.
  std::optional<bool> reachable;
  int failures = 0;
  int successes = 0;
};

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_REACHABILITY_H_
