#ifndef MUSTARDPROXY_JOBS_INCARNATION_TRACKER_H_
#define MUSTARDPROXY_JOBS_INCARNATION_TRACKER_H_

#include <string_view>

#include "mustardproxy/jobs/worker_incarnation.h"
#include "owner_context.h"

namespace mustardproxy::jobs {

/// Recognises when a worker has started again under its id. A session belongs
/// to one life: with a new life the former session ends, and with it all that
/// was known of, promised to and placed on the worker.
class IncarnationTracker {
 public:
  explicit IncarnationTracker(OwnerContext* context);

  /// Takes note of a worker's entry in the store.
  /// @param inherited_until see WorkerSession; for a worker not known before
  /// @return the session of the life that wrote it, or null if that life is
  ///   over
  WorkerSession* NoteEntry(const WorkerInfo& info, Instant inherited_until);
  /// Takes note of which life answered an order.
  /// @param meant which life the order was sent to
  /// @param asked when it was sent
  /// @param lists of that answer, if it has any
  /// @return the session of the life that answered, or null if that life is
  ///   over
  WorkerSession* NoteAnswer(const WorkerIncarnation& meant, Instant asked,
                            const OrderResult& result, const HoldResult* lists);
  /// Takes note that a former owner ordered a run from this life.
  /// @param inherited_until see WorkerSession; for a worker not known before
  /// @return the session of the latest life under that id
  WorkerSession* NoteStored(const WorkerIncarnation& worker,
                            Instant inherited_until);

 private:
  WorkerSession* AddSession(const WorkerInfo& info, Instant inherited_until);
  /// Begins a life whose own entry has not been read.
  WorkerSession* BeginUndescribedIncarnation(WorkerSession* known,
                                             const WorkerIncarnation& met,
                                             std::string_view seen_in,
                                             const HoldResult* lists);
  /// @param lists of the new life, if known
  WorkerSession* BeginIncarnation(WorkerSession* former, const WorkerInfo& info,
                                  std::string_view seen_in,
                                  const HoldResult* lists);

  OwnerContext* context;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_INCARNATION_TRACKER_H_
