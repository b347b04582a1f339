#include "job_sim/process.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace job_sim {
namespace {

/// Time of day at which each simulation begins.
constexpr std::int64_t kEpochMs = 1'700'000'000'000;
/// What handing a task to the control thread takes.
constexpr Duration kPostDelay{20};
constexpr double kNanosPerSecond = 1e9;

/// @return processor time of this thread so far
double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNanosPerSecond;
}

}  // namespace

std::int64_t Process::UnixMs() const {
  const auto since = this->time->Now().time_since_epoch();
  return kEpochMs +
         std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

void Process::Run(std::function<void()> task) {
  if (this->killed) return;
  if (this->paused) {
    this->held.push_back(std::move(task));
    return;
  }
  const double begun = ThreadSeconds();
  task();
  const double took = ThreadSeconds() - begun;
  this->cpu_seconds += took;
  this->longest_seconds = std::max(this->longest_seconds, took);
}

void Process::Post(std::function<void()> task) {
  this->time->After(kPostDelay, [this, task = std::move(task)]() mutable {
    this->Run(std::move(task));
  });
}

mustardproxy::jobs::TimerId Process::After(Duration delay,
                                           std::function<void()> task) {
  const auto timer = this->next_timer++;
  this->time->After(delay, [this, timer, task = std::move(task)]() mutable {
    if (this->cancelled.erase(timer) == 0) this->Run(std::move(task));
  });
  return timer;
}

void Process::Cancel(mustardproxy::jobs::TimerId timer) {
  this->cancelled.insert(timer);
}

void Process::Resume() {
  this->paused = false;
  auto tasks = std::exchange(this->held, {});
  for (auto& task : tasks) this->Run(std::move(task));
}

}  // namespace job_sim
