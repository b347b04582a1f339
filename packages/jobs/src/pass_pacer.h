#ifndef MUSTARDPROXY_JOBS_PASS_PACER_H_
#define MUSTARDPROXY_JOBS_PASS_PACER_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Decides when the next pass over the waiting steps may begin, so that passes
/// take a bounded share of the control thread. Answers the load of a backlog:
/// a pass costs more the more steps wait.
///
/// Failure guarded against: passes follow each other without a pause, and the
/// answers of workers, on which room and leases depend, are read late. The
/// backlog grows, and with it the cost of a pass.
class PassPacer {
 public:
  /// Records a pass.
  void Note(Instant begun, Duration took);
  /// @return the earliest time at which the next pass may begin
  [[nodiscard]] Instant NextAt() const { return this->next_at; }

 private:
  Instant next_at;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PASS_PACER_H_
