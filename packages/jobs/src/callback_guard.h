#ifndef MUSTARDPROXY_JOBS_CALLBACK_GUARD_H_
#define MUSTARDPROXY_JOBS_CALLBACK_GUARD_H_

#include <memory>
#include <utility>

namespace mustardproxy::jobs {

/// Lets callbacks outlive the object that they belong to: callbacks made by
/// `Wrap` do nothing after the guard is destroyed.
///
/// Failure guarded against: an owner steps down while calls are in flight, and
/// their answers access freed memory.
class CallbackGuard {
 public:
  template <typename Function>
  [[nodiscard]] auto Wrap(Function function) const {
    return [alive = std::weak_ptr<bool>(this->alive),
            function = std::move(function)](auto&&... arguments) mutable {
      const auto held = alive.lock();
      if (held) function(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CALLBACK_GUARD_H_
