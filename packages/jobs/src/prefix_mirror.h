#ifndef MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_
#define MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "callback_guard.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/telemetry/event_log.h"
#include "options.h"

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
    /// An existing key that is read beside each watch to learn the newest
    /// revision of the store. Needed if changes may come faster than one answer
    /// holds; without it an answer with changes counts as complete.
    std::string revision_key = {};
    /// Maximum wait of a watch at the store. Bounds how long a silent
    /// connection can hide a change.
    Duration wait = kMaxWatchWait;
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
  /// Changes the wait of the watches to come.
  void SetWait(Duration wait) { this->options.wait = wait; }
  /// @return true if the item exists as far as has been reported
  [[nodiscard]] bool Contains(const std::string& key) const {
    return this->known.contains(key);
  }
  /// Lists all items again, unless a listing is in progress.
  void Refresh();
  /// @return true once all items have been reported
  [[nodiscard]] bool Listed() const { return this->listed; }
  /// @return when the last call that the store has answered was sent
  [[nodiscard]] Instant LastAnsweredCallAt() const {
    return this->last_answered_call_at;
  }
  /// @return the latest time whose changes are known to have all been reported
  [[nodiscard]] Instant ConfirmedAt() const { return this->confirmed_at; }

 private:
  void ListFrom(const std::string& after);
  void OnPage(Instant sent_at, const Result<StorePage>& page);
  void FinishList();
  void Watch();
  /// @param wait longest wait that the watch asked for
  void OnEvents(Instant sent_at, Duration wait,
                const Result<StoreEvents>& events);
  /// Reads the newest revision of the store, unless the last one read is still
  /// to be reached.
  void ReadRevision();
  void OnRevision(Instant sent_at, const Result<StorePage>& page);
  /// Confirms the view if it has reached the revision that was read last.
  void ConfirmIfReached();
  void NotifyChanged(const StoreItem& item);
  void NotifyDeleted(const std::string& key, Revision revision);
  void Retry(bool anew);
  void RunLater(Duration delay, std::function<void()> task);

  /// A revision of the store, and when the call that read it was sent.
  struct RevisionReading {
    Instant sent_at;
    Revision revision = 0;
  };

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
  /// When the first call of the listing in progress was sent.
  Instant listing_since;
  /// The last reading that has not been reached yet.
  std::optional<RevisionReading> ahead;
  bool reading_revision = false;
  /// A watch is in flight.
  bool watching = false;
  /// Starts the next watch.
  std::optional<TimerId> pause_timer;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PREFIX_MIRROR_H_
