#ifndef MUSTARDPROXY_LOAD_SENT_REQUEST_H_
#define MUSTARDPROXY_LOAD_SENT_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace mustardproxy::load {

/// Kinds of work in the mix.
enum class Kind {
  /// Idempotent, answered while the caller waits.
  kUrgent,
  /// Not idempotent, without a key.
  kBooking,
  /// Not idempotent, with an idempotency key; some are sent twice.
  kKeyedBooking,
  /// Four tasks that start together.
  kGang,
  /// Deferred and idempotent.
  kReview,
  /// Deferred and not idempotent.
  kDetainee,
};

/// @return the service that work of this kind is sent to
[[nodiscard]] std::string ServiceOf(Kind kind);
/// @return tasks that a request of this kind starts
[[nodiscard]] std::int32_t TasksOf(Kind kind);

/// What the caller knows at the end.
enum class Fate {
  kCompleted,
  kNotRun,
  /// Told so, or no answer came at all.
  kUnknown,
  /// Deferred work that was accepted and has not ended.
  kUnfinished,
};

/// One request as its caller saw it.
struct SentRequest {
  std::int64_t number = 0;
  Kind kind = Kind::kUrgent;
  /// Url of the entry process.
  std::string entry;
  std::string team;
  std::string key;
  std::string body;
  /// When it is sent, from the start of the load.
  std::chrono::microseconds due{0};
  /// How late it was sent after all.
  std::chrono::microseconds late{0};
  /// From sending to the answer.
  std::chrono::microseconds took{0};
  int status = 0;
  std::string request_id;
  Fate fate = Fate::kUnknown;
  /// Deferred work was acknowledged with 202.
  bool accepted = false;
  /// The answer was that of another request, or not whole.
  bool wrong_answer = false;
};

}  // namespace mustardproxy::load

#endif  // MUSTARDPROXY_LOAD_SENT_REQUEST_H_
