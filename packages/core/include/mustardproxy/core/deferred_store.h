#ifndef MUSTARDPROXY_CORE_DEFERRED_STORE_H_
#define MUSTARDPROXY_CORE_DEFERRED_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// A piece of deferred work as the journal tells it.
struct DeferredEntry {
  Request request;
  JournalId journal;
  DeferredState state = DeferredState::kQueued;
  std::int32_t attempt = 0;
  /// Task, worker and epoch of the last *started* records of this attempt, one
  /// for each task of a gang.
  std::vector<StartedRecord> started;
  Answer result;
  bool ran = false;
  std::optional<Instant> ended;
};

/// State of deferred work, rebuilt from journal batches at an adoption and kept
/// up with each record that becomes durable.
class DeferredStore {
 public:
  DeferredStore();
  ~DeferredStore();
  DeferredStore(DeferredStore&&) noexcept;
  DeferredStore& operator=(DeferredStore&&) noexcept;

  /// Applies one record; applying it again changes nothing.
  void Apply(Instant now, const JournalId& journal,
             const JournalRecord& record);
  /// @return what a journal's batches leave unfinished, in order of acceptance
  std::vector<DeferredEntry> Recover(Instant now, const JournalId& journal,
                                     std::span<const JournalBatch> batches);

  [[nodiscard]] const DeferredEntry* Find(const RequestId& request) const;
  /// Drops entries that ended more than `retention` ago, and says which.
  std::vector<RequestId> Expire(Instant now, Duration retention);
  /// @return records that rebuild the live state of a journal, for compaction
  [[nodiscard]] std::vector<JournalRecord> Snapshot(
      const JournalId& journal) const;
  [[nodiscard]] std::size_t Size() const;
  /// Bytes of bodies held.
  [[nodiscard]] std::size_t Bytes() const;
  [[nodiscard]] std::size_t UnfinishedCount(const JournalId& journal) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_DEFERRED_STORE_H_
