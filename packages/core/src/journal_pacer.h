#ifndef MUSTARDPROXY_CORE_SRC_JOURNAL_PACER_H_
#define MUSTARDPROXY_CORE_SRC_JOURNAL_PACER_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// Token bucket implemented as the generic cell rate algorithm: it stores the
/// time at which the bucket is full again instead of a token count, so that all
/// of its arithmetic is exact.
class JournalPacer {
 public:
  /// @param per_second tokens added per second
  /// @param burst size of the bucket, at least 1
  JournalPacer(double per_second, double burst);

  /// @return the time from which a token can be taken
  [[nodiscard]] Instant ReadyAt() const;
  /// Takes one token. Precondition: `now` has reached `ReadyAt()`.
  void Take(Instant now);

 private:
  Duration interval;
  Duration tolerance;
  Instant full_at;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_JOURNAL_PACER_H_
