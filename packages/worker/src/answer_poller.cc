#include "answer_poller.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"
#include "thread_name.h"

namespace mustardproxy::worker_detail {
namespace {

constexpr int kStackBytes = 256 * 1024;
/// Longest poll; a time set meanwhile is noticed this late at most.
constexpr Duration kMaxPoll = std::chrono::milliseconds(20);

}  // namespace

AnswerPoller::AnswerPoller(AnswerHandler* handler)
    : handler(handler), thread("answers") {
  this->thread.setStackSize(kStackBytes);
}

AnswerPoller::~AnswerPoller() { this->Stop(); }

void AnswerPoller::Watch(const StartCallPtr& call, Instant due) {
  const std::lock_guard lock(this->mutex);
  this->calls[call] = due;
  this->dues.insert({due, call});
  this->WatchSocket(call);
  if (!this->started) {
    this->started = true;
    this->thread.startFunc([this] { this->Run(); });
  }
  this->changed.notify_one();
}

void AnswerPoller::WatchSocket(const StartCallPtr& call) {
  if (!call->connection) return;
  const Poco::Net::StreamSocket& socket = call->connection->Socket();
  try {
    this->sockets.add(socket, Poco::Net::PollSet::POLL_READ);
    this->by_socket[socket] = call;
  } catch (const Poco::Exception&) {
    // Out of kernel resources: the worker is asked at `due` instead.
    Log(Part::kWorker, Level::kWarn, "A connection can not be polled.");
  }
}

void AnswerPoller::Remind(const StartCallPtr& call, Instant due) {
  const std::lock_guard lock(this->mutex);
  const auto watched = this->calls.find(call);
  if (watched == this->calls.end()) return;
  this->dues.erase({watched->second, call});
  watched->second = due;
  this->dues.insert({due, call});
}

bool AnswerPoller::Forget(const StartCallPtr& call) {
  const std::lock_guard lock(this->mutex);
  return this->Remove(call);
}

bool AnswerPoller::Remove(const StartCallPtr& call) {
  const auto watched = this->calls.find(call);
  if (watched == this->calls.end()) return false;
  this->dues.erase({watched->second, call});
  this->calls.erase(watched);
  if (!call->connection) return true;
  const Poco::Net::StreamSocket& socket = call->connection->Socket();
  // Before the socket is closed, or its number could be another's by then.
  if (this->by_socket.erase(socket) > 0) this->sockets.remove(socket);
  return true;
}

void AnswerPoller::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
    if (!this->started) return;
    this->started = false;
  }
  this->thread.join();
}

bool AnswerPoller::WaitForCalls() {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock,
                     [this] { return this->stopping || !this->calls.empty(); });
  return !this->stopping;
}

Poco::Net::PollSet::SocketModeMap AnswerPoller::Poll() {
  Duration time = kMaxPoll;
  {
    std::unique_lock lock(this->mutex);
    if (!this->dues.empty()) {
      const Duration left = this->dues.begin()->at - SteadyNow();
      time = std::clamp(left, Duration::zero(), kMaxPoll);
    }
    // A poll of no sockets returns at once.
    if (this->by_socket.empty()) {
      this->changed.wait_for(lock, time);
      return {};
    }
  }
  return this->sockets.poll(Poco::Timespan(time.count()));
}

void AnswerPoller::Run() {
  NameThread("answers");
  while (this->WaitForCalls()) {
    const auto ready = this->Poll();
    for (const StartCallPtr& call : this->TakeReadable(ready)) {
      this->handler->OnReadable(call);
    }
    for (const StartCallPtr& call : this->TakeDue()) {
      this->handler->OnDue(call);
    }
  }
}

std::vector<StartCallPtr> AnswerPoller::TakeReadable(
    const Poco::Net::PollSet::SocketModeMap& ready) {
  std::vector<StartCallPtr> readable;
  const std::lock_guard lock(this->mutex);
  for (const auto& [socket, mode] : ready) {
    const auto found = this->by_socket.find(socket);
    if (found == this->by_socket.end()) continue;
    const StartCallPtr call = found->second;
    this->Remove(call);
    readable.push_back(call);
  }
  return readable;
}

std::vector<StartCallPtr> AnswerPoller::TakeDue() {
  std::vector<StartCallPtr> due;
  const Instant now = SteadyNow();
  const std::lock_guard lock(this->mutex);
  while (!this->dues.empty() && this->dues.begin()->at <= now) {
    const StartCallPtr call = this->dues.begin()->call;
    this->dues.erase(this->dues.begin());
    this->calls[call] = Instant::max();
    this->dues.insert({Instant::max(), call});
    due.push_back(call);
  }
  return due;
}

}  // namespace mustardproxy::worker_detail
