#ifndef MUSTARDPROXY_CELL_HTTP_H_
#define MUSTARDPROXY_CELL_HTTP_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardproxy::cell {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method = "GET";
  /// With the query.
  std::string path = "/";
  std::string body;
  std::vector<HttpHeader> headers;
};

struct HttpReply {
  int status = 0;
  std::string body;
  std::vector<HttpHeader> headers;

  /// @return the value of a header, empty if it is absent
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// A kept-open connection to one server. Not thread-safe.
class HttpClient {
 public:
  /// @param url `http://ip:port`
  HttpClient(const std::string& url, std::chrono::milliseconds timeout);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  /// @return the whole reply, or nothing if none came
  [[nodiscard]] std::optional<HttpReply> Send(const HttpRequest& request);

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Sends one request on a connection of its own.
[[nodiscard]] std::optional<HttpReply> SendOnce(
    const std::string& url, const HttpRequest& request,
    std::chrono::milliseconds timeout = std::chrono::seconds(10));

}  // namespace mustardproxy::cell

#endif  // MUSTARDPROXY_CELL_HTTP_H_
