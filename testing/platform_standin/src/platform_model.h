#ifndef MUSTARDPROXY_STANDIN_SRC_PLATFORM_MODEL_H_
#define MUSTARDPROXY_STANDIN_SRC_PLATFORM_MODEL_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "key_value_store.h"
#include "rate_limit.h"
#include "standin/standin_platform.h"

namespace mustardproxy::standin {

/// Everything that the handlers of requests share. Safe from any thread.
class PlatformModel {
 public:
  KeyValueStore store;

  void Switch(const PlatformSwitches& next);
  [[nodiscard]] PlatformSwitches Switches() const;
  /// Waits the delay that is set; ends early when stopped.
  void Delay();
  /// @return true if a reply is to be lost now; it is counted
  [[nodiscard]] bool LoseReply();
  [[nodiscard]] bool TryRead();
  [[nodiscard]] bool TryWrite();
  void SetHosts(std::string json);
  /// @return the host list that shows at present
  [[nodiscard]] std::string Hosts();
  void Count(std::string_view kind);
  [[nodiscard]] std::map<std::string, std::int64_t> Counters() const;
  void Stop();

 private:
  struct PendingHosts {
    std::chrono::steady_clock::time_point shows;
    std::string json;
  };

  mutable std::mutex mutex;
  std::condition_variable woken;
  bool stopped = false;
  PlatformSwitches switches;
  RateLimit reads{PlatformSwitches().reads_per_second};
  RateLimit writes{PlatformSwitches().writes_per_second};
  std::string hosts = R"({"hosts": []})";
  std::deque<PendingHosts> pending_hosts;
  std::map<std::string, std::int64_t> counters;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_PLATFORM_MODEL_H_
