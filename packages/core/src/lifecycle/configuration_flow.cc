#include "lifecycle/configuration_flow.h"

#include <algorithm>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {
namespace {

constexpr Duration kFetchInterval = std::chrono::milliseconds(500);

}  // namespace

void ConfigurationFlow::On(const ConfigurationArrived& event) {
  CoreContext& context = this->parts->context;
  // Configurations arrive from the platform and from peers in any order, and a
  // platform restored from a backup may serve an old one. An older version must
  // never replace an accepted change.
  if (event.configuration.version <= context.configuration.version) {
    return;
  }
  context.configuration = event.configuration;
  this->parts->scheduler.Configure(context.configuration);
  context.Record(
      TextEvent(TimelineKind::kConfigurationApplied,
                "version " + std::to_string(context.configuration.version)));
  this->parts->deferred.QueueParked();
}

void ConfigurationFlow::Tick() {
  CoreContext& context = this->parts->context;
  const bool keep =
      this->parts->membership.IsConfigurationWatcher() && !context.stopping;
  if (keep != this->watching) {
    this->watching = keep;
    context.Emit(WatchConfiguration{keep});
  }
  if (context.now < this->next_fetch) {
    return;
  }
  this->next_fetch = context.now + kFetchInterval;
  const auto peer = this->parts->membership.PeerWithNewerConfiguration(
      context.configuration.version);
  if (peer) {
    context.Emit(FetchConfiguration{peer->process});
  }
}

}  // namespace mustardproxy::detail
