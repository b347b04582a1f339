#ifndef MUSTARDPROXY_GATEWAY_OPERATOR_SURFACE_H_
#define MUSTARDPROXY_GATEWAY_OPERATOR_SURFACE_H_

#include <atomic>
#include <functional>
#include <string>

#include "mustardproxy/http/message.h"
#include "mustardproxy/telemetry/metrics.h"
#include "mustardproxy/telemetry/timeline.h"

namespace mustardproxy::gateway_detail {

/// Where the operators' calls get their content.
struct OperatorSources {
  std::function<std::string()> status;
  std::function<bool()> ready;
  const Timeline* timeline = nullptr;
  const Metrics* metrics = nullptr;
};

/// Health, status, time line and metrics.
class OperatorSurface final : public http::Surface {
 public:
  OperatorSurface(OperatorSources sources, const std::atomic<bool>* draining)
      : sources(std::move(sources)), draining(draining) {}

  std::optional<http::HttpAnswer> Handle(const http::HttpCall& call) override;
  http::HttpAnswer Refuse(std::int32_t status, std::error_code error,
                          std::string detail) override;

 private:
  http::HttpAnswer Readiness() const;
  http::HttpAnswer Events(std::string_view query) const;

  OperatorSources sources;
  const std::atomic<bool>* draining;
};

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_OPERATOR_SURFACE_H_
