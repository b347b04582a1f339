#ifndef MUSTARDPROXY_PLATFORM_SRC_CONFIGURATION_WATCH_H_
#define MUSTARDPROXY_PLATFORM_SRC_CONFIGURATION_WATCH_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "job_pool.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/platform/platform_link.h"

namespace mustardproxy::platform_detail {

/// Reads the configuration document once, and then keeps a waiting call on it
/// for as long as it is asked to.
class ConfigurationWatch {
 public:
  /// @param pool runs the calls, and should run nothing else
  ConfigurationWatch(JobPool* pool, ConfigurationParserFunction parser,
                     Duration wait, EventSink* sink);

  void Start();
  /// A call that is waiting when the watch ends runs to its end.
  void SetWatching(bool watch);

 private:
  [[nodiscard]] bool WantsCall();
  void Resume();
  std::optional<Duration> Step(KeyValueClient* client);
  void Deliver(const KeyValue& document);

  JobPool* pool;
  ConfigurationParserFunction parser;
  Duration wait;
  EventSink* sink;
  std::mutex mutex;
  bool watching = false;
  bool read_once = false;
  /// A step is running or waits in the pool.
  bool active = false;
  /// Of the newest document seen; used by the step alone.
  std::uint64_t index = 0;
};

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_CONFIGURATION_WATCH_H_
