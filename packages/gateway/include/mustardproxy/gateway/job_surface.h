#ifndef MUSTARDPROXY_GATEWAY_JOB_SURFACE_H_
#define MUSTARDPROXY_GATEWAY_JOB_SURFACE_H_

#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/http/message.h"
#include "mustardproxy/jobs/job_gate.h"

namespace mustardproxy {

/// The product's own interface for jobs, as docs/API.md describes it:
/// `/v1/jobs/{queue}` and `/v1/jobs/{queue}/{id}`. Safe from any thread.
class JobSurface final : public http::Surface {
 public:
  /// @param other answers what is not below `/v1/jobs/`
  JobSurface(jobs::JobGate gate, http::Surface* other)
      : gate(gate), other(other) {}

  std::optional<http::HttpAnswer> Handle(const http::HttpCall& call) override;
  http::HttpAnswer Refuse(std::int32_t status, std::error_code error,
                          std::string detail) override;

 private:
  http::HttpAnswer Serve(const http::HttpCall& call, std::string_view queue,
                         std::string_view id);
  http::HttpAnswer Submit(const http::HttpCall& call,
                          const jobs::Admission& admission,
                          const jobs::JobId& id, Duration timeout);

  jobs::JobGate gate;
  http::Surface* other;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_GATEWAY_JOB_SURFACE_H_
