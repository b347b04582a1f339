#ifndef MUSTARDPROXY_JOBS_WRITE_GATE_H_
#define MUSTARDPROXY_JOBS_WRITE_GATE_H_

#include <optional>
#include <set>

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Tells whether a write to the store is worth sending now.
///
/// Failure guarded against: the store falls silent, and each write sent to it
/// ends uncertain. Its caller can't be told "not accepted", so it can't come
/// back, although the job might have been accepted a second later. One such
/// write can't be avoided; while it is without an answer the others wait
/// unsent, and can truly be refused.
class WriteGate {
 public:
  enum class Answer {
    /// The store answers.
    kSend,
    /// A write or two are overdue; an answer may come any moment.
    kHold,
    /// Nothing has been heard for too long.
    kRefuse,
  };

  /// A write was sent.
  void OnSent(Instant sent);
  /// The store has answered it, whatever it said.
  void OnAnswered(Instant sent, Instant now);
  /// It has ended without an answer.
  void OnUnanswered(Instant sent, Instant now);
  /// The store has answered a call of another kind that was sent then.
  void NoteAlive(Instant sent);

  [[nodiscard]] Answer At(Instant now) const;
  /// @return what an answer to a write takes
  [[nodiscard]] Duration TypicalLatency() const {
    return this->typical_latency;
  }

 private:
  [[nodiscard]] Duration OverdueAfter() const;
  /// @return since when it is in doubt that the store answers
  [[nodiscard]] std::optional<Instant> UnresponsiveSince(Instant now) const;

  /// Writes without an answer, by when they were sent.
  std::multiset<Instant> open;
  /// When the last call was sent that the store answered.
  Instant alive_at;
  /// When the last write ended without an answer.
  std::optional<Instant> failed_at;
  /// What an answer takes: at once more, and slowly less.
  Duration typical_latency{0};
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WRITE_GATE_H_
