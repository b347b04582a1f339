#ifndef MUSTARDPROXY_WORKER_START_CALLS_H_
#define MUSTARDPROXY_WORKER_START_CALLS_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "answer_poller.h"
#include "control_client.h"
#include "messages.h"
#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/http/connection_pool.h"
#include "received_ends.h"
#include "start_call.h"
#include "work_pool.h"

namespace mustardproxy::worker_detail {

/// Counts what is in flight, per worker and in all.
class InFlight {
 public:
  /// @return false if the worker's connections are all in use, or after `Close`
  [[nodiscard]] bool Enter(const WorkerId& worker);
  void Leave(const WorkerId& worker);
  /// Takes over the number of connections that a worker tells of.
  void Limit(const WorkerId& worker, std::int32_t connections);
  /// Lets nothing more in, and waits until all have left.
  void Close();
  [[nodiscard]] bool Closed() const;

 private:
  struct Load {
    std::int32_t in_flight = 0;
    std::int32_t limit = 0;
  };

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::unordered_map<WorkerId, Load> loads;
  std::int64_t total = 0;
  bool closed = false;
};

/// Carries out starts. Each ends in exactly one of the events that `StartTask`
/// names; which one rests on whether the worker can have seen the request.
class StartCalls final : private AnswerHandler {
 public:
  struct Options {
    Sender sender;
    std::int32_t threads = 0;
    Duration control_timeout{0};
    EventSink* sink = nullptr;
  };

  /// @param received told of each end that an answer brought whole
  StartCalls(Options options, http::ConnectionPool* connections,
             ControlClient* control, ReceivedEnds* received);
  ~StartCalls() override;

  void Begin(const StartTask& action);
  void Limit(const WorkerId& worker, std::int32_t connections);
  /// Waits until each start has its result.
  void Stop();

 private:
  void OnReadable(const StartCallPtr& call) override;
  void OnDue(const StartCallPtr& call) override;

  void Send(const StartCallPtr& call);
  bool SendOnce(const StartCallPtr& call, std::error_code* problem);
  void Read(const StartCallPtr& call);
  void Judge(const StartCallPtr& call, const http::HttpReply& answer);
  void JudgeRefusal(const StartCallPtr& call, const Refusal& refusal);
  void Probe(const StartCallPtr& call);
  void JudgeState(const StartCallPtr& call, const TaskState& state);
  void RemindLater(const StartCallPtr& call);

  void NotStarted(const StartCallPtr& call, std::error_code reason);
  void Uncertain(const StartCallPtr& call, std::error_code reason);
  void Started(const StartCallPtr& call);
  /// @param number of the end, if the worker's own answer brought it
  void Ended(const StartCallPtr& call, EndedTask ended,
             const EndNumber& number);
  /// @return false if the call had its result already
  bool Settle(const StartCallPtr& call, Event event);

  Options options;
  http::ConnectionPool* connections;
  ControlClient* control;
  ReceivedEnds* received;
  InFlight in_flight;
  WorkPool threads;
  AnswerPoller poller;
};

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_START_CALLS_H_
