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

/// The control thread: runs what is posted to it and timers, in the order in
/// which they became due, and urgent tasks before all others.
///
/// Failure guarded against: as long as tasks arrive faster than they are run,
/// timers never fire, and the process loses its lease at the store.
class ThreadExecutor final : public jobs::Executor {
 public:
  ThreadExecutor();
  ~ThreadExecutor() override;

  [[nodiscard]] Instant Now() const override;
  [[nodiscard]] std::int64_t UnixMs() const override;
  void Post(std::function<void()> task) override;
  jobs::TimerId After(Duration delay, std::function<void()> task) override;
  void PostUrgent(std::function<void()> task) override;
  jobs::TimerId AfterUrgent(Duration delay,
                            std::function<void()> task) override;
  void Cancel(jobs::TimerId timer) override;
  /// Ends the thread after the task that runs; drops the others.
  void Stop();

 private:
  using Due = std::pair<Instant, jobs::TimerId>;

  struct Posted {
    Instant at;
    std::function<void()> task;
  };
  /// Tasks that precede each other by the time at which they became due.
  struct Lane {
    std::deque<Posted> posted;
    std::map<Due, std::function<void()>> timers;
  };

  void Run();
  /// Waits for the next task; empty at the end.
  std::function<void()> Next();
  /// @return the task of the lane that became due first; empty if none is due
  std::function<void()> TakeDue(Lane* lane, Instant now);
  void PostTo(Lane* lane, std::function<void()> task);
  jobs::TimerId StartTimer(Lane* lane, Duration delay,
                           std::function<void()> task);
  /// @return the time until the next timer is due, at most `kMaxWait`
  [[nodiscard]] Duration UntilNextTimer(Instant now) const;

  std::mutex mutex;
  std::condition_variable changed;
  Lane urgent;
  Lane usual;
  /// Pending timers, each with the lane that holds it.
  std::unordered_map<jobs::TimerId, std::pair<Lane*, Instant>> due_of;
  jobs::TimerId next_timer = 1;
  /// The thread waits for a task, and nobody has woken it yet.
  bool waiting = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_THREAD_EXECUTOR_H_
