#ifndef MUSTARDPROXY_WORKER_CONTROL_CLIENT_H_
#define MUSTARDPROXY_WORKER_CONTROL_CLIENT_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_set>

#include "messages.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/http/connection_pool.h"
#include "mustardproxy/telemetry/metrics.h"
#include "work_pool.h"

namespace mustardproxy::worker_detail {

/// Control calls: short, idempotent, and repeated on a new connection when an
/// old one says nothing. Safe from any thread.
class ControlClient {
 public:
  /// @param metrics may be null
  ControlClient(http::ConnectionPool* connections, Duration timeout,
                Metrics* metrics);

  /// Queues a job that makes calls to one worker. Workers that did not answer
  /// the last time have few threads of their own, so that waiting for them
  /// delays no other worker's heartbeat.
  /// @return false if the queue is full or the client has stopped
  [[nodiscard]] bool Submit(const std::string& address, WorkPool::Job job);
  /// Makes one call.
  Result<http::HttpReply> Call(const std::string& address,
                               const http::HttpRequest& request);
  /// Asks for the state of a task on a new connection, and retires the older
  /// ones to that worker if it answers.
  Result<TaskState> QueryAnew(const std::string& address, const TaskId& task);
  void Stop();

 private:
  Result<http::HttpReply> CallOn(
      std::unique_ptr<http::ClientConnection> connection,
      const http::HttpRequest& request);
  Result<http::HttpReply> CallAnew(const std::string& address,
                                   const http::HttpRequest& request);
  void NoteSilent(const std::string& address, bool silent);
  void Measure(const http::ClientConnection& connection);

  http::ConnectionPool* connections;
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
