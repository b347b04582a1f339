#include "control_client.h"

#include <utility>

#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"

namespace mustardproxy::worker_detail {
namespace {

constexpr std::int32_t kThreads = 16;
constexpr std::int32_t kSilentThreads = 4;
constexpr std::size_t kMaxQueued = 1024;
constexpr std::size_t kMaxSilent = 4096;

}  // namespace

ControlClient::ControlClient(http::ConnectionPool* connections,
                             Duration timeout, Metrics* metrics)
    : connections(connections),
      timeout(timeout),
      metrics(metrics),
      threads("control", kThreads, kMaxQueued),
      silent_threads("silent", kSilentThreads, kMaxQueued) {}

bool ControlClient::Submit(const std::string& address, WorkPool::Job job) {
  bool was_silent = false;
  {
    const std::lock_guard lock(this->mutex);
    was_silent = this->silent.contains(address);
  }
  WorkPool& pool = was_silent ? this->silent_threads : this->threads;
  return pool.Submit(std::move(job));
}

Result<http::HttpReply> ControlClient::Call(const std::string& address,
                                            const http::HttpRequest& request) {
  auto connection = this->connections->Acquire(address, this->timeout);
  Result<http::HttpReply> answer = make_error_code(Error::kWorkerLost);
  if (connection) {
    const bool old = connection.value()->Exchanged();
    answer = this->CallOn(std::move(connection.value()), request);
    // Failure: something between the two ends has lost track of an old
    // connection; nothing comes back on it while new ones work. The call is
    // repeated on a new one. It may be made twice, which changes nothing.
    if (!answer && old) answer = this->CallAnew(address, request);
  }
  this->NoteSilent(address, !answer);
  return answer;
}

Result<http::HttpReply> ControlClient::CallOn(
    std::unique_ptr<http::ClientConnection> connection,
    const http::HttpRequest& request) {
  const Instant until = SteadyNow() + this->timeout;
  if (const auto error = connection->Send(request, until)) return error;
  Result<http::HttpReply> answer = connection->Receive(this->timeout, until);
  this->Measure(*connection);
  if (answer) this->connections->Put(std::move(connection));
  return answer;
}

Result<http::HttpReply> ControlClient::CallAnew(
    const std::string& address, const http::HttpRequest& request) {
  auto connection = http::ClientConnection::Open(address, this->timeout);
  if (!connection) return connection.error();
  const Instant opened_at = connection.value()->OpenedAt();
  Result<http::HttpReply> answer =
      this->CallOn(std::move(connection.value()), request);
  if (answer) this->connections->RetireOlder(address, opened_at);
  return answer;
}

Result<TaskState> ControlClient::QueryAnew(const std::string& address,
                                           const TaskId& task) {
  http::HttpRequest request;
  request.method = "GET";
  request.path = TaskPath(task);
  const Result<http::HttpReply> answer = this->CallAnew(address, request);
  this->NoteSilent(address, !answer);
  if (!answer) return answer.error();
  if (answer.value().Status() != Poco::Net::HTTPResponse::HTTP_OK) {
    return make_error_code(Error::kMalformedReply);
  }
  return ParseTaskState(answer.value().body, task);
}

void ControlClient::NoteSilent(const std::string& address, bool is_silent) {
  const std::lock_guard lock(this->mutex);
  if (!is_silent) {
    this->silent.erase(address);
    return;
  }
  // Workers that have gone for good are forgotten in the end.
  if (this->silent.size() >= kMaxSilent) this->silent.clear();
  this->silent.insert(address);
}

void ControlClient::Measure(const http::ClientConnection& connection) {
  if (this->metrics == nullptr) return;
  this->metrics->Count("control_bytes", "to=worker",
                       connection.ExchangedBytes());
}

void ControlClient::Stop() {
  this->threads.Stop();
  this->silent_threads.Stop();
}

}  // namespace mustardproxy::worker_detail
