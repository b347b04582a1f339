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

/// Number of a change of the store. Each item holds the revision of its last
/// change.
using Revision = std::int64_t;
/// Id of a lease of the store; 0 for none.
using StoreLeaseId = std::int64_t;

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision = 0;
  StoreLeaseId lease = 0;
};

/// One page of the items with a given key prefix, in key order.
struct StorePage {
  std::vector<StoreItem> items;
  /// More items follow after the last key.
  bool truncated = false;
  /// Revision of the store when the page was read.
  Revision current = 0;
};

/// A change of one item. A listing followed by the events since its revision
/// yields the current state of every item.
struct StoreEvent {
  StoreItem item;
  bool deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  /// Revision from which to continue the watch.
  Revision current = 0;
};

/// Requires that the key has this revision, or does not exist if it is 0.
struct StoreCondition {
  std::string key;
  Revision revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  StoreLeaseId lease = 0;
};

/// An atomic write: either all changes are applied or none.
struct Transaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

/// Maximum total number of conditions, puts and removals in one transaction.
inline constexpr std::size_t kMaxTransactionEntries = 32;

/// Outcome of a write.
enum class CommitOutcome {
  kCommitted,
  /// A condition is not met; nothing was written.
  kConflict,
  /// The lease does not exist any more; nothing was written.
  kLeaseNotFound,
  /// The store rejected the write or could not be reached; nothing was written,
  /// nor will be.
  kNotApplied,
  /// No response arrived: the write may have been applied, or may still be
  /// applied seconds later if its conditions are met then.
  kUncertain,
};

struct CommitResult {
  CommitOutcome end = CommitOutcome::kUncertain;
  /// Revision of all written keys, if committed.
  Revision revision = 0;
  /// After a conflict: the current state of the keys in the conditions. Keys
  /// that do not exist are omitted.
  std::vector<StoreItem> found;
};

/// A granted lease.
struct StoreLease {
  StoreLeaseId id = 0;
  Duration ttl{0};
};

/// Client of the platform's key-value store. Reads are linearizable. Each call
/// invokes `done` exactly once, on the control thread and never before the call
/// returns.
///
/// Errors of reads and leases: `kUnknownRequest` if the key or lease does not
/// exist, `kHistoryLost` if the start revision of a watch is no longer
/// available, `kPlatformUnavailable` otherwise.
class KeyValueStore {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  KeyValueStore() = default;
  KeyValueStore(const KeyValueStore&) = delete;
  KeyValueStore& operator=(const KeyValueStore&) = delete;
  virtual ~KeyValueStore() = default;

  virtual void Read(std::string_view key, Done<StoreItem> done) = 0;
  /// @param after last key of the previous page; empty for the first page
  virtual void List(std::string_view prefix, std::string_view after,
                    Done<StorePage> done) = 0;
  /// Completes with the changes after `revision`, or with none once `wait` has
  /// passed.
  virtual void Watch(std::string_view prefix, Revision revision, Duration wait,
                     Done<StoreEvents> done) = 0;
  virtual void Commit(Transaction transaction,
                      std::function<void(CommitResult)> done) = 0;
  virtual void GrantLease(Duration ttl, Done<StoreLease> done) = 0;
  virtual void RenewLease(StoreLeaseId lease, Done<StoreLease> done) = 0;
  /// Revokes the lease and removes its keys. Does not wait for a response.
  virtual void EndLease(StoreLeaseId lease) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_KEY_VALUE_STORE_H_
