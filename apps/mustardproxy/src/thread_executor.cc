#include "thread_executor.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace mustardproxy {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kNanosPerMicro = 1'000;
/// Longest wait without a look at the clock: the wait's own clock stands still
/// while the machine is suspended, ours does not.
constexpr Duration kMaxWait = std::chrono::milliseconds(200);

}  // namespace

ThreadExecutor::ThreadExecutor() : thread([this] { this->Run(); }) {}

ThreadExecutor::~ThreadExecutor() { this->Stop(); }

Instant ThreadExecutor::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(
      Duration(now.tv_sec * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro));
}

std::int64_t ThreadExecutor::UnixMs() const {
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

void ThreadExecutor::Post(std::function<void()> task) {
  const std::lock_guard lock(this->mutex);
  if (this->stopping) return;
  this->posted.push_back(std::move(task));
  this->changed.notify_one();
}

jobs::TimerId ThreadExecutor::After(Duration delay,
                                    std::function<void()> task) {
  const Instant due = this->Now() + delay;
  const std::lock_guard lock(this->mutex);
  const jobs::TimerId timer = this->next_timer++;
  this->timers.emplace(Due{due, timer}, std::move(task));
  this->due_of[timer] = due;
  this->changed.notify_one();
  return timer;
}

void ThreadExecutor::Cancel(jobs::TimerId timer) {
  const std::lock_guard lock(this->mutex);
  const auto due = this->due_of.find(timer);
  if (due == this->due_of.end()) return;
  this->timers.erase({due->second, timer});
  this->due_of.erase(due);
}

std::function<void()> ThreadExecutor::Next() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    if (!this->posted.empty()) {
      auto task = std::move(this->posted.front());
      this->posted.pop_front();
      return task;
    }
    const Instant now = this->Now();
    if (!this->timers.empty() && this->timers.begin()->first.first <= now) {
      const auto first = this->timers.begin();
      auto task = std::move(first->second);
      this->due_of.erase(first->first.second);
      this->timers.erase(first);
      return task;
    }
    if (this->timers.empty()) {
      this->changed.wait(lock);
    } else {
      const Duration left = this->timers.begin()->first.first - now;
      this->changed.wait_for(lock, std::min(left, kMaxWait));
    }
  }
  return {};
}

void ThreadExecutor::Run() {
  while (auto task = this->Next()) task();
}

void ThreadExecutor::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_one();
  }
  if (this->thread.joinable()) this->thread.join();
}

}  // namespace mustardproxy
