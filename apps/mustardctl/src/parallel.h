#ifndef MUSTARDPROXY_MUSTARDCTL_PARALLEL_H_
#define MUSTARDPROXY_MUSTARDCTL_PARALLEL_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

#include "mustardproxy/core/result.h"

namespace mustardproxy::ctl {

/// Runs `task(0)` to `task(count - 1)` on a bounded number of threads and waits
/// for all of them.
void RunInParallel(std::size_t count,
                   const std::function<void(std::size_t)>& task);

/// What one of several hosts answered.
template <typename T>
struct Answer {
  /// Empty if there is an error.
  std::optional<T> value;
  std::error_code error;
};

/// @return the results of `ask(0)` to `ask(count - 1)`, in that order
template <typename T>
std::vector<Answer<T>> AskInParallel(
    std::size_t count, const std::function<Result<T>(std::size_t)>& ask) {
  std::vector<Answer<T>> answers(count);
  RunInParallel(count, [&](std::size_t i) {
    Result<T> result = ask(i);
    if (result) {
      answers[i].value = std::move(result.value());
    } else {
      answers[i].error = result.error();
    }
  });
  return answers;
}

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_PARALLEL_H_
