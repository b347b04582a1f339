#ifndef MUSTARDPROXY_JOBS_EXECUTOR_H_
#define MUSTARDPROXY_JOBS_EXECUTOR_H_

#include <cstdint>
#include <functional>

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Identifies a pending call of `Executor::After`.
using TimerId = std::uint64_t;

/// The control thread, on which all control state lives, and its clocks.
/// Everything in this package runs on it; tests run it in virtual time.
class Executor {
 public:
  Executor() = default;
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;
  virtual ~Executor() = default;

  /// Monotonic, and continues while the machine is suspended, because the
  /// leases of others expire meanwhile.
  [[nodiscard]] virtual Instant Now() const = 0;
  /// Wall clock time in milliseconds since 1970; may jump.
  [[nodiscard]] virtual std::int64_t UnixMs() const = 0;
  /// Runs `task` later on the control thread. Safe to call from any thread.
  virtual void Post(std::function<void()> task) = 0;
  /// Runs `task` on the control thread after `delay`. Must be called on that
  /// thread.
  virtual TimerId After(Duration delay, std::function<void()> task) = 0;
  /// Like Post and After, but the task precedes all other tasks that are due.
  /// For the few that a backlog must not delay, such as the renewal of a lease.
  virtual void PostUrgent(std::function<void()> task) = 0;
  virtual TimerId AfterUrgent(Duration delay, std::function<void()> task) = 0;
  /// Does nothing if the timer has already fired.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_EXECUTOR_H_
