#include "cancel_tombstones.h"

#include <algorithm>
#include <utility>

#include "keys.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {
namespace {

/// Tombstones removed in one transaction; each takes a condition and a removal,
/// beside the condition on the owner.
constexpr std::size_t kMaxBatch = (kMaxTransactionEntries - 1) / 2;

}  // namespace

CancelTombstones::CancelTombstones(const Parts& parts) : parts(parts) {}

JobId CancelTombstones::JobOf(std::string_view key) {
  key.remove_prefix(keys::kTombstones.size());
  return JobId(key.substr(0, key.rfind('/')));
}

void CancelTombstones::Note(const StoreItem& item) {
  const auto known = this->tombstones.find(item.key);
  const bool old = known != this->tombstones.end() &&
                   known->second.revision >= item.revision;
  if (old) return;
  auto caller = DecodeTombstone(item.value);
  if (!caller) {
    this->parts.log->Write("jobs", "tombstone-broken", {{"key", item.key}});
  }
  // A broken one cancels nothing, but is removed like the others.
  this->tombstones.insert_or_assign(
      item.key, Tombstone{std::move(caller), item.revision});
  this->order.push_back({item.key, item.revision, this->parts.executor->Now()});
}

void CancelTombstones::Forget(const std::string& key) {
  this->tombstones.erase(key);
}

bool CancelTombstones::Cover(const Job& job) const {
  const std::string prefix = keys::OfTombstone(job.id, "");
  for (auto one = this->tombstones.lower_bound(prefix);
       one != this->tombstones.end() && one->first.starts_with(prefix); ++one) {
    const std::optional<JobAccess>& caller = one->second.caller;
    if (caller && MayAccess(*caller, job.access)) return true;
  }
  return false;
}

void CancelTombstones::RemoveExpired() {
  if (this->removing) return;
  while (!this->order.empty() && !this->Kept(this->order.front())) {
    this->order.pop_front();
  }
  const Instant old = this->parts.executor->Now() - kFinalStateRetention;
  std::vector<Noted> expired;
  for (const Noted& noted : this->order) {
    if (noted.at > old || expired.size() == kMaxBatch) break;
    if (this->Kept(noted)) expired.push_back(noted);
  }
  if (expired.empty()) return;
  Transaction transaction;
  transaction.conditions.push_back({keys::Owner(), this->parts.token});
  for (const Noted& noted : expired) {
    transaction.conditions.push_back({noted.key, noted.revision});
    transaction.removals.push_back(noted.key);
  }
  this->removing = true;
  this->parts.store->Commit(
      std::move(transaction),
      this->guard.Wrap(
          [this, expired = std::move(expired)](const CommitResult& result) {
            this->removing = false;
            this->OnRemoved(expired, result);
          }));
}

bool CancelTombstones::Kept(const Noted& noted) const {
  const auto found = this->tombstones.find(noted.key);
  return found != this->tombstones.end() &&
         found->second.revision == noted.revision;
}

void CancelTombstones::OnRemoved(const std::vector<Noted>& removed,
                                 const CommitResult& result) {
  const bool answered = result.end == CommitOutcome::kCommitted ||
                        result.end == CommitOutcome::kConflict;
  // Without an answer the next call tries again.
  if (!answered) return;
  std::size_t gone = 0;
  for (const Noted& noted : removed) {
    // Failure: an announcement arrives after its tombstone was removed, and the
    // conflict keeps all others in the store.
    const bool exists = std::any_of(
        result.found.begin(), result.found.end(), [&](const StoreItem& item) {
          return item.key == noted.key && item.revision == noted.revision;
        });
    if (exists || !this->Kept(noted)) continue;
    this->tombstones.erase(noted.key);
    ++gone;
  }
  this->parts.log->Write("jobs", "tombstones-removed", {{"tombstones", gone}});
}

}  // namespace mustardproxy::jobs
