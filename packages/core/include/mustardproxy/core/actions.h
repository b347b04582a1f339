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

/// Actions that the core requests. Traffic threads perform each one and report
/// its result as an event; an action for which no result is named has none.
namespace mustardproxy {

/// Answers the caller, or the peer that forwarded the request.
struct Reply {
  RequestId request;
  Answer answer;
};
/// Answers with status 202: the deferred work is stored in the journal.
struct ReplyAccepted {
  RequestId request;
};
struct AnswerQuery {
  std::uint64_t query = 0;
  /// Empty if this cell does not know the request.
  std::optional<DeferredStatus> status;
};
/// Asks a peer for the state of deferred work. Ends in `QueryAnswered`.
struct QueryPeer {
  std::uint64_t query = 0;
  ProcessId peer;
  RequestId request;
  bool cancel = false;
  /// Also stop tasks of the request that run on the peer's workers although the
  /// peer did not start them. The requests of these tasks are not cancelled.
  bool stop_orphans = false;
};
/// Ends in `ForwardAnswered` or `ForwardFailed`.
struct ForwardRequest {
  ProcessId peer;
  Request request;
};
/// Tells the peer that the caller has cancelled a forwarded request.
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
  /// Sequence number up to which reports of ended tasks have been received.
  std::uint64_t ended_sequence = 0;
};
/// Ends in `WorkerReleased`, `WorkerRefused` or `WorkerUnreachable`.
struct ReleaseWorker {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
};
/// Ends in `TaskStarted` (detached tasks only; `TaskEnded` then follows with a
/// renewal), `TaskEnded`, `TaskNotStarted` or `TaskUncertain`.
struct StartTask {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
  TaskSpec spec;
  /// Time after which the process stops waiting for the answer.
  Duration timeout{0};
};
/// Ends in `TaskStopAnswered` or `WorkerUnreachable`.
struct StopTask {
  WorkerId worker;
  std::string address;
  Epoch epoch = 0;
  TaskId task;
  /// Save a checkpoint of the task if it supports that.
  bool checkpoint = false;
};
/// Ends in `TaskQueried`. A worker that has never seen the task refuses it from
/// then on, so that a delayed start cannot follow the answer "never started".
struct QueryTask {
  WorkerId worker;
  std::string address;
  TaskId task;
};

/// Sends a heartbeat. Ends in `DigestArrived` or `PeerUnreachable`.
struct SendDigest {
  ProcessId peer;
  Digest digest;
};
/// Ends in `ConfigurationArrived`, or in no event if the peer does not answer.
struct FetchConfiguration {
  ProcessId peer;
};
/// Starts or stops the long-polling watch of the configuration at the platform.
struct WatchConfiguration {
  bool watch = true;
};

/// Ends in `JournalAppended`, `JournalFenced` or `JournalUncertain`.
struct AppendJournal {
  JournalBatch batch;
};
/// Ends in `JournalsListed`, or in no event if the platform is unreachable.
struct ListJournals {};
/// Ends in `JournalRead`, or in no event if the platform is unreachable.
struct ReadJournal {
  JournalId journal;
};
/// Removes batches up to `through`, which have been compacted or are no longer
/// needed.
struct TrimJournal {
  JournalId journal;
  std::uint64_t through = 0;
};
/// Removes claims on idempotency keys that have not changed for `retention`.
/// Ends in no event.
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
/// Stores the answer with the claim, so that a repeated request gets the same
/// answer. With `drop` set, the claim is removed instead, because the request
/// provably did not run.
struct ResolveKeyClaim {
  RequestId request;
  TeamId team;
  std::string key;
  std::uint64_t body_hash = 0;
  Answer answer;
  bool drop = false;
};

/// Records an event in the timeline.
struct RecordEvent {
  TimelineEvent event;
};
/// Records one sample for the metrics.
struct RecordSample {
  enum class Kind {
    /// Microseconds from arrival to placement.
    kWaitingTime,
    /// Microseconds of run time.
    kRunTime,
    /// Share of an owned worker's processors in use, in thousandths.
    kPacking,
  };
  Kind kind = Kind::kWaitingTime;
  ProfileId profile;
  std::int64_t value = 0;
};
/// All work in progress has ended and has been handed over: the process may
/// exit.
struct ShutdownFinished {};

using Action =
    std::variant<Reply, ReplyAccepted, AnswerQuery, QueryPeer, ForwardRequest,
                 ForwardCancel, AttachWorker, RenewWorker, ReleaseWorker,
                 StartTask, StopTask, QueryTask, SendDigest, FetchConfiguration,
                 WatchConfiguration, AppendJournal, ListJournals, ReadJournal,
                 TrimJournal, SweepClaims, ClaimKey, ResolveKeyClaim,
                 RecordEvent, RecordSample, ShutdownFinished>;

/// Actions in the order in which they must be started.
using Actions = std::vector<Action>;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_ACTIONS_H_
