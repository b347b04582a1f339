#include "mustardproxy/http/async_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <thread>
#include <utility>

#include "call_queue.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/http/connection_pool.h"
#include "mustardproxy/telemetry/clock.h"
#include "pending_call.h"

namespace mustardproxy::http {
namespace {

/// Longest poll; the deadline of a call that is made meanwhile is noticed this
/// late at most.
constexpr Duration kMaxPoll = std::chrono::milliseconds(50);
/// A request that the other end does not read is given up on after this. It
/// bounds the time that one such end can hold up all calls; requests are small,
/// so that it takes one whose buffers are full to come to this.
constexpr Duration kMaxSend = std::chrono::milliseconds(100);
/// Longest pause within a reply.
constexpr Duration kMaxSilence = std::chrono::milliseconds(250);

/// Idle connections are kept this long: a new one costs a round trip and, at
/// the users' workers, a price of its own. One that the other end has closed
/// meanwhile is noticed before it is used.
constexpr Duration kMaxIdle = std::chrono::seconds(60);

/// Longest poll while calls wait for a connection.
constexpr Duration kMaxQueuePoll = std::chrono::milliseconds(5);
/// Interval between two looks at idle connections and unused addresses.
constexpr Duration kSweepInterval = std::chrono::seconds(2);

HttpRequest MakeRequest(const Exchange& exchange) {
  return {.method = exchange.method,
          .path = exchange.target,
          .content_type = exchange.content_type,
          .headers = exchange.headers,
          .body = exchange.body};
}

bool IsLimited(const PendingCall& call) {
  return call.exchange.lane != Lane::kUnlimited;
}

/// How a call without a reply ended.
enum class Failure {
  /// No connection could be opened, or nothing came in time.
  kSilence,
  /// The other end closed the connection before the first byte.
  kClosed,
};

}  // namespace

struct AsyncClient::State {
  using ReadySockets = Poco::Net::PollSet::SocketModeMap;
  /// What one turn of the loop has to do.
  struct Work {
    /// Their sockets are ready.
    std::vector<PendingCallPtr> ready;
    std::vector<PendingCallPtr> failed;
  };

  void Run();
  /// Waits until there are calls.
  /// @return longest time to poll, or nothing if the client is stopping
  std::optional<Duration> WaitForCalls();
  Work TakeWork(const ReadySockets& ready, Instant now);
  void Do(const Work& work);
  /// Begins calls that have waited long enough, and ends those that have waited
  /// too long.
  void ServeQueue(Instant now);
  void Sweep();
  void Watch(const PendingCallPtr& call);
  void Forget(const PendingCallPtr& call);
  /// Begins a call, or lets it wait for a connection.
  void Make(const PendingCallPtr& call, Instant now);
  void Begin(const PendingCallPtr& call);
  /// Keeps the connection of a call that got its reply, and lets calls that
  /// wait follow.
  void Keep(const PendingCallPtr& call);
  void Send(const PendingCallPtr& call);
  void OnReady(const PendingCallPtr& call);
  void Receive(const PendingCallPtr& call);
  void Fail(const PendingCallPtr& call, Failure failure);
  ConnectionPool* PoolOf(const PendingCall& call) {
    return IsLimited(call) ? &this->shared_pool : &this->pool;
  }
  static void Settle(const PendingCallPtr& call, ExchangeResult result);

