#ifndef MUSTARDPROXY_PLATFORM_PLATFORM_LINK_H_
#define MUSTARDPROXY_PLATFORM_PLATFORM_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// Turns the text of the configuration document into the document; empty if the
/// text is not a valid one. Runs on a thread of the link.
using ConfigurationParserFunction =
    std::function<std::optional<Configuration>(std::string_view)>;

/// Carries out what the core asks of the platform, on threads of its own, and
/// reports through the event sink. Each `Perform` returns at once.
///
/// Appends to journals have a thread to themselves, so that nothing else can
/// hold up a caller's 202.
class PlatformLink {
 public:
  class Builder;
  ~PlatformLink();
  PlatformLink(const PlatformLink&) = delete;
  PlatformLink& operator=(const PlatformLink&) = delete;

  /// Begins to read the host list and to watch what was asked for. Reads the
  /// configuration once, also when it is not watched.
  void Start();
  /// Gives calls in progress up and joins all threads. What was still waiting
  /// ends without an event.
  void Stop();

  /// Writes `member/<process>`, in the background until it succeeded.
  /// @param json for example `{"operators": "10.0.0.1:8081"}`
  void RegisterMember(const std::string& process, const std::string& json);

  void Perform(const WatchConfiguration& action);
  void Perform(const AppendJournal& action);
  void Perform(const ListJournals& action);
  void Perform(const ReadJournal& action);
  /// Batches that hold an adopted record and the newest batch stay, so that
  /// they go on fencing a former owner off.
  void Perform(const TrimJournal& action);
  /// A round that begins while another one is under way does nothing.
  void Perform(const SweepClaims& action);
  void Perform(const ClaimKey& action);
  void Perform(const ResolveKeyClaim& action);

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
  /// Pause between reads of the host list; a failed one is repeated after 500
  /// ms at most.
  Builder& HostListInterval(Duration interval);
  /// Longest time that one watch of the configuration waits. A watch whose
  /// connection went silent is noticed only after it and the timeout.
  Builder& WatchWait(Duration wait);
  Builder& ConfigurationParser(ConfigurationParserFunction parser);
  Builder& Sink(EventSink* sink);
  /// Optional.
  Builder& Measure(Metrics* metrics);
  [[nodiscard]] std::unique_ptr<PlatformLink> Build();

 private:
  std::string url;
  Duration timeout = std::chrono::seconds(2);
  Duration host_list_interval = std::chrono::milliseconds(500);
  /// Failure: the connection of a watch goes silent while new ones work. It
  /// shows as a change that comes in only once the watch has run out. With the
  /// timeout of 2 s and the pause before a new call a change is seen within
  /// 5.5 s, below the 9 s in which it has to be in force everywhere.
  Duration watch_wait = std::chrono::seconds(3);
  ConfigurationParserFunction parser;
  EventSink* sink = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_PLATFORM_PLATFORM_LINK_H_
