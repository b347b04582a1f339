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
  this->PostTo(&this->usual, std::move(task));
}

void ThreadExecutor::PostUrgent(std::function<void()> task) {
  this->PostTo(&this->urgent, std::move(task));
}

jobs::TimerId ThreadExecutor::After(Duration delay,
                                    std::function<void()> task) {
  return this->StartTimer(&this->usual, delay, std::move(task));
}

jobs::TimerId ThreadExecutor::AfterUrgent(Duration delay,
                                          std::function<void()> task) {
  return this->StartTimer(&this->urgent, delay, std::move(task));
}

void ThreadExecutor::PostTo(Lane* lane, std::function<void()> task) {
  const Instant now = this->Now();
  bool wake = false;
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopping) return;
    lane->posted.push_back({now, std::move(task)});
    wake = std::exchange(this->waiting, false);
  }
  // After the mutex is free, or the thread wakes only to wait for it.
  if (wake) this->changed.notify_one();
}

jobs::TimerId ThreadExecutor::StartTimer(Lane* lane, Duration delay,
                                         std::function<void()> task) {
  const Instant due = this->Now() + delay;
  jobs::TimerId timer = 0;
  bool wake = false;
  {
    const std::lock_guard lock(this->mutex);
    timer = this->next_timer++;
    lane->timers.emplace(Due{due, timer}, std::move(task));
    this->due_of[timer] = {lane, due};
    wake = std::exchange(this->waiting, false);
  }
  if (wake) this->changed.notify_one();
  return timer;
}

void ThreadExecutor::Cancel(jobs::TimerId timer) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->due_of.find(timer);
  if (found == this->due_of.end()) return;
  const auto [lane, due] = found->second;
  lane->timers.erase({due, timer});
  this->due_of.erase(found);
}

std::function<void()> ThreadExecutor::TakeDue(Lane* lane, Instant now) {
  const auto timer = lane->timers.begin();
  const bool timer_due =
      timer != lane->timers.end() && timer->first.first <= now;
  const bool timer_first =
      timer_due &&
      (lane->posted.empty() || timer->first.first <= lane->posted.front().at);
  std::function<void()> task;
  if (timer_first) {
    task = std::move(timer->second);
    this->due_of.erase(timer->first.second);
    lane->timers.erase(timer);
  } else if (!lane->posted.empty()) {
    task = std::move(lane->posted.front().task);
    lane->posted.pop_front();
  }
  return task;
}

Duration ThreadExecutor::UntilNextTimer(Instant now) const {
  Duration left = kMaxWait;
  for (const Lane* lane : {&this->urgent, &this->usual}) {
    if (lane->timers.empty()) continue;
    const Duration until = lane->timers.begin()->first.first - now;
    left = std::min(left, until);
  }
  return left;
}

std::function<void()> ThreadExecutor::Next() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const Instant now = this->Now();
    if (auto task = this->TakeDue(&this->urgent, now)) return task;
    if (auto task = this->TakeDue(&this->usual, now)) return task;
    this->waiting = true;
    if (this->due_of.empty()) {
      this->changed.wait(lock);
    } else {
      this->changed.wait_for(lock, this->UntilNextTimer(now));
    }
    this->waiting = false;
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
