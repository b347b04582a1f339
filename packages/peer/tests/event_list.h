#ifndef MUSTARDPROXY_PEER_TESTS_EVENT_LIST_H_
#define MUSTARDPROXY_PEER_TESTS_EVENT_LIST_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "mustardproxy/core/event_sink.h"

namespace mustardproxy::testing {

/// Longest wait of a test for something that must happen.
inline constexpr auto kPatience = std::chrono::seconds(20);

/// Keeps what was posted until a test takes it out.
class EventList final : public EventSink {
 public:
  void Post(Event event) override {
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(event));
    this->changed.notify_all();
  }

  /// Waits for the first event of kind `T` and takes it out.
  /// @return nothing if none came in time
  template <typename T>
  std::optional<T> Take() {
    std::unique_lock lock(this->mutex);
    auto found = this->events.end();
    const bool came = this->changed.wait_for(lock, kPatience, [&] {
      found = this->Find<T>();
      return found != this->events.end();
    });
    if (!came) return std::nullopt;
    T event = std::get<T>(std::move(*found));
    this->events.erase(found);
    return event;
  }

  /// Waits until an event of any of the kinds is here.
  template <typename... Ts>
  bool WaitForAny() {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kPatience, [this] {
      return ((this->Find<Ts>() != this->events.end()) || ...);
    });
  }

  /// @return true if an event of kind `T` is here now
  template <typename T>
  [[nodiscard]] bool Holds() {
    const std::lock_guard lock(this->mutex);
    return this->Find<T>() != this->events.end();
  }

 private:
  template <typename T>
  std::vector<Event>::iterator Find() {
    return std::find_if(
        this->events.begin(), this->events.end(),
        [](const Event& event) { return std::holds_alternative<T>(event); });
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Event> events;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_PEER_TESTS_EVENT_LIST_H_
