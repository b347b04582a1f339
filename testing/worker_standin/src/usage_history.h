#ifndef MUSTARDPROXY_STANDIN_USAGE_HISTORY_H_
#define MUSTARDPROXY_STANDIN_USAGE_HISTORY_H_

#include <deque>

#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::standin {

/// Usage as a worker reports it: what was in use some time ago.
class UsageHistory {
 public:
  explicit UsageHistory(Duration lag) : lag(lag) {}

  /// Notes what is in use from `now` on.
  void Note(Instant now, const Resources& usage) {
    this->Forget(now);
    this->changes.push_back({now, usage});
  }

  /// @return what was in use one lag before `now`
  [[nodiscard]] Resources Report(Instant now) {
    this->Forget(now);
    return this->reported;
  }

 private:
  struct Change {
    Instant at;
    Resources usage;
  };

  void Forget(Instant now) {
    while (!this->changes.empty() &&
           this->changes.front().at + this->lag <= now) {
      this->reported = this->changes.front().usage;
      this->changes.pop_front();
    }
  }

  Duration lag;
  std::deque<Change> changes;
  Resources reported;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_USAGE_HISTORY_H_
