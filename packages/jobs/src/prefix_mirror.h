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

/// Mirrors all items below a prefix: lists them, then watches for changes, and
/// lists again after the store has compacted the history in between.
class PrefixMirror {
 public:
  struct Options {
    std::string prefix;
    /// Delay between the answer of a watch and the next watch, so that many
    /// changes share one call.
    Duration pause{0};
  };
  struct Handlers {
    /// An item was added, changed or deleted (then without its value).
    std::function<void(const StoreEvent&)> on_change;
    /// All items have been reported once.
    std::function<void()> on_listed;
  };

  PrefixMirror(Executor* executor, KeyValueStore* store, EventLog* log,
               Options options, Handlers handlers);

  void Start();
  /// Lists all items again, unless a listing is in progress.
  void Refresh();
  /// @return true once all items have been reported
  [[nodiscard]] bool Listed() const { return this->listed; }
  /// @return when the last call that the store has answered was sent
  [[nodiscard]] Instant LastAnsweredCallAt() const {
    return this->last_answered_call_at;
  }
  /// @return the latest time at which the store is known to have had no newer
  ///   changes than those reported
  [[nodiscard]] Instant ConfirmedAt() const { return this->confirmed_at; }

 private:
  void ListFrom(const std::string& after);
  void OnPage(Instant sent_at, const Result<StorePage>& page);
  void FinishList();
  void Watch();
  void OnEvents(Instant sent_at, const Result<StoreEvents>& events);
  void NotifyChanged(const StoreItem& item);
  void NotifyDeleted(const std::string& key, Revision revision);
  void Retry(bool anew);
  void RunLater(Duration delay, std::function<void()> task);

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  Options options;
  Handlers handlers;
  /// Revision of each reported item.
  std::map<std::string, Revision> known;
  /// Keys seen by the listing in progress.
  std::set<std::string> seen;
  /// Revision at which the next watch starts.
  Revision next = 0;
  bool first_page = true;
  bool listed = false;
  bool listing = false;
  bool reachable = true;
  Instant last_answered_call_at;
  Instant confirmed_at;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_
