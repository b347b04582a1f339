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

/// State of one deferred request, as recorded in the journal.
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

/// State of all deferred requests. It is rebuilt from journal batches when a
/// journal is adopted, and updated with each record that becomes durable.
class DeferredStore {
 public:
  DeferredStore();
  ~DeferredStore();
  DeferredStore(DeferredStore&&) noexcept;
  DeferredStore& operator=(DeferredStore&&) noexcept;

  /// Applies one record. Applying the same record again has no effect.
  void Apply(Instant now, const JournalId& journal,
             const JournalRecord& record);
  /// Applies all batches of a journal.
  /// @return the requests that are unfinished after them, in order of
  ///   acceptance
  std::vector<DeferredEntry> Recover(Instant now, const JournalId& journal,
                                     std::span<const JournalBatch> batches);

  [[nodiscard]] const DeferredEntry* Find(const RequestId& request) const;
  /// Removes entries that ended more than `retention` ago.
  /// @return the requests of the removed entries
  std::vector<RequestId> Expire(Instant now, Duration retention);
  /// @return records that rebuild the live state of a journal, for compaction
  [[nodiscard]] std::vector<JournalRecord> Snapshot(
      const JournalId& journal) const;
  [[nodiscard]] std::size_t Size() const;
  /// @return the total size of the stored bodies in bytes
  [[nodiscard]] std::size_t Bytes() const;
  [[nodiscard]] std::size_t UnfinishedCount(const JournalId& journal) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_DEFERRED_STORE_H_
