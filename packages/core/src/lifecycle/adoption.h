#ifndef MUSTARDPROXY_CORE_LIFECYCLE_ADOPTION_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_ADOPTION_H_

#include <map>
#include <vector>

#include "mustardproxy/core/deferred_store.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// Adopts journals that no live process holds, so that their deferred work is
/// completed.
///
/// The *adopted* record uses the sequence number of the former writer's next
/// append. A former writer that was only paused finds that number in use and
/// stops writing, so two processes never act on one journal.
class Adoption {
 public:
  explicit Adoption(Parts* parts) : parts(parts) {}

  void On(const JournalsListed& event);
  void On(const JournalRead& event);
  /// Handles the *adopted* record, the fence of a journal, becoming durable.
  void OnAdopted(const JournalId& journal, const AdoptedRecord& record);
  /// Handles the loss of a journal to another process.
  void OnFenced(const JournalId& journal);
  /// Lists the journals soon. Called when a peer was lost or is stopping, since
  /// its journals may have become free.
  void ScheduleList();
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->next_list; }

 private:
  struct Orphan {
    Instant free_since;
    /// The journal is not read before this time.
    Instant next_read;
    /// True once the journal was read after it was found free.
    bool read = false;
    bool handed_over = false;
  };

  [[nodiscard]] bool IsFree(const JournalId& journal) const;
  /// @return the earliest time at which this process adopts the journal
  [[nodiscard]] Instant DueAt(const JournalId& journal,
                              const Orphan& orphan) const;
  /// @return true if the preferred adopter currently owns no worker
  [[nodiscard]] bool PreferredHasNoWorkers(const JournalId& journal) const;
  void ReadIfDue(const JournalId& journal);

  Parts* parts;
  Instant next_list;
  std::map<JournalId, Orphan> orphans;
  /// Batches read from journals whose fence is not durable yet.
  std::map<JournalId, std::vector<JournalBatch>> unfenced_batches;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_ADOPTION_H_
