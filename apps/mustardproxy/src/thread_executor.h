#ifndef MUSTARDPROXY_APP_THREAD_EXECUTOR_H_
#define MUSTARDPROXY_APP_THREAD_EXECUTOR_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "mustardproxy/jobs/executor.h"

namespace mustardproxy {

/// The control thread: runs what is posted to it, in order, and timers.
class ThreadExecutor final : public jobs::Executor {
 public:
  ThreadExecutor();
  ~ThreadExecutor() override;

  [[nodiscard]] Instant Now() const override;
  [[nodiscard]] std::int64_t UnixMs() const override;
  void Post(std::function<void()> task) override;
  jobs::TimerId After(Duration delay, std::function<void()> task) override;
  void Cancel(jobs::TimerId timer) override;
  /// Ends the thread after the task that runs; drops the others.
  void Stop();

 private:
  using Due = std::pair<Instant, jobs::TimerId>;

  void Run();
  /// Waits for the next task; empty at the end.
  std::function<void()> Next();

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> posted;
  std::map<Due, std::function<void()>> timers;
  std::unordered_map<jobs::TimerId, Instant> due_of;
  jobs::TimerId next_timer = 1;
  bool stopping = false;
  std::thread thread;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_THREAD_EXECUTOR_H_
