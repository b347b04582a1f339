#ifndef MUSTARDPROXY_GATEWAY_CALLER_SURFACE_H_
#define MUSTARDPROXY_GATEWAY_CALLER_SURFACE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/http/message.h"
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
class CallerSurface final : public http::Surface {
 public:
  CallerSurface(CallerOptions options, http::Surface* common,
                const std::atomic<bool>* draining);

  std::optional<http::HttpAnswer> Handle(const http::HttpCall& call) override;
  http::HttpAnswer Refuse(std::int32_t status, std::error_code error,
                          std::string detail) override;

  void Settle(const RequestId& request, Settlement settlement);
  void Settle(std::uint64_t query, Settlement settlement);
  /// Ends all waits that have no answer.
  void Stop();

 private:
  enum class Question { kState, kResult, kCancel };

  std::optional<http::HttpAnswer> Route(const http::HttpCall& call);
  std::optional<http::HttpAnswer> Submit(const http::HttpCall& call,
                                         std::string_view service);
  std::optional<http::HttpAnswer> Await(Request request, int descriptor);
  std::optional<http::HttpAnswer> Ask(const http::HttpCall& call,
                                      std::string_view rest);
  std::optional<http::HttpAnswer> AskCore(const RequestId& request,
                                          Question question, int descriptor);
  http::HttpAnswer RefuseRequest(const RequestId& request, std::int32_t status,
                                 std::error_code error, std::string detail);
  void Count(std::string_view name, std::string_view label);
  RequestId NextId();

  CallerOptions options;
  std::string id_prefix;
  http::Surface* common;
  const std::atomic<bool>* draining;
  std::atomic<std::uint64_t> next_request = 1;
  std::atomic<std::uint64_t> next_query = 1;
  WaitingTable<RequestId> requests;
  WaitingTable<std::uint64_t> queries;
};

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_CALLER_SURFACE_H_
