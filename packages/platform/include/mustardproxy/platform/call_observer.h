#ifndef MUSTARDPROXY_PLATFORM_CALL_OBSERVER_H_
#define MUSTARDPROXY_PLATFORM_CALL_OBSERVER_H_

#include <string_view>

namespace mustardproxy {

/// Kinds of call to the platform. A waiting call counts as one.
enum class CallKind { kGet, kWatch, kList, kKeys, kSwap, kRemove, kHosts };

/// How far a call to the platform came.
enum class CallEnd {
  /// The platform answered.
  kAnswered,
  /// The platform turned it down and did nothing: past its rate, or the value
  /// is too large.
  kRefused,
  /// No connection: not one byte was sent.
  kNotSent,
  /// Sent, and no whole reply came: a write may have taken effect.
  kNoReply,
};

/// @return a stable name such as `swap`
[[nodiscard]] std::string_view Name(CallKind kind);

/// Told of each call that a `KeyValueClient` has made.
class CallObserver {
 public:
  CallObserver() = default;
  CallObserver(const CallObserver&) = delete;
  CallObserver& operator=(const CallObserver&) = delete;
  virtual ~CallObserver() = default;

  /// Runs on the thread that made the call.
  virtual void OnCall(CallKind kind, CallEnd end) = 0;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_PLATFORM_CALL_OBSERVER_H_
