#ifndef MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_
#define MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "callback_guard.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/telemetry/event_log.h"

namespace mustardproxy::jobs {

/// Follows all items below a prefix: lists them, then watches, and lists again
/// when the store has forgotten the history in between.
class PrefixMirror {
 public:
  struct Options {
    std::string prefix;
    /// Pause between a watch's answer and the next watch, so that many changes
    /// share one call.
    Duration pause{0};
  };
  struct Handlers {
    /// An item is new, has changed, or is gone (then without its value).
    std::function<void(const StoreEvent&)> on_change;
    /// All items have been told once.
    std::function<void()> on_listed;
  };

  PrefixMirror(Executor* executor, KeyValueStore* store, EventLog* log,
               Options options, Handlers handlers);

  void Start();
  /// Lists all items anew, unless that is under way.
  void Refresh();
  /// @return true once all items have been told
  [[nodiscard]] bool Listed() const { return this->listed; }
  /// @return when the last call was sent that the store answered
  [[nodiscard]] Instant LastAnsweredCallAt() const {
    return this->last_answered_call_at;
  }

 private:
  void ListFrom(const std::string& after);
  void OnPage(Instant asked, const Result<StorePage>& page);
  void FinishList();
  void Watch();
  void OnEvents(Instant asked, const Result<StoreEvents>& events);
  void NotifyChanged(const StoreItem& item);
  void NotifyDeleted(const std::string& key, Revision revision);
  void Retry(bool anew);
  void RunLater(Duration delay, std::function<void()> task);

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  Options options;
  Handlers handlers;
  /// Revision of each item told.
  std::map<std::string, Revision> known;
  /// Keys seen by the listing under way.
  std::set<std::string> seen;
  /// Where the next watch begins.
  Revision next = 0;
  bool first_page = true;
  bool listed = false;
  bool listing = false;
  bool reachable = true;
  Instant last_answered_call_at;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_
