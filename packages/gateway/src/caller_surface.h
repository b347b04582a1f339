#ifndef MUSTARDPROXY_GATEWAY_CALLER_SURFACE_H_
#define MUSTARDPROXY_GATEWAY_CALLER_SURFACE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "http_message.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/telemetry/metrics.h"
#include "waiting.h"

namespace mustardproxy::gateway_detail {

/// What the callers' surface is made with.
struct CallerOptions {
  ProcessId process;
  Incarnation incarnation = 0;
  Duration max_timeout{0};
  EventSink* sink = nullptr;
  /// Optional.
  Metrics* metrics = nullptr;
};

/// Turns callers' requests into events and waits for what the core decides.
/// What is not for callers goes on to the operators' surface.
class CallerSurface final : public Surface {
 public:
  CallerSurface(CallerOptions options, Surface* common,
                const std::atomic<bool>* draining);

  std::optional<HttpAnswer> Handle(const HttpCall& call) override;
  HttpAnswer Refuse(std::int32_t status, std::error_code error,
                    std::string detail) override;

  void Settle(const RequestId& request, Settlement settlement);
  void Settle(std::uint64_t query, Settlement settlement);
  /// Ends all waits that have no answer.
  void Stop();

 private:
  enum class Question { kState, kResult, kCancel };

  std::optional<HttpAnswer> Route(const HttpCall& call);
  std::optional<HttpAnswer> Submit(const HttpCall& call,
                                   std::string_view service);
  std::optional<HttpAnswer> Await(Request request, int descriptor);
  std::optional<HttpAnswer> Ask(const HttpCall& call, std::string_view rest);
  std::optional<HttpAnswer> AskCore(const RequestId& request, Question question,
                                    int descriptor);
  HttpAnswer RefuseRequest(const RequestId& request, std::int32_t status,
                           std::error_code error, std::string detail);
  void Count(std::string_view name, std::string_view label);
  RequestId NextId();

  CallerOptions options;
  std::string id_prefix;
  Surface* common;
  const std::atomic<bool>* draining;
  std::atomic<std::uint64_t> next_request = 1;
  std::atomic<std::uint64_t> next_query = 1;
  WaitingTable<RequestId> requests;
  WaitingTable<std::uint64_t> queries;
};

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_CALLER_SURFACE_H_
