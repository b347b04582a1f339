#ifndef MUSTARDPROXY_JOBS_WAITABLE_VALUE_H_
#define MUSTARDPROXY_JOBS_WAITABLE_VALUE_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// A value that the control thread sets once and a traffic thread waits for.
template <typename T>
class WaitableValue {
 public:
  /// Only the first value counts; later ones are dropped.
  void Set(T value) {
    const std::lock_guard lock(this->mutex);
    if (!this->value) this->value = std::move(value);
    this->changed.notify_one();
  }

  /// @return the value, or nothing if none was set within `limit`
  [[nodiscard]] std::optional<T> Wait(Duration limit) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, limit,
                           [this] { return this->value.has_value(); });
    return std::move(this->value);
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<T> value;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WAITABLE_VALUE_H_
