#ifndef MUSTARDPROXY_JOBS_KEY_VALUE_STORE_H_
#define MUSTARDPROXY_JOBS_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Counts all changes of the store; each item bears that of its last change.
using Revision = std::int64_t;
/// A lease of the store; 0 for none.
using StoreLeaseId = std::int64_t;

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision = 0;
  StoreLeaseId lease = 0;
};

/// One page of the items below a prefix, in order of keys.
struct StorePage {
  std::vector<StoreItem> items;
  /// There are more after the last key.
  bool truncated = false;
  /// Revision of the store when the page was read.
  Revision current = 0;
};

/// A change; pages and events together show every item's newest state.
struct StoreEvent {
  StoreItem item;
  bool deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  /// Where to go on.
  Revision current = 0;
};

/// The key must have this revision; 0: it must not exist.
struct StoreCondition {
  std::string key;
  Revision revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  StoreLeaseId lease = 0;
};

/// All or nothing.
struct Transaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

/// Most conditions, puts and removals of one transaction together.
inline constexpr std::size_t kMaxTransactionEntries = 32;

/// How a write ended.
enum class CommitOutcome {
  kCommitted,
  /// A condition does not hold; nothing was written.
  kConflict,
  /// The lease named has ended; nothing was written.
  kLeaseNotFound,
  /// The store refused or was never reached; nothing was or will be written.
  kNotDone,
  /// No answer: it may have been written, or be written seconds later if its
  /// conditions still hold then.
  kUncertain,
};

struct CommitResult {
  CommitOutcome end = CommitOutcome::kUncertain;
  /// Of all keys written, if committed.
  Revision revision = 0;
  /// Present state of the keys in the conditions, after a conflict; absent keys
  /// are left out.
  std::vector<StoreItem> found;
};

/// A lease that was granted.
struct StoreLease {
  StoreLeaseId id = 0;
  Duration ttl{0};
};

/// Client of the platform's key-value store. Reads are linearizable. Each call
/// ends by exactly one call of `done` on the control thread, never before the
/// call returns.
///
/// Errors of reads and leases: `kUnknownRequest` if the key or lease is not
/// there, `kHistoryLost` for a watch whose start is forgotten,
/// `kPlatformUnavailable` for everything else.
class KeyValueStore {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  KeyValueStore() = default;
  KeyValueStore(const KeyValueStore&) = delete;
  KeyValueStore& operator=(const KeyValueStore&) = delete;
  virtual ~KeyValueStore() = default;

  virtual void Read(std::string_view key, Done<StoreItem> done) = 0;
  /// @param after last key of the page before; empty for the first
  virtual void List(std::string_view prefix, std::string_view after,
                    Done<StorePage> done) = 0;
  /// Ends with the changes after `revision`, or with none after `wait`.
  virtual void Watch(std::string_view prefix, Revision revision, Duration wait,
                     Done<StoreEvents> done) = 0;
  virtual void Commit(Transaction transaction,
                      std::function<void(CommitResult)> done) = 0;
  virtual void GrantLease(Duration ttl, Done<StoreLease> done) = 0;
  virtual void RenewLease(StoreLeaseId lease, Done<StoreLease> done) = 0;
  /// Ends it now, with its keys. No answer is waited for.
  virtual void EndLease(StoreLeaseId lease) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_KEY_VALUE_STORE_H_
