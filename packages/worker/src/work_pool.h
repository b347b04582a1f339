#ifndef MUSTARDPROXY_WORKER_WORK_POOL_H_
#define MUSTARDPROXY_WORKER_WORK_POOL_H_

#include <Poco/Thread.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace mustardproxy::worker_detail {

/// Threads that are made when there is work for them and end when there has
/// been none for a while, with a bounded queue before them. An idle process
/// keeps none.
class WorkPool {
 public:
  using Job = std::function<void()>;

  WorkPool(std::string name, std::int32_t max_threads, std::size_t max_queued);
  ~WorkPool();
  WorkPool(const WorkPool&) = delete;
  WorkPool& operator=(const WorkPool&) = delete;

  /// @return false if the queue is full, the pool has stopped, or no thread can
  ///   be made
  [[nodiscard]] bool Submit(Job job);
  /// Puts a job ahead of those that `Submit` queued; it is never refused. For
  /// what finishes earlier jobs, and so is bounded by them. Runs it at once if
  /// no thread can be made.
  void SubmitFirst(Job job);
  /// Runs what is queued and joins all threads.
  void Stop();

 private:
  using Threads = std::list<std::unique_ptr<Poco::Thread>>;

  void Add(Threads* finished);
  void Run(Threads::iterator self);
  bool Next(std::unique_lock<std::mutex>* lock, Job* job);

  std::string name;
  std::int32_t max_threads;
  std::size_t max_queued;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Job> first;
  std::deque<Job> queue;
  Threads threads;
  /// Threads that have ended and are to be joined.
  Threads ended;
  std::int32_t idle = 0;
  bool stopping = false;
};

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_WORK_POOL_H_
