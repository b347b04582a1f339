#ifndef MUSTARDPROXY_APP_CELL_OPERATORS_H_
#define MUSTARDPROXY_APP_CELL_OPERATORS_H_

#include <atomic>
#include <optional>
#include <string>

#include "mustardproxy/http/message.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// What operators of a cell may ask a process: `/metrics`, `/healthz` and
/// `/readyz`. Safe from any thread.
class CellOperators final : public http::Surface {
 public:
  explicit CellOperators(const Metrics* metrics) : metrics(metrics) {}

  void SetReady(bool is_ready) { this->ready = is_ready; }
  std::optional<http::HttpAnswer> Handle(const http::HttpCall& call) override;
  http::HttpAnswer Refuse(std::int32_t status, std::error_code error,
                          std::string detail) override;

 private:
  const Metrics* metrics;
  std::atomic<bool> ready = false;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_CELL_OPERATORS_H_
