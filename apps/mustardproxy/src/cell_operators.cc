#include "cell_operators.h"

#include <Poco/Net/HTTPResponse.h>

namespace mustardproxy {
namespace {

using Status = Poco::Net::HTTPResponse;

constexpr const char* kText = "text/plain; version=0.0.4";

}  // namespace

std::optional<http::HttpAnswer> CellOperators::Handle(
    const http::HttpCall& call) {
  if (call.path == "/metrics") {
    return http::TextAnswer(Status::HTTP_OK, kText, this->metrics->Format());
  }
  if (call.path == "/healthz") {
    return http::TextAnswer(Status::HTTP_OK, kText, "ok\n");
  }
  if (call.path == "/readyz") {
    const bool is_ready = this->ready;
    return http::TextAnswer(
        is_ready ? Status::HTTP_OK : Status::HTTP_SERVICE_UNAVAILABLE, kText,
        is_ready ? "ready\n" : "not ready\n");
  }
  return http::TextAnswer(Status::HTTP_NOT_FOUND, kText, "no such page\n");
}

http::HttpAnswer CellOperators::Refuse(std::int32_t status,
                                       std::error_code error,
                                       std::string detail) {
  return http::TextAnswer(status, kText,
                          error.message() + ": " + detail + "\n");
}

}  // namespace mustardproxy
