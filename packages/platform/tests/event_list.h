#ifndef MUSTARDPROXY_PLATFORM_TESTS_EVENT_LIST_H_
#define MUSTARDPROXY_PLATFORM_TESTS_EVENT_LIST_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "mustardproxy/core/event_sink.h"

namespace mustardproxy::testing {

/// Longest time that a test waits for anything.
constexpr std::chrono::seconds kPatience{20};

/// Keeps the events that a link posts, for tests to wait for.
class EventList final : public EventSink {
 public:
  void Post(Event event) override {
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(event));
    this->changed.notify_all();
  }

  /// Takes the oldest event of a kind out; waits for it.
  /// @return nothing if none came in time
  template <typename Kind>
  std::optional<Kind> Take() {
    std::unique_lock lock(this->mutex);
    std::optional<Kind> taken;
    this->changed.wait_for(lock, kPatience, [&] {
      return (taken = this->TakeNow<Kind>()).has_value();
    });
    return taken;
  }

  /// @return how many events of a kind were posted and not taken
  template <typename Kind>
  std::size_t Count() {
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const Event& each : this->events) {
      count += std::holds_alternative<Kind>(each) ? 1 : 0;
    }
    return count;
  }

 private:
  template <typename Kind>
  std::optional<Kind> TakeNow() {
    for (auto each = this->events.begin(); each != this->events.end(); ++each) {
      if (auto* kind = std::get_if<Kind>(&*each)) {
        std::optional<Kind> taken = std::move(*kind);
        this->events.erase(each);
        return taken;
      }
    }
    return std::nullopt;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Event> events;
};

/// Waits until `condition` holds.
/// @return false if it did not in time
template <typename Condition>
bool Eventually(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    never.wait_for(lock, std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_PLATFORM_TESTS_EVENT_LIST_H_
