#ifndef MUSTARDPROXY_WORKER_ANSWER_POLLER_H_
#define MUSTARDPROXY_WORKER_ANSWER_POLLER_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Thread.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "mustardproxy/core/time.h"
#include "start_call.h"

namespace mustardproxy::worker_detail {

/// Told by the poller's thread; must return at once.
class AnswerHandler {
 public:
  AnswerHandler() = default;
  AnswerHandler(const AnswerHandler&) = delete;
  AnswerHandler& operator=(const AnswerHandler&) = delete;
  virtual ~AnswerHandler() = default;

  /// There is something to read; the call is no longer watched.
  virtual void OnReadable(const StartCallPtr& call) = 0;
  /// The time given has come; the call is still watched, without a time.
  virtual void OnDue(const StartCallPtr& call) = 0;
};

/// Waits for the first byte of many answers on one thread, so that a task that
/// runs long holds a connection but no thread. Safe from any thread.
class AnswerPoller {
 public:
  explicit AnswerPoller(AnswerHandler* handler);
  ~AnswerPoller();
  AnswerPoller(const AnswerPoller&) = delete;
  AnswerPoller& operator=(const AnswerPoller&) = delete;

  /// Waits for input on the call's connection, if it has one, and for `due`.
  void Watch(const StartCallPtr& call, Instant due);
  /// Sets the time of a call that is still watched; else does nothing.
  void Remind(const StartCallPtr& call, Instant due);
  /// @return true if it was watched; the caller then owns its connection
  [[nodiscard]] bool Forget(const StartCallPtr& call);
  void Stop();

 private:
  struct Due {
    Instant at;
    StartCallPtr call;
    friend bool operator<(const Due& a, const Due& b) {
      return a.at == b.at ? a.call < b.call : a.at < b.at;
    }
  };

  void Run();
  bool WaitForCalls();
  void WatchSocket(const StartCallPtr& call);
  Poco::Net::PollSet::SocketModeMap Poll();
  std::vector<StartCallPtr> TakeReadable(
      const Poco::Net::PollSet::SocketModeMap& ready);
  std::vector<StartCallPtr> TakeDue();
  bool Remove(const StartCallPtr& call);

  AnswerHandler* handler;
  Poco::Net::PollSet sockets;
  std::mutex mutex;
  std::condition_variable changed;
  /// Watched calls and their times.
  std::map<StartCallPtr, Instant> calls;
  std::map<Poco::Net::Socket, StartCallPtr> by_socket;
  std::set<Due> dues;
  Poco::Thread thread;
  bool started = false;
  bool stopping = false;
};

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_ANSWER_POLLER_H_
