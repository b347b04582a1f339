#include "cell_operators.h"

namespace mustardproxy {
namespace {

constexpr const char* kText = "text/plain; version=0.0.4";
constexpr std::int32_t kOk = 200;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kUnavailable = 503;

}  // namespace

std::optional<http::HttpAnswer> CellOperators::Handle(
    const http::HttpCall& call) {
  if (call.path == "/metrics") {
    return http::TextAnswer(kOk, kText, this->metrics->Format());
  }
  if (call.path == "/healthz") return http::TextAnswer(kOk, kText, "ok\n");
  if (call.path == "/readyz") {
    const bool is_ready = this->ready;
    return http::TextAnswer(is_ready ? kOk : kUnavailable, kText,
                            is_ready ? "ready\n" : "not ready\n");
  }
  return http::TextAnswer(kNotFound, kText, "no such page\n");
}

http::HttpAnswer CellOperators::Refuse(std::int32_t status,
                                       std::error_code error,
                                       std::string detail) {
  return http::TextAnswer(status, kText,
                          error.message() + ": " + detail + "\n");
}

}  // namespace mustardproxy
