#ifndef MUSTARDPROXY_PLATFORM_PLATFORM_LINK_H_
#define MUSTARDPROXY_PLATFORM_PLATFORM_LINK_H_

#include <memory>
#include <string>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// Carries out what the core asks of the platform, on threads of its own, and
/// reports through the event sink. Each `Perform` returns at once.
class PlatformLink {
 public:
  class Builder;
  ~PlatformLink();

  /// Begins to read the host list and to watch what was asked for.
  void Start();
  /// Gives calls in progress up and joins all threads.
  void Stop();

  void Perform(const WatchConfiguration& action);
  void Perform(const AppendJournal& action);
  void Perform(const ListJournals& action);
  void Perform(const ReadJournal& action);
  void Perform(const TrimJournal& action);
  void Perform(const ClaimKey& action);
  void Perform(const SettleKey& action);

 private:
  struct State;
  explicit PlatformLink(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Makes a `PlatformLink`.
class PlatformLink::Builder {
 public:
  /// @param url `http://ip:port`
  Builder& Url(std::string url);
  Builder& Timeout(Duration timeout);
  Builder& HostListInterval(Duration interval);
  Builder& Sink(EventSink* sink);
  /// Optional.
  Builder& Measure(Metrics* metrics);
  [[nodiscard]] std::unique_ptr<PlatformLink> Build();

 private:
  std::string url;
  Duration timeout = std::chrono::seconds(2);
  Duration host_list_interval = std::chrono::milliseconds(500);
  EventSink* sink = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_PLATFORM_PLATFORM_LINK_H_
