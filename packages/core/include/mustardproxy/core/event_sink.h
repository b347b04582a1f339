#ifndef MUSTARDPROXY_CORE_EVENT_SINK_H_
#define MUSTARDPROXY_CORE_EVENT_SINK_H_

#include "mustardproxy/core/events.h"

namespace mustardproxy {

/// Where traffic threads report what happened. The application's control thread
/// stands behind it; tests stand a list behind it.
class EventSink {
 public:
  EventSink() = default;
  EventSink(const EventSink&) = delete;
  EventSink& operator=(const EventSink&) = delete;
  virtual ~EventSink() = default;

  /// Hands an event over; returns at once. Safe from any thread.
  virtual void Post(Event event) = 0;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_EVENT_SINK_H_
