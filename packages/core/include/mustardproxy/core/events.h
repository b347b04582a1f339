#ifndef MUSTARDPROXY_CORE_EVENTS_H_
#define MUSTARDPROXY_CORE_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/digest.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/worker.h"

/// What the world tells the core. Each event is the report of something that
/// already happened; the core answers with actions (actions.h).
namespace mustardproxy {

/// Time has passed; sent when `Core::NextWakeup` is due.
struct Tick {};

/// A caller's request, or one that a peer forwarded (`hops` > 0).
struct RequestArrived {
  Request request;
};
/// A caller cancels, or its connection is gone.
struct CancelRequested {
  RequestId request;
};
/// Somebody asks for the state or result of deferred work; answered by a
/// `AnswerQuery` action that carries the same `query`.
struct QueryArrived {
  std::uint64_t query = 0;
  RequestId request;
  /// Came from a peer, which must not be asked back.
  bool from_peer = false;
  /// Cancel it too.
  bool cancel = false;
  /// Stop tasks of it that this process did not start itself.
  bool stop_orphans = false;
};
/// A peer's answer to an `QueryPeer` action.
struct QueryAnswered {
  std::uint64_t query = 0;
  /// Empty if the peer does not know the request or could not be asked.
  std::optional<DeferredStatus> status;
};

/// Answer of the peer that a request was forwarded to.
struct ForwardAnswered {
  RequestId request;
  ProcessId peer;
  Answer answer;
};
/// The peer could not be asked, or went away before it answered.
struct ForwardFailed {
  RequestId request;
  ProcessId peer;
  /// The request provably never reached the peer.
  bool not_sent = false;
};

/// A worker accepted this process as its owner.
struct WorkerAttached {
  WorkerReport report;
};
/// A worker refused an attach, renewal, release or stop.
struct WorkerRefused {
  WorkerId worker;
  /// Epoch that was refused.
  Epoch epoch = 0;
  /// Highest epoch the worker has seen; the next attach must be above it.
  Epoch highest = 0;
  ProcessId holder;
  /// What is left of the holder's lease on the worker's own clock.
  Duration lease_left{0};
};
/// The lease is renewed; carries what happened since the last one.
struct WorkerRenewed {
  WorkerReport report;
};
/// An attach, renewal, release or stop got no answer.
struct WorkerUnreachable {
  WorkerId worker;
  Epoch epoch = 0;
};
/// A release was accepted.
struct WorkerReleased {
  WorkerId worker;
  Epoch epoch = 0;
};

/// A detached task has started.
struct TaskStarted {
  WorkerId worker;
  TaskId task;
};
/// A task has ended, with its whole answer.
struct TaskEnded {
  WorkerId worker;
  EndedTask ended;
};
/// The task provably did not start: no connection, not one byte written, or
/// refused by the worker.
struct TaskNotStarted {
  WorkerId worker;
  TaskId task;
  std::error_code reason;
};
/// Sent, and no whole answer came back: it may have run.
struct TaskUncertain {
  WorkerId worker;
  TaskId task;
  std::error_code reason;
};
/// Answer to `QueryTask`.
struct TaskQueried {
  WorkerId worker;
  TaskId task;
  enum class State {
    /// The worker never saw it, and from now on refuses it.
    kNeverStarted,
    kRunning,
    kEnded,
    kUnreachable,
  };
  State state = State::kUnreachable;
  EndedTask ended;
  /// The worker's run that answered; 0 if it did not say. A restarted worker
  /// has forgotten what it ran before, so its "never started" only counts for
  /// the incarnation that the start was sent to.
  Incarnation incarnation = 0;
};
/// A stop order was obeyed, or was not needed any more.
struct TaskStopAnswered {
  WorkerId worker;
  TaskId task;
  /// It had not ended before the order.
  bool stopped = false;
};

/// A peer's heartbeat, or its answer to ours.
struct DigestArrived {
  Digest digest;
};
/// A heartbeat got no answer.
struct PeerUnreachable {
  ProcessId peer;
};

/// The platform's list of hosts, as far as it knows.
struct HostListArrived {
  std::vector<WorkerDescription> workers;
};
/// A configuration document seen at the platform, at a peer or at start.
struct ConfigurationArrived {
  Configuration configuration;
};

/// The batch is in the platform.
struct JournalAppended {
  JournalId journal;
  std::uint64_t sequence = 0;
};
/// Somebody else holds that sequence number: the journal was adopted.
struct JournalFenced {
  JournalId journal;
  std::uint64_t sequence = 0;
};
/// The platform did not answer and the fate of the append could not be read.
/// Send the same batch again.
struct JournalUncertain {
  JournalId journal;
  std::uint64_t sequence = 0;
};
/// The journals that the platform holds.
struct JournalsListed {
  std::vector<JournalId> journals;
};
/// All batches of a journal, in order.
struct JournalRead {
  JournalId journal;
  std::vector<JournalBatch> batches;
};

/// State of a claim on an idempotency key.
struct KeyClaim {
  RequestId request;
  /// Digest of the body it came with.
  std::uint64_t body_hash = 0;
  /// Set when the request has ended and its answer was kept.
  std::optional<Answer> answer;
};
/// This request holds the key.
struct KeyClaimed {
  RequestId request;
};
/// Another request holds the key.
struct KeyTaken {
  RequestId request;
  KeyClaim claim;
};
/// The platform did not answer: nothing may start under this key. If
/// `maybe_claimed`, the claim may stand and a later look-up settles it.
struct KeyUnavailable {
  RequestId request;
  bool maybe_claimed = false;
};

/// The platform stopped or began answering.
struct PlatformReachability {
  bool reachable = true;
};
/// The operator asked for a graceful stop.
struct ShutdownRequested {};

using Event = std::variant<
    Tick, RequestArrived, CancelRequested, QueryArrived, QueryAnswered,
    ForwardAnswered, ForwardFailed, WorkerAttached, WorkerRefused,
    WorkerRenewed, WorkerUnreachable, WorkerReleased, TaskStarted, TaskEnded,
    TaskNotStarted, TaskUncertain, TaskQueried, TaskStopAnswered, DigestArrived,
    PeerUnreachable, HostListArrived, ConfigurationArrived, JournalAppended,
    JournalFenced, JournalUncertain, JournalsListed, JournalRead, KeyClaimed,
    KeyTaken, KeyUnavailable, PlatformReachability, ShutdownRequested>;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_EVENTS_H_
