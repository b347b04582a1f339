#ifndef MUSTARDPROXY_WORKER_WORKER_LINK_H_
#define MUSTARDPROXY_WORKER_WORKER_LINK_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// Carries out what the core asks of workers, over HTTP, on threads of its own,
/// and reports through the event sink. Each `Perform` returns at once; threads
/// are made when there is work and end when there is none.
///
/// The result of a start tells what the worker can have seen of it:
/// - `TaskNotStarted` if no connection stood or not one byte was written
///   (kWorkerLost), the worker refused it (kStaleEpoch, kLeaseHeld, kNoWorker
///   for no room or leaving), it says that it never started it and never will
///   (kWorkerLost), or this process sent nothing (kTooManyConnections,
///   kShuttingDown, kDeadlineExceeded);
/// - `TaskUncertain` if bytes were written and no whole answer of this very
///   task came: kWorkerLost before its first byte, kAnswerIncomplete after it
///   or if it is not ours, kDeadlineExceeded if none came in time,
///   kResultExpired if the worker no longer has it.
///
/// A request is never sent twice. A start that is silent is asked for by its
/// task id on a new connection; if the worker answers, older connections to it
/// are retired.
class WorkerLink {
 public:
  class Builder;
  ~WorkerLink();

  /// Waits for calls in progress and joins all threads.
  void Stop();

  void Perform(const AttachWorker& action);
  void Perform(const RenewWorker& action);
  void Perform(const ReleaseWorker& action);
  void Perform(const StartTask& action);
  void Perform(const StopTask& action);
  void Perform(const QueryTask& action);

 private:
  struct State;
  explicit WorkerLink(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Makes a `WorkerLink`.
class WorkerLink::Builder {
 public:
  /// Who attaches.
  Builder& Holder(ProcessId process, Incarnation incarnation);
  /// Threads that carry starts; control calls have threads of their own.
  Builder& Threads(std::int32_t threads);
  /// Time for a connect and for the answer to a control call; a start that is
  /// silent longer is asked for on a new connection.
  Builder& ControlTimeout(Duration timeout);
  /// Time after which a worker stops a task unless its owner renews.
  Builder& TaskLease(Duration lease);
  Builder& Sink(EventSink* sink);
  /// Optional.
  Builder& Measure(Metrics* metrics);
  [[nodiscard]] std::unique_ptr<WorkerLink> Build();

 private:
  ProcessId process;
  Incarnation incarnation = 0;
  std::int32_t threads = 64;
  Duration control_timeout = std::chrono::milliseconds(800);
  Duration task_lease = std::chrono::seconds(10);
  EventSink* sink = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_WORKER_WORKER_LINK_H_
