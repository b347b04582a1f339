#ifndef MUSTARDPROXY_APP_CONTROL_QUEUE_H_
#define MUSTARDPROXY_APP_CONTROL_QUEUE_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <vector>

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// @return true for what callers and peers can cause at will
[[nodiscard]] bool IsFromStranger(const Event& event);

/// An event with the time at which it was handed over.
struct PostedEvent {
  Event event;
  Instant posted;
};

/// Events on their way to the control thread. What strangers cause is bounded;
/// ends of our own calls always fit, since each call began with an action, and
/// dropping one would leave a request without its end.
class ControlQueue {
 public:
  enum class Admission { kTaken, kFull, kClosed };

  /// @param max_strangers events of strangers that may wait
  explicit ControlQueue(std::size_t max_strangers)
      : max_strangers(max_strangers) {}

  /// Takes an event; `*event` stays as it is unless `kTaken` is returned.
  [[nodiscard]] Admission Push(Event* event);
  /// Waits for events until `deadline` and takes all at once, in order.
  /// @return false once the queue is closed
  bool TakeAll(Instant deadline, std::vector<PostedEvent>* events);
  /// Drops what waits and wakes the reader.
  void Close();

 private:
  const std::size_t max_strangers;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<PostedEvent> events;
  std::size_t strangers = 0;
  bool closed = false;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_CONTROL_QUEUE_H_
