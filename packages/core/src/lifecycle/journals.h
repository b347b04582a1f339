#ifndef MUSTARDPROXY_CORE_LIFECYCLE_JOURNALS_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_JOURNALS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// The journals that this process writes: its own and adopted ones.
class Journals {
 public:
  explicit Journals(Parts* parts) : parts(parts) {}

  /// Opens the own journal.
  void Boot();
  [[nodiscard]] const JournalId& Own() const { return this->own; }
  [[nodiscard]] bool Holds(const JournalId& journal) const {
    return this->open.contains(journal);
  }
  [[nodiscard]] std::vector<JournalId> Names() const;
  /// Incremented whenever `Names` changes.
  [[nodiscard]] std::uint64_t Generation() const { return this->generation; }
  /// @return true if the journal is being handed over
  [[nodiscard]] bool IsClosing(const JournalId& journal) const;
  /// @return true if nothing was ever written to the journal
  [[nodiscard]] bool IsUnused(const JournalId& journal) const;
  /// Erases adopted journals that are no longer needed.
  void EraseExpired();
  /// @return true if an append is expected to become durable soon
  [[nodiscard]] bool Healthy() const;
  /// Appends a record.
  /// @return false if too many records are pending; the record is dropped
  [[nodiscard]] bool TryAppend(const JournalId& journal,
                               const JournalRecord& record);
  /// Appends a record; if too many records are pending, it is kept and retried.
  void Append(const JournalId& journal, JournalRecord record);
  /// Writes the *adopted* record as the fence at `sequence`.
  void Adopt(const JournalId& journal, std::uint64_t sequence);
  /// Writes the *handed over* record as the last one; any peer may adopt the
  /// journal afterwards.
  void HandOver(const JournalId& journal);
  /// Stops writing a journal that was handed over or is no longer needed.
  void Drop(const JournalId& journal);
  /// Trims the whole journal and stops writing it.
  void Erase(const JournalId& journal);

  void On(const JournalAppended& event);
  void On(const JournalFenced& event);
  void On(const JournalUncertain& event);
  void Tick();
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct Compaction {
    /// Batches up to this number are covered by the snapshot.
    std::uint64_t covered = 0;
    /// The snapshot is durable once this ticket is.
    std::uint64_t ticket = 0;
  };
  struct OpenJournal {
    Journal writer;
    std::map<std::uint64_t, JournalRecord> pending = {};
    /// Records that the writer has not accepted yet.
    std::deque<JournalRecord> overflow = {};
    Instant opened = {};
    /// The *handed over* record is being written.
    bool closing = false;
    std::uint64_t compacted_at = 0;
    std::optional<Compaction> compaction = {};
  };

  OpenJournal* Find(const JournalId& journal);
  bool Write(OpenJournal* journal, const JournalRecord& record);
  void Compact(OpenJournal* journal);
  void FinishCompaction(OpenJournal* journal, std::uint64_t durable);
  void OpenOwn();
  void Open(const JournalId& journal, std::uint64_t sequence);

  Parts* parts;
  JournalId own;
  std::uint64_t generation = 0;
  std::int32_t opened_count = 0;
  std::map<JournalId, OpenJournal> open;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_JOURNALS_H_
