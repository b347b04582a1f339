#ifndef MUSTARDPROXY_STANDIN_STANDIN_PLATFORM_H_
#define MUSTARDPROXY_STANDIN_STANDIN_PLATFORM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mustardproxy::standin {

/// What the stand-in does wrong at present.
struct PlatformSwitches {
  /// Connections are accepted and closed without a reply.
  bool down = false;
  /// Each call waits that long before it is looked at.
  std::int64_t delay_ms = 0;
  /// Writes that take effect but are not answered; negative means all.
  std::int64_t lose_replies = 0;
  /// Calls above these rates are answered 429. A second's worth may come at
  /// once.
  std::int64_t writes_per_second = 500;
  std::int64_t reads_per_second = 2000;
  /// Time until a host list that was put shows.
  std::int64_t host_list_lag_ms = 0;
};

/// Serves the platform's HTTP interface (docs/PROTOCOLS.md) from memory, with
/// the switches of the tests.
///
/// @par Example
/// @code
/// StandinPlatform platform;
/// KeyValueClient client(platform.Url(), std::chrono::seconds(2));
/// platform.Switch({.down = true});
/// @endcode
class StandinPlatform {
 public:
  /// Begins to serve. Throws Poco's exceptions if the port is taken.
  /// @param port 0 lets the system choose one
  explicit StandinPlatform(std::uint16_t port = 0);
  ~StandinPlatform();
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  /// @return `http://ip:port`
  [[nodiscard]] std::string Url() const;
  void Switch(const PlatformSwitches& switches);
  /// Same as `PUT /v1/hosts`.
  void SetHosts(std::string json);
  /// Writes a value behind everybody's back.
  void Put(std::string_view key, std::string_view value);
  /// @return all values below a prefix
  [[nodiscard]] std::map<std::string, std::string> Values(
      std::string_view prefix) const;
  /// Calls by kind: `get`, `watch`, `list`, `keys`, `put`, `delete`, `session`,
  /// `hosts`, and what became of them: `refused`, `lost`, `dropped`.
  [[nodiscard]] std::map<std::string, std::int64_t> Counters() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_STANDIN_PLATFORM_H_
