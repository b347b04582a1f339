#ifndef MUSTARDPROXY_CORE_EVENT_SINK_H_
#define MUSTARDPROXY_CORE_EVENT_SINK_H_

#include "mustardproxy/core/events.h"

namespace mustardproxy {

/// Receives the events that traffic threads report. In the application they go
/// to the control thread; tests collect them in a list.
class EventSink {
 public:
  EventSink() = default;
  EventSink(const EventSink&) = delete;
  EventSink& operator=(const EventSink&) = delete;
  virtual ~EventSink() = default;

  /// Posts an event and returns without waiting for it to be handled.
  /// Thread-safe.
  virtual void Post(Event event) = 0;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_EVENT_SINK_H_
