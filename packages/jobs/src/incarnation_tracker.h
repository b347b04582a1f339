#ifndef MUSTARDPROXY_JOBS_INCARNATION_TRACKER_H_
#define MUSTARDPROXY_JOBS_INCARNATION_TRACKER_H_

#include <string_view>

#include "mustardproxy/jobs/worker_incarnation.h"
#include "owner_context.h"

namespace mustardproxy::jobs {

/// Detects that a worker has restarted under the same id. A session belongs to
/// one incarnation: a new incarnation ends the former session, together with
/// all its runs, leases and recorded state.
class IncarnationTracker {
 public:
  explicit IncarnationTracker(OwnerContext* context);

  /// Processes the entry of a worker in the store.
  /// @param inherited_until see WorkerSession; used for a worker that is not
  ///   known yet
  /// @return the session of the incarnation that wrote the entry, or null if
  ///   that incarnation has ended
  WorkerSession* NoteEntry(const WorkerInfo& info, Instant inherited_until);
  /// Processes which incarnation responded to an order.
  /// @param meant incarnation that the order was sent to
  /// @param asked when the order was sent
  /// @param lists running and ended runs in the response, if it contains them
  /// @return the session of the incarnation that responded, or null if that
  ///   incarnation has ended
  WorkerSession* NoteAnswer(const WorkerIncarnation& meant, Instant asked,
                            const OrderResult& result, const HoldResult* lists);
  /// Processes a stored run that a previous owner ordered from this
  /// incarnation.
  /// @param inherited_until see WorkerSession; used for a worker that is not
  ///   known yet
  /// @return the session of the latest incarnation with that id
  WorkerSession* NoteStored(const WorkerIncarnation& worker,
                            Instant inherited_until);

 private:
  WorkerSession* AddSession(const WorkerInfo& info, Instant inherited_until);
  /// Begins an incarnation whose entry in the store has not been read yet.
  WorkerSession* BeginUndescribedIncarnation(WorkerSession* known,
                                             const WorkerIncarnation& met,
                                             std::string_view seen_in,
                                             const HoldResult* lists);
  /// @return the latest time at which the new incarnation may have started
  [[nodiscard]] Instant EstimateRestart(const WorkerSession& former,
                                        const WorkerIncarnation& next,
                                        const HoldResult* lists) const;
  /// @param lists running and ended runs of the new incarnation, if known
  WorkerSession* BeginIncarnation(WorkerSession* former, const WorkerInfo& info,
                                  std::string_view seen_in,
                                  const HoldResult* lists);

  OwnerContext* context;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_INCARNATION_TRACKER_H_
