#ifndef MUSTARDPROXY_JOBS_WRITE_GATE_H_
#define MUSTARDPROXY_JOBS_WRITE_GATE_H_

#include <optional>
#include <set>

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Decides whether a write to the store should be sent now.
///
/// Failure: the store stops responding, and every write that is sent to it has
/// an unknown outcome. The caller cannot be told that its job was rejected,
/// although the job might have been accepted a second later. One such write
/// cannot be avoided; while it has no response, further writes are held back
/// unsent and can still be rejected.
class WriteGate {
 public:
  enum class Answer {
    /// The store responds.
    kSend,
    /// A write is overdue; its response may still arrive.
    kHold,
    /// The store has not responded for too long.
    kRefuse,
  };

  /// Records that a write was sent.
  void OnSent(Instant sent);
  /// Records the response to a write, whatever its outcome.
  void OnAnswered(Instant sent, Instant now);
  /// Records that a write ended without a response.
  void OnUnanswered(Instant sent, Instant now);
  /// Records a response to another kind of call that was sent at `sent`.
  void NoteAlive(Instant sent);

  [[nodiscard]] Answer At(Instant now) const;
  /// @return the typical time from a write to its response
  [[nodiscard]] Duration TypicalLatency() const {
    return this->typical_latency;
  }

 private:
  [[nodiscard]] Duration OverdueAfter() const;
  /// @return the time since which the store is considered unresponsive, if it
  ///   is
  [[nodiscard]] std::optional<Instant> UnresponsiveSince(Instant now) const;

  /// Send times of the writes without a response.
  std::multiset<Instant> unanswered;
  /// Latest send time of a call that was answered.
  Instant last_answered_send;
  /// Time at which the last write ended without a response.
  std::optional<Instant> last_failure;
  /// Response time of writes; rises at once and decays slowly.
  Duration typical_latency{0};
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WRITE_GATE_H_
