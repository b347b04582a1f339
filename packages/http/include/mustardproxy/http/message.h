#ifndef MUSTARDPROXY_HTTP_MESSAGE_H_
#define MUSTARDPROXY_HTTP_MESSAGE_H_

#include <Poco/Net/HTTPRequest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/request.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/http/header.h"

namespace mustardproxy::http {

/// Methods that any surface knows.
enum class Method { kGet, kPost, kDelete, kOther };

/// One whole request of a caller or operator.
struct HttpCall {
  Method method = Method::kOther;
  /// Without the query, undecoded.
  std::string_view path;
  /// What stands after the question mark.
  std::string_view query;
  const Poco::Net::HTTPRequest* header = nullptr;
  Body body;
  /// To see whether the caller is still there.
  int descriptor = -1;
};

struct HttpAnswer {
  std::int32_t status = 200;
  std::string content_type;
  Body body;
  std::vector<HttpHeader> headers;
  /// No further request is taken on this connection.
  bool close = false;
};

/// What one listener serves.
class Surface {
 public:
  Surface() = default;
  Surface(const Surface&) = delete;
  Surface& operator=(const Surface&) = delete;
  virtual ~Surface() = default;

  /// @return the answer, or nothing if the caller has gone away
  [[nodiscard]] virtual std::optional<HttpAnswer> Handle(
      const HttpCall& call) = 0;
  /// @return the answer to what could not be read, or may not be served now
  [[nodiscard]] virtual HttpAnswer Refuse(std::int32_t status,
                                          std::error_code error,
                                          std::string detail) = 0;
};

/// @return an answer with a body of text
[[nodiscard]] inline HttpAnswer TextAnswer(std::int32_t status,
                                           std::string content_type,
                                           std::string text) {
  HttpAnswer answer;
  answer.status = status;
  answer.content_type = std::move(content_type);
  answer.body = std::make_shared<const std::string>(std::move(text));
  return answer;
}

/// Tells the caller when to come back, in whole seconds and not too early;
/// nothing if that is zero.
inline void AddRetryAfter(Duration retry_after, HttpAnswer* answer) {
  if (retry_after <= Duration::zero()) return;
  const auto whole = std::chrono::ceil<std::chrono::seconds>(retry_after);
  answer->headers.push_back({"Retry-After", std::to_string(whole.count())});
}

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_MESSAGE_H_
