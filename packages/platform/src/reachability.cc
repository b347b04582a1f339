#include "reachability.h"

#include <string>

#include "mustardproxy/telemetry/log.h"

namespace mustardproxy::platform_detail {
namespace {

constexpr int kFailuresToLose = 3;
constexpr int kSuccessesToReturn = 2;

}  // namespace

Reachability::Reachability(EventSink* sink, Metrics* metrics)
    : sink(sink), metrics(metrics) {}

void Reachability::OnCall(CallKind kind, CallEnd end) {
  if (this->metrics != nullptr) {
    this->metrics->Count("platform_calls", "kind=" + std::string(Name(kind)));
  }
  const std::lock_guard lock(this->mutex);
  // Turned down for its rate, it is there, but this tells nothing of an outage
  // that is ending.
  if (end == CallEnd::kRefused) {
    return;
  }
  if (end == CallEnd::kAnswered) {
    this->failures = 0;
    ++this->successes;
    if (!this->reachable || this->successes >= kSuccessesToReturn) {
      this->Report(true);
    }
    return;
  }
  this->successes = 0;
  ++this->failures;
  if (this->failures >= kFailuresToLose) {
    this->Report(false);
  }
}

void Reachability::Report(bool now_reachable) {
  if (this->reachable == now_reachable) {
    return;
  }
  this->reachable = now_reachable;
  Log(Part::kPlatform, Level::kWarn,
      now_reachable ? "The platform answers." : "The platform is away.");
  this->sink->Post(PlatformReachability{now_reachable});
}

}  // namespace mustardproxy::platform_detail
