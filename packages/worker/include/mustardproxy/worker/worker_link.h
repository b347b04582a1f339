#ifndef MUSTARDPROXY_WORKER_WORKER_LINK_H_
#define MUSTARDPROXY_WORKER_WORKER_LINK_H_

#include <cstdint>
#include <memory>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// Carries out what the core asks of workers, over HTTP, on threads of its own,
/// and reports through the event sink. Each `Perform` returns at once.
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
  /// Time for a connect and for the answer to a control call.
  Builder& ControlTimeout(Duration timeout);
  Builder& Sink(EventSink* sink);
  /// Optional.
  Builder& Measure(Metrics* metrics);
  [[nodiscard]] std::unique_ptr<WorkerLink> Build();

 private:
  ProcessId process;
  Incarnation incarnation = 0;
  std::int32_t threads = 64;
  Duration control_timeout = std::chrono::milliseconds(800);
  EventSink* sink = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_WORKER_WORKER_LINK_H_
