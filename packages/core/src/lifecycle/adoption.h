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

/// Takes over journals whose process is gone, so that its deferred work
/// finishes.
///
/// The *adopted* record takes the sequence number of the dead writer's next
/// append. A writer that was only paused finds that number taken and stops, so
/// two processes never act on one journal.
class Adoption {
 public:
  explicit Adoption(Parts* parts) : parts(parts) {}

  void On(const JournalsListed& event);
  void On(const JournalRead& event);
  /// The fence of an adopted journal is in the platform.
  void OnAdopted(const JournalId& journal, const AdoptedRecord& record);
  /// The journal belongs to another process now.
  void OnFenced(const JournalId& journal);
  /// A peer is gone or is leaving: its journals may be free.
  void ScheduleList();
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->next_list; }

 private:
  struct Orphan {
    Instant free_since;
    /// Not looked at again before this moment.
    Instant next_read;
    /// It was read since it was found free.
    bool read = false;
    bool handed_over = false;
  };

  [[nodiscard]] bool IsFree(const JournalId& journal) const;
  /// @return when this process should adopt it
  [[nodiscard]] Instant DueAt(const JournalId& journal,
                              const Orphan& orphan) const;
  /// @return true if the preferred adopter owns no worker at present
  [[nodiscard]] bool PreferredHasNoWorkers(const JournalId& journal) const;
  void ReadIfDue(const JournalId& journal);

  Parts* parts;
  Instant next_list;
  std::map<JournalId, Orphan> orphans;
  /// What was read of journals whose fence is not durable yet.
  std::map<JournalId, std::vector<JournalBatch>> unfenced_batches;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_ADOPTION_H_
