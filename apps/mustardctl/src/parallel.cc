#include "parallel.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace mustardproxy::ctl {
namespace {

constexpr std::size_t kMostThreads = 32;

}  // namespace

void RunInParallel(std::size_t count,
                   const std::function<void(std::size_t)>& task) {
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < count; i = next++) task(i);
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < std::min(count, kMostThreads); ++i) {
    threads.emplace_back(work);
  }
}

}  // namespace mustardproxy::ctl
