#ifndef MUSTARDPROXY_CORE_LIFECYCLE_CORE_CONTEXT_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_CORE_CONTEXT_H_

#include <random>
#include <string>
#include <utility>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/core.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// State shared by all parts of the core, and the sink of their actions.
struct CoreContext {
  CoreOptions options;
  Configuration configuration;
  /// Time of the event being handled.
  Instant now;
  /// Valid only while an event is handled.
  Actions* actions = nullptr;
  std::mt19937_64 random;
  bool stopping = false;
  bool platform_reachable = true;

  void Emit(Action action) { this->actions->push_back(std::move(action)); }
  void Record(TimelineEvent event) {
    this->Emit(RecordEvent{std::move(event)});
  }
  [[nodiscard]] const ProcessId& Self() const {
    return this->options.self.process;
  }
};

/// A time line event about a request.
inline TimelineEvent RequestEvent(TimelineKind kind, const RequestId& request,
                                  std::string text = {}) {
  TimelineEvent event;
  event.kind = kind;
  event.request = request;
  event.detail = std::move(text);
  return event;
}

/// A time line event about a task on a worker.
inline TimelineEvent TaskEvent(TimelineKind kind, const RequestId& request,
                               const TaskId& task, const WorkerId& worker,
                               Epoch epoch) {
  TimelineEvent event;
  event.kind = kind;
  event.request = request;
  event.task = task;
  event.worker = worker;
  event.epoch = epoch;
  return event;
}

/// A time line event about a worker.
inline TimelineEvent WorkerEvent(TimelineKind kind, const WorkerId& worker,
                                 Epoch epoch = 0) {
  TimelineEvent event;
  event.kind = kind;
  event.worker = worker;
  event.epoch = epoch;
  return event;
}

/// A time line event about a peer.
inline TimelineEvent PeerEvent(TimelineKind kind, const ProcessId& peer) {
  TimelineEvent event;
  event.kind = kind;
  event.peer = peer;
  return event;
}

/// A time line event that carries only a text.
inline TimelineEvent TextEvent(TimelineKind kind, std::string text) {
  TimelineEvent event;
  event.kind = kind;
  event.detail = std::move(text);
  return event;
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_CORE_CONTEXT_H_
