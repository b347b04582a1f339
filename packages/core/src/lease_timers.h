#ifndef MUSTARDPROXY_CORE_SRC_LEASE_TIMERS_H_
#define MUSTARDPROXY_CORE_SRC_LEASE_TIMERS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// One timer per worker; workers are numbered from 0.
class LeaseTimers {
 public:
  /// Sets the timer of `worker`, or stops it if `at` is empty.
  /// @complexity logarithmic in the number of running timers
  void Set(std::size_t worker, std::optional<Instant> at) {
    if (worker >= this->set_to.size()) this->set_to.resize(worker + 1);
    std::optional<Instant>& present = this->set_to[worker];
    if (present == at) return;
    if (present) this->queue.erase({*present, worker});
    if (at) this->queue.insert({*at, worker});
    present = at;
  }

  /// @return a worker whose timer has expired by `now`, if any; the timer is
  ///   stopped
  [[nodiscard]] std::optional<std::size_t> TakeDue(Instant now) {
    if (this->queue.empty() || this->queue.begin()->at > now) {
      return std::nullopt;
    }
    const std::size_t worker = this->queue.begin()->worker;
    this->Set(worker, std::nullopt);
    return worker;
  }

  /// @return when the first timer expires, or `Instant::max()`
  [[nodiscard]] Instant Next() const {
    return this->queue.empty() ? Instant::max() : this->queue.begin()->at;
  }

 private:
  struct Timer {
    Instant at;
    std::size_t worker = 0;

    friend bool operator<(const Timer& a, const Timer& b) {
      return a.at != b.at ? a.at < b.at : a.worker < b.worker;
    }
  };

  std::set<Timer> queue;
  std::vector<std::optional<Instant>> set_to;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEASE_TIMERS_H_
