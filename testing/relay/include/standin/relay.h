#ifndef MUSTARDPROXY_STANDIN_RELAY_H_
#define MUSTARDPROXY_STANDIN_RELAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace mustardproxy::standin {

/// Faults that a relay puts between two ends.
struct RelayFaults {
  /// Connections are reset, and new ones refused.
  bool cut = false;
  /// No byte passes and no connection is taken; all goes on afterwards.
  bool freeze = false;
  /// Added to each byte's way.
  std::chrono::milliseconds delay{0};
};

/// Passes TCP connections on to one address, on one thread, and does harm to
/// them when told to.
class Relay {
 public:
  static constexpr std::size_t kMaxConnections = 1024;

  /// Listens once it returns; throws Poco's exceptions if it can not.
  /// @param port port on 127.0.0.1, or 0 for any
  /// @param target `ip:port`
  /// @param max_connections further ones are reset
  Relay(std::uint16_t port, const std::string& target,
        std::size_t max_connections = kMaxConnections);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::uint16_t Port() const;
  /// @return `127.0.0.1:port`
  [[nodiscard]] std::string Address() const;

  /// The faults are in force when it returns.
  void Set(const RelayFaults& faults);
  [[nodiscard]] RelayFaults Faults() const;
  /// Drops the bytes of the connections open now, for good, and leaves them
  /// open; as when something between two ends has lost track of them.
  void SilenceOpen();
  /// Same as `POST /switch`.
  /// @return what was not understood, empty if nothing
  std::string Switch(const std::string& json);
  /// @return connections taken so far
  [[nodiscard]] std::int64_t Taken() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// `POST /switch` for a relay, on a port of its own.
class RelayControl {
 public:
  RelayControl(std::uint16_t port, Relay* relay);
  ~RelayControl();
  RelayControl(const RelayControl&) = delete;
  RelayControl& operator=(const RelayControl&) = delete;

  [[nodiscard]] std::uint16_t Port() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_RELAY_H_
