#ifndef MUSTARDPROXY_WORKER_TESTS_EVENT_LIST_H_
#define MUSTARDPROXY_WORKER_TESTS_EVENT_LIST_H_

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/events.h"

namespace mustardproxy {

/// What the link reported, for tests to wait for.
class EventList : public EventSink {
 public:
  void Post(Event event) override {
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(event));
    this->changed.notify_all();
  }

  /// Waits for the next event, takes it, and requires it to be a `T`.
  template <typename T>
  T Next() {
    constexpr std::chrono::seconds kLimit{20};
    std::unique_lock lock(this->mutex);
    const bool came = this->changed.wait_for(
        lock, kLimit, [this] { return !this->events.empty(); });
    BOOST_REQUIRE_MESSAGE(came, "an event should have come");
    Event event = std::move(this->events.front());
    this->events.erase(this->events.begin());
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<T>(event),
                          "the event is of kind " +
                              std::to_string(event.index()) + ", expected " +
                              std::to_string(Event(T{}).index()));
    return std::move(std::get<T>(event));
  }

  /// Takes the next event, which must be there.
  /// @return true if it is a `T`
  template <typename T>
  bool NextIsA() {
    const std::lock_guard lock(this->mutex);
    BOOST_REQUIRE(!this->events.empty());
    const Event event = std::move(this->events.front());
    this->events.erase(this->events.begin());
    return std::holds_alternative<T>(event);
  }

  [[nodiscard]] std::size_t Count() {
    const std::lock_guard lock(this->mutex);
    return this->events.size();
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Event> events;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_WORKER_TESTS_EVENT_LIST_H_
