#ifndef MUSTARDPROXY_CORE_ACTIONS_H_
#define MUSTARDPROXY_CORE_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/digest.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/timeline.h"

/// What the core wants done. Traffic threads carry each out and report the
/// result as an event; an action without a named result has none.
namespace mustardproxy {

/// Answer the caller, or the peer that forwarded the request.
struct Reply {
  RequestId request;
  Answer answer;
};
/// Answer 202: deferred work is in the journal.
struct ReplyAccepted {
  RequestId request;
};
struct AnswerQuery {
  std::uint64_t query = 0;
  /// Empty: this cell does not know the request.
  std::optional<DeferredStatus> status;
};
/// Ask a peer about deferred work; ends in `QueryAnswered`.
struct QueryPeer {
  std::uint64_t query = 0;
  ProcessId peer;
  RequestId request;
  bool cancel = false;
  /// Stop tasks of it that run at the peer's workers though the peer did not
  /// start them. Their requests are not cancelled.
  bool stop_orphans = false;
};
/// Ends in `ForwardAnswered` or `ForwardFailed`.
struct ForwardRequest {
  ProcessId peer;
  Request request;
};
/// A forwarded request was cancelled by its caller.
struct ForwardCancel {
  ProcessId peer;
  RequestId request;
};

/// Ends in `WorkerAttached`, `WorkerRefused` or `WorkerUnreachable`.
struct AttachWorker {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
  Duration lease{0};
};
/// Ends in `WorkerRenewed`, `WorkerRefused` or `WorkerUnreachable`.
struct RenewWorker {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
  Duration lease{0};
  /// Ended tasks up to this number were seen.
  std::uint64_t ended_sequence = 0;
};
/// Ends in `WorkerReleased`, `WorkerRefused` or `WorkerUnreachable`.
struct ReleaseWorker {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
};
/// Ends in one of `TaskStarted` (detached only, `TaskEnded` then comes with a
/// renewal), `TaskEnded`, `TaskNotStarted`, `TaskUncertain`.
struct StartTask {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
  TaskSpec spec;
  /// Time until the answer is given up on.
  Duration timeout{0};
};
/// Ends in `TaskStopAnswered` or `WorkerUnreachable`.
struct StopTask {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
  TaskId task;
  /// Keep its progress if the task can.
  bool checkpoint = false;
};
/// Ends in `TaskQueried`. The worker refuses a task it never saw from then on,
/// so that a delayed start can not follow the answer "never started".
struct QueryTask {
  WorkerId worker;
  std::string address;
  TaskId task;
};

/// Heartbeat; ends in `DigestArrived` or `PeerUnreachable`.
struct SendDigest {
  ProcessId peer;
  Digest digest;
};
/// Ends in `ConfigurationArrived`, or nothing.
struct FetchConfiguration {
  ProcessId peer;
};
/// Keep a waiting watch on the configuration at the platform, or stop it.
struct WatchConfiguration {
  bool watch = true;
};

/// Ends in `JournalAppended`, `JournalFenced` or `JournalUncertain`.
struct AppendJournal {
  JournalBatch batch;
};
/// Ends in `JournalsListed`, or nothing when the platform is away.
struct ListJournals {};
/// Ends in `JournalRead`, or nothing when the platform is away.
struct ReadJournal {
  JournalId journal;
};
/// Remove batches up to `through`, which are compacted or no longer needed.
struct TrimJournal {
  JournalId journal;
  std::uint64_t through = 0;
};
/// Remove claims on keys that nobody has changed for `retention`; no event.
struct SweepClaims {
  Duration retention{0};
};
/// Ends in `KeyClaimed`, `KeyTaken` or `KeyUnavailable`.
struct ClaimKey {
  RequestId request;
  TeamId team;
  std::string key;
  std::uint64_t body_hash = 0;
};
/// Keep the answer beside the claim, so that a repeat gets the same one.
/// `drop` removes the claim instead: the request provably did not run.
struct ResolveKeyClaim {
  RequestId request;
  TeamId team;
  std::string key;
  std::uint64_t body_hash = 0;
  Answer answer;
  bool drop = false;
};

/// For the time line.
struct RecordEvent {
  TimelineEvent event;
};
/// One sample for the metrics.
struct RecordSample {
  enum class Kind {
    /// Microseconds from arrival to placement.
    kWaitingTime,
    /// Microseconds of run time.
    kRunTime,
    /// Thousandths of an owned worker's processors in use.
    kPacking,
  };
  Kind kind = Kind::kWaitingTime;
  ProfileId profile;
  std::int64_t value = 0;
};
/// Everything in progress has ended and is handed over: the process may exit.
struct ShutdownFinished {};

using Action =
    std::variant<Reply, ReplyAccepted, AnswerQuery, QueryPeer, ForwardRequest,
                 ForwardCancel, AttachWorker, RenewWorker, ReleaseWorker,
                 StartTask, StopTask, QueryTask, SendDigest, FetchConfiguration,
                 WatchConfiguration, AppendJournal, ListJournals, ReadJournal,
                 TrimJournal, SweepClaims, ClaimKey, ResolveKeyClaim,
                 RecordEvent, RecordSample, ShutdownFinished>;

/// Actions in the order in which they are to be begun.
using Actions = std::vector<Action>;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_ACTIONS_H_
