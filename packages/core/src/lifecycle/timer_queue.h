#ifndef MUSTARDPROXY_CORE_LIFECYCLE_TIMER_QUEUE_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_TIMER_QUEUE_H_

#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// Timers ordered by time, at most one per key.
template <typename Key>
class TimerQueue {
 public:
  /// Sets the timer of `key` and replaces an earlier one.
  /// @complexity logarithmic
  void Set(const Key& key, Instant at) {
    this->Clear(key);
    this->moments.emplace(key, at);
    this->order.insert({at, key});
  }
  void Clear(const Key& key) {
    const auto found = this->moments.find(key);
    if (found == this->moments.end()) {
      return;
    }
    this->order.erase({found->second, key});
    this->moments.erase(found);
  }
  /// @return the keys of all due timers, earliest first; these timers are
  ///   cleared
  [[nodiscard]] std::vector<Key> TakeDue(Instant now) {
    std::vector<Key> due;
    while (!this->order.empty() && this->order.begin()->at <= now) {
      due.push_back(this->order.begin()->key);
      this->Clear(due.back());
    }
    return due;
  }
  /// @return the time of the earliest timer, `Instant::max()` if there is none
  [[nodiscard]] Instant Next() const {
    return this->order.empty() ? Instant::max() : this->order.begin()->at;
  }

 private:
  struct Entry {
    Instant at;
    Key key;
    friend bool operator<(const Entry& a, const Entry& b) {
      return std::tie(a.at, a.key) < std::tie(b.at, b.key);
    }
  };
  std::set<Entry> order;
  std::map<Key, Instant> moments;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_TIMER_QUEUE_H_