  /// Of unlimited calls.
  ConnectionPool pool{kMaxIdle};
  /// Of all others.
  ConnectionPool shared_pool{kMaxIdle};
  CallQueue queue;
  std::mutex mutex;
  std::condition_variable changed;
  Poco::Net::PollSet sockets;
  std::map<Poco::Net::Socket, PendingCallPtr> by_socket;
  std::set<std::pair<Instant, PendingCallPtr>> dues;
  /// Calls that failed at once, whose callers must not be told before `Call`
  /// has returned.
  std::vector<PendingCallPtr> failed;
  ConnectionCounts counts;
  bool stopping = false;
  std::thread thread;
};

AsyncClient::AsyncClient() : state(std::make_unique<State>()) {
  this->state->thread = std::thread([this] { this->state->Run(); });
}

AsyncClient::~AsyncClient() { this->Stop(); }

void AsyncClient::Stop() {
  {
    const std::lock_guard lock(this->state->mutex);
    this->state->stopping = true;
    this->state->changed.notify_one();
  }
  if (this->state->thread.joinable()) this->state->thread.join();
}

void AsyncClient::Call(Exchange exchange, Done done) {
  auto call = std::make_shared<PendingCall>();
  const Instant now = SteadyNow();
  call->due = now + exchange.timeout;
  call->exchange = std::move(exchange);
  call->done = std::move(done);
  this->state->Make(call, now);
}

void AsyncClient::SetShare(std::size_t connections) {
  this->state->queue.SetShare(connections);
  this->state->shared_pool.Trim(connections);
}

void AsyncClient::CancelWaiting() { this->state->queue.CancelWaiting(); }

void AsyncClient::Release() { this->state->shared_pool.RetireAll(); }

ConnectionCounts AsyncClient::Counts() const {
  const CallQueue::Counts calls = this->state->queue.GetCounts();
  const std::size_t idle = this->state->shared_pool.IdleCount();
  const std::lock_guard lock(this->state->mutex);
  ConnectionCounts counts = this->state->counts;
  counts.idle = idle;
  counts.in_use = calls.in_use;
  counts.waiting_calls = calls.waiting;
  counts.waited = calls.waited;
  counts.not_sent = calls.not_sent;
  return counts;
}

void AsyncClient::State::Make(const PendingCallPtr& call, Instant now) {
  if (!IsLimited(*call) || this->queue.Push(call, now)) this->Begin(call);
}

void AsyncClient::State::Begin(const PendingCallPtr& call) {
  call->connection = this->PoolOf(*call)->TakeOpen(call->exchange.address);
  if (call->connection) {
    this->Send(call);
    return;
  }
  auto begun = ClientConnection::Begin(call->exchange.address);
  if (begun) {
    call->connection = std::move(begun.value());
    call->connecting = true;
    call->first = true;
    this->Watch(call);
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->failed.push_back(call);
  this->changed.notify_one();
}

void AsyncClient::State::Send(const PendingCallPtr& call) {
  const std::error_code failure = call->connection->Send(
      MakeRequest(call->exchange), std::min(call->due, SteadyNow() + kMaxSend));
  if (!failure) {
    this->Watch(call);
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->failed.push_back(call);
  this->changed.notify_one();
}

void AsyncClient::State::Watch(const PendingCallPtr& call) {
  const std::lock_guard lock(this->mutex);
  const Poco::Net::StreamSocket& socket = call->connection->Socket();
  this->dues.insert({call->due, call});
  this->by_socket[socket] = call;
  this->sockets.add(socket, call->connecting ? Poco::Net::PollSet::POLL_WRITE
                                             : Poco::Net::PollSet::POLL_READ);
  this->changed.notify_one();
}

void AsyncClient::State::Forget(const PendingCallPtr& call) {
  const Poco::Net::StreamSocket& socket = call->connection->Socket();
  // Before the socket is closed, or its number could be another's by then.
  if (this->by_socket.erase(socket) > 0) this->sockets.remove(socket);
  this->dues.erase({call->due, call});
}

std::optional<Duration> AsyncClient::State::WaitForCalls() {
  std::unique_lock lock(this->mutex);
  const auto has_work = [this] {
    return this->stopping || !this->by_socket.empty() || !this->failed.empty();
  };
  const bool waiting = this->queue.HasWaiting();
  if (!has_work()) {
    this->changed.wait_for(lock, waiting ? kMaxQueuePoll : kSweepInterval,
                           has_work);
  }
  if (this->stopping) return std::nullopt;
  if (this->by_socket.empty() || !this->failed.empty()) {
    return Duration::zero();
  }
  const Duration left = this->dues.begin()->first - SteadyNow();
  return std::clamp(left, Duration::zero(), waiting ? kMaxQueuePoll : kMaxPoll);
}

void AsyncClient::State::Run() {
  Instant swept = SteadyNow();
  while (const auto longest = this->WaitForCalls()) {
    const auto ready = this->sockets.poll(Poco::Timespan(longest->count()));
    const Instant now = SteadyNow();
    this->Do(this->TakeWork(ready, now));
    if (this->queue.HasWaiting()) this->ServeQueue(SteadyNow());
    if (now < swept + kSweepInterval) continue;
    swept = now;
    this->Sweep();
  }
}

AsyncClient::State::Work AsyncClient::State::TakeWork(const ReadySockets& ready,
                                                      Instant now) {
  Work work;
  const std::lock_guard lock(this->mutex);
  for (const auto& [socket, mode] : ready) {
    const auto found = this->by_socket.find(socket);
    if (found == this->by_socket.end()) continue;
    const PendingCallPtr call = found->second;
    this->Forget(call);
    work.ready.push_back(call);
  }
  work.failed = std::exchange(this->failed, {});
  while (!this->dues.empty() && this->dues.begin()->first <= now) {
    const PendingCallPtr call = this->dues.begin()->second;
    this->Forget(call);
    work.failed.push_back(call);
  }
  return work;
}

void AsyncClient::State::Do(const Work& work) {
  for (const PendingCallPtr& call : work.ready) this->OnReady(call);
  for (const PendingCallPtr& call : work.failed) {
    this->Fail(call, Failure::kSilence);
  }
}

void AsyncClient::State::ServeQueue(Instant now) {
  const CallQueue::Calls admitted = this->queue.TakeAdmitted(now);
  for (const PendingCallPtr& call : this->queue.TakeUnsent()) {
    Settle(call, {ExchangeEnd::kNotAdmitted, 0, {}});
  }
  for (const PendingCallPtr& call : admitted) this->Begin(call);
}

void AsyncClient::State::Sweep() {
  this->pool.CloseExpired();
  this->shared_pool.CloseExpired();
  this->queue.RemoveUnused();
}

void AsyncClient::State::OnReady(const PendingCallPtr& call) {
  if (!std::exchange(call->connecting, false)) {
    this->Receive(call);
    return;
  }
  const std::error_code failure = call->connection->FinishConnect();
  if (IsLimited(*call)) {
    const std::lock_guard lock(this->mutex);
    if (!failure) ++this->counts.opened;
    if (failure == std::errc::connection_refused) ++this->counts.refused;
    if (failure == std::errc::connection_reset) ++this->counts.reset;
  }
  if (failure) {
    this->Fail(call, Failure::kClosed);
  } else if (SteadyNow() >= call->due) {
    // Failure: this process was frozen, and sends what was decided before that.
    this->Fail(call, Failure::kSilence);
  } else {
    this->Send(call);
  }
}

void AsyncClient::State::Receive(const PendingCallPtr& call) {
  Result<HttpReply> reply = call->connection->Receive(kMaxSilence, call->due);
  if (!reply) {
    const bool closed = reply.error() == Error::kWorkerLost;
    this->Fail(call, closed ? Failure::kClosed : Failure::kSilence);
    return;
  }
  this->Keep(call);
  Settle(call, {ExchangeEnd::kReplied, reply.value().Status(),
                std::move(reply.value().body)});
}

void AsyncClient::State::Keep(const PendingCallPtr& call) {
  if (!IsLimited(*call)) {
    this->pool.Put(std::move(call->connection));
    return;
  }
  const CallQueue::Succession next =
      this->queue.End(*call, call->connection->LastUsed());
  this->shared_pool.Put(std::move(call->connection), next.max_idle);
  for (const PendingCallPtr& one : next.admitted) this->Begin(one);
}

void AsyncClient::State::Fail(const PendingCallPtr& call, Failure failure) {
  const bool sent = call->connection && call->connection->Touched();
  // A new connection that is closed at once says nothing about older ones: the
  // other end may take no more of them.
  const bool rejected = call->first && failure == Failure::kClosed;
  // Failure: something between the two ends has lost track of the connections,
  // which stay silent for good while new ones work. All that are older than
  // this moment are as suspect as the one that gave no reply.
  if (sent && !rejected) {
    this->PoolOf(*call)->RetireOlder(call->exchange.address, SteadyNow());
  }
  call->connection.reset();
  if (IsLimited(*call)) {
    if (call->connecting || (sent && rejected)) {
      const std::lock_guard lock(this->mutex);
      ++(sent ? this->counts.reset : this->counts.timed_out);
    }
    for (const PendingCallPtr& next :
         this->queue.End(*call, SteadyNow()).admitted) {
      this->Begin(next);
    }
  }
  Settle(call, {sent ? ExchangeEnd::kUncertain : ExchangeEnd::kNotSent, 0, {}});
}

void AsyncClient::State::Settle(const PendingCallPtr& call,
                                ExchangeResult result) {
  const Done done = std::exchange(call->done, {});
  done(std::move(result));
}

}  // namespace mustardproxy::http
