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

/// Events that the core receives. Each one reports something that has already
/// happened; the core responds with actions (actions.h).
namespace mustardproxy {

/// Sent when the time returned by `Core::NextWakeup` is reached.
struct Tick {};

/// A caller's request, or one that a peer forwarded (`hops` > 0).
struct RequestArrived {
  Request request;
};
/// The caller has cancelled the request or closed its connection.
struct CancelRequested {
  RequestId request;
};
/// A caller or a peer asks for the state or result of deferred work. Answered
/// by an `AnswerQuery` action with the same `query`.
struct QueryArrived {
  std::uint64_t query = 0;
  RequestId request;
  /// The query came from a peer, which must not be queried in turn.
  bool from_peer = false;
  /// Also cancel the request.
  bool cancel = false;
  /// Also stop tasks of the request that this process did not start.
  bool stop_orphans = false;
};
/// A peer's answer to a `QueryPeer` action.
struct QueryAnswered {
  std::uint64_t query = 0;
  /// Empty if the peer does not know the request or could not be reached.
  std::optional<DeferredStatus> status;
};

/// Answer of the peer that a request was forwarded to.
struct ForwardAnswered {
  RequestId request;
  ProcessId peer;
  Answer answer;
};
/// The peer could not be reached, or the connection was lost before it
/// answered.
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
  /// Remaining time of the holder's lease, measured by the worker's clock.
  Duration lease_left{0};
};
/// A lease was renewed; the report holds what has happened since the last
/// report.
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
/// A task has ended and its complete answer was received.
struct TaskEnded {
  WorkerId worker;
  EndedTask ended;
};
/// The task provably did not start: the connection failed, nothing was written,
/// or the worker refused it.
struct TaskNotStarted {
  WorkerId worker;
  TaskId task;
  std::error_code reason;
};
/// The start was sent, but no complete answer was received: the task may have
/// run.
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
    /// The worker has never seen the task and refuses it from now on.
    kNeverStarted,
    kRunning,
    kEnded,
    kUnreachable,
  };
  State state = State::kUnreachable;
  EndedTask ended;
  /// Incarnation of the worker that answered, or 0 if unknown. A restarted
  /// worker has lost its record of earlier tasks, so "never started" is valid
  /// only for the incarnation that the start was sent to.
  Incarnation incarnation = 0;
};
/// The worker has carried out a stop, or the stop was no longer needed.
struct TaskStopAnswered {
  WorkerId worker;
  TaskId task;
  /// The task had not ended before the stop arrived.
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

/// The platform's list of hosts, which may be out of date.
struct HostListArrived {
  std::vector<WorkerDescription> workers;
};
/// A configuration document received from the platform, from a peer or at
/// start.
struct ConfigurationArrived {
  Configuration configuration;
};

/// The platform has stored the batch.
struct JournalAppended {
  JournalId journal;
  std::uint64_t sequence = 0;
};
/// Another process has written this sequence number: the journal was adopted.
struct JournalFenced {
  JournalId journal;
  std::uint64_t sequence = 0;
};
/// The platform did not answer, and whether the append took effect could not be
/// read. The same batch must be sent again.
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
  /// Hash of the body of the claiming request.
  std::uint64_t body_hash = 0;
  /// Set when the request has ended and its answer was stored.
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
/// The platform did not answer: no request may start under this key. If
/// `maybe_claimed` is set, the claim may have been written, and a later lookup
/// decides.
struct KeyUnavailable {
  RequestId request;
  bool maybe_claimed = false;
};

/// The platform has become reachable or unreachable.
struct PlatformReachability {
  bool reachable = true;
};
/// The operator has requested a graceful shutdown.
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
