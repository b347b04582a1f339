#ifndef MUSTARDPROXY_PLATFORM_SRC_JOB_POOL_H_
#define MUSTARDPROXY_PLATFORM_SRC_JOB_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/platform/key_value_client.h"

namespace mustardproxy::platform_detail {

/// Work that calls the platform.
/// @return nothing once it is done, or the pause until it is to run again
using Job = std::function<std::optional<Duration>(KeyValueClient*)>;

/// What a pool is made with.
struct JobPoolOptions {
  std::string url;
  Duration timeout{0};
  CallObserver* observer = nullptr;
  std::size_t threads = 1;
  /// Jobs that wait at most.
  std::size_t max_jobs = 10'000;
};

/// A few threads, each with a connection of its own, that run jobs in the order
/// in which they came.
class JobPool {
 public:
  explicit JobPool(JobPoolOptions options);
  ~JobPool();
  JobPool(const JobPool&) = delete;
  JobPool& operator=(const JobPool&) = delete;

  void Start();
  /// Ends calls in progress, drops what waits and joins the threads.
  void Stop();
  /// @return false if too many jobs wait, or the pool was stopped
  bool Add(Job job);

 private:
  struct Thread {
    std::unique_ptr<KeyValueClient> client;
    std::thread thread;
  };

  void Run(KeyValueClient* client);
  [[nodiscard]] std::optional<Job> Next();
  void MoveDueJobs(Instant now);

  JobPoolOptions options;
  std::vector<Thread> threads;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Job> ready;
  std::multimap<Instant, Job> delayed;
  bool stopped = false;
};

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_JOB_POOL_H_
