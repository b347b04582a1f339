#ifndef MUSTARDPROXY_WORKER_CONTROL_CLIENT_H_
#define MUSTARDPROXY_WORKER_CONTROL_CLIENT_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_set>

#include "connection_pool.h"
#include "messages.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/metrics.h"
#include "work_pool.h"

namespace mustardproxy::worker_detail {

/// Control calls: short, idempotent, and repeated on a new connection when an
/// old one says nothing. Safe from any thread.
class ControlClient {
 public:
  /// @param metrics may be null
  ControlClient(ConnectionPool* connections, Duration timeout,
                Metrics* metrics);

  /// Queues a job that makes calls to one worker. Workers that did not answer
  /// the last time have few threads of their own, so that waiting for them
  /// delays no other worker's heartbeat.
  /// @return false if the queue is full or the client has stopped
  [[nodiscard]] bool Submit(const std::string& address, WorkPool::Job job);
  /// Makes one call.
  Result<HttpAnswer> Call(const std::string& address,
                          const HttpRequest& request);
  /// Asks for the state of a task on a new connection, and retires the older
  /// ones to that worker if it answers.
  Result<TaskState> QueryAnew(const std::string& address, const TaskId& task);
  void Stop();

 private:
  Result<HttpAnswer> CallOn(std::unique_ptr<Connection> connection,
                            const HttpRequest& request);
  Result<HttpAnswer> CallAnew(const std::string& address,
                              const HttpRequest& request);
  void NoteSilent(const std::string& address, bool silent);
  void Measure(const Connection& connection);

  ConnectionPool* connections;
  Duration timeout;
  Metrics* metrics;
  std::mutex mutex;
  /// Workers that did not answer the last call.
  std::unordered_set<std::string> silent;
  WorkPool threads;
  WorkPool silent_threads;
};

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_CONTROL_CLIENT_H_
