#ifndef MUSTARDPROXY_APP_SIGNALS_H_
#define MUSTARDPROXY_APP_SIGNALS_H_

#include <csignal>
#include <span>

namespace mustardproxy {

/// Signals that a program waits for. Made before any thread, which all inherit
/// that they are blocked, so that only `Wait` takes them. SIGPIPE is ignored: a
/// write to a connection that the other end has closed raises it.
class Signals {
 public:
  explicit Signals(std::span<const int> awaited);

  /// @return the signal that came
  [[nodiscard]] int Wait() const;

 private:
  sigset_t signals{};
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_SIGNALS_H_
