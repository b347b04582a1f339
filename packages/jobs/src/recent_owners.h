#ifndef MUSTARDPROXY_JOBS_RECENT_OWNERS_H_
#define MUSTARDPROXY_JOBS_RECENT_OWNERS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

/// An owner that another one has replaced.
struct FormerOwner {
  NodeRecord node;
  FencingToken token = 0;
  /// When this process knew that it was replaced.
  Instant replaced_at;
};

/// The former owners whose leases may still be in force.
struct FormerOwners {
  /// Oldest first.
  std::vector<FormerOwner> owners;
  /// False if there may be others.
  bool complete = false;
};

/// The record of recent owners in the store, which each election writes in the
/// transaction that writes the owner's key, and when this process learned of
/// each change. Instants of other hosts mean nothing here, so none is stored.
class RecentOwners {
 public:
  /// Records that the owner's key names the owner with this token.
  void NoteOwner(FencingToken token, Instant now);
  /// Records that the owner's key was deleted.
  void NoteVacant(Revision deleted_at, Instant now);
  /// Records the record as stored.
  void NoteRecord(const StoreItem& item, Instant now);
  void NoteRecordDeleted(Revision deleted_at);

  /// @return the revision of the record; 0 if there is none
  [[nodiscard]] Revision RecordRevision() const { return this->revision; }
  /// @return the record to be written with the owner's key if `next` becomes
  ///   the owner
  [[nodiscard]] std::string EncodeNext(const NodeRecord& next,
                                       Instant now) const;
  /// @return true if the record names this owner and no other
  [[nodiscard]] bool NamesOnly(FencingToken token) const;
  /// @return the owners before the one with this token
  [[nodiscard]] FormerOwners Before(FencingToken token, Instant now) const;

 private:
  std::optional<OwnerList> list;
  Revision revision = 0;
  /// Highest token that the owner's key was seen with.
  FencingToken latest = 0;
  std::map<FencingToken, Instant> replaced_at;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RECENT_OWNERS_H_
