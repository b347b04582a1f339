#ifndef MUSTARDPROXY_JOBS_LEASE_WITHHOLDING_H_
#define MUSTARDPROXY_JOBS_LEASE_WITHHOLDING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/ids.h"
#include "owner_context.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

/// Stores to which silent workers the owner grants no lease, so that the next
/// owner knows when their leases have ended however this one ends: killed,
/// paused, cut off or lost for good.
///
/// A lease is withheld from the moment at which the write that says so is sent
/// until a write that no longer says so is confirmed. It is withheld by this
/// owner and by all later ones.
///
/// Failure guarded against: the owner changes while a worker is lost, and its
/// tasks wait until the former owner could no longer have renewed their lease.
class LeaseWithholding {
 public:
  struct Parts {
    OwnerContext* context = nullptr;
    /// @return true if the store has answered recently
    std::function<bool()> store_answers;
    /// See WithheldLeaseView.
    std::function<Instant(const WithheldLease&, Instant read_at)> seen_at;
  };
  /// @param on_read called once `Complete`
  LeaseWithholding(Parts parts, std::function<void()> on_read);

  /// Reads what former owners have stored.
  void Read();
  [[nodiscard]] bool Complete() const { return this->complete; }
  /// @return when the leases of the worker have ended, if a former owner
  ///   withheld its lease when this ownership began
  [[nodiscard]] std::optional<Instant> FindInheritedEnd(
      const WorkerId& worker) const;
  /// @return true if no lease may be granted to the worker
  [[nodiscard]] bool Withholds(const WorkerId& worker) const;
  /// Withholds the lease of a worker that has been silent for long enough. It
  /// is stored by the next `Flush`.
  void NoteSilent(const WorkerSession& session);
  /// Ends that for a worker that has answered.
  void NoteAnswer(const WorkerSession& session);
  /// Stores all changes in one write, unless one is in flight.
  void Flush();

 private:
  struct Entry {
    WithheldLease lease;
    /// When the leases have ended according to what was written.
    Instant ends_at;
    /// It is or may be in the store.
    bool stored = false;
    /// The worker is silent.
    bool wanted = true;
    /// The leases end earlier than was written.
    bool outdated = false;
  };
  using Entries = std::map<WorkerId, Entry>;

  void OnRead(const Result<StoreItem>& item);
  /// Describes the leases of the worker as they are known now.
  void Renew(Entry* entry, const WorkerSession& session);
  [[nodiscard]] bool HasChanges() const;
  /// @return true if the worker has runs and does not respond
  [[nodiscard]] bool IsNeeded(const WorkerId& worker) const;
  void OnWritten(const std::vector<WorkerId>& written,
                 const std::vector<WorkerId>& added,
                 const CommitResult& result);
  void OnCommitted(const std::vector<WorkerId>& written);
  void OnConflict(const CommitResult& result);
  /// Lets leases be granted to the worker again.
  void Release(const WorkerId& worker);
  void SetFlag(const WorkerId& worker, bool withheld);

  Parts parts;
  std::function<void()> on_read;
  /// What former owners withheld, and when that was read.
  std::map<WorkerId, WithheldLease> inherited;
  Instant read_at;
  Entries entries;
  /// Revision of the stored record; 0 if there is none.
  Revision revision = 0;
  std::int64_t next_number = 1;
  bool complete = false;
  bool writing = false;
  /// The outcome of a write is unknown, and another one has to settle it.
  bool uncertain = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_LEASE_WITHHOLDING_H_
