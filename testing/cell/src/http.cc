#include "cell/http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace mustardproxy::cell {
namespace {

Poco::Timespan Convert(std::chrono::milliseconds time) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

HttpReply Receive(Poco::Net::HTTPClientSession* session) {
  Poco::Net::HTTPResponse response;
  std::istream& stream = session->receiveResponse(response);
  HttpReply reply;
  reply.status = response.getStatus();
  for (const auto& header : response) {
    reply.headers.push_back({header.first, header.second});
  }
  Poco::StreamCopier::copyToString(stream, reply.body);
  return reply;
}

/// POCO gives a body that was cut short without an error.
bool IsWhole(const HttpReply& reply) {
  std::string length = reply.Header("Content-Length");
  return length.empty() || length == std::to_string(reply.body.size());
}

}  // namespace

struct HttpClient::State {
  explicit State(const Poco::URI& url)
      : session(url.getHost(), url.getPort()) {}

  Poco::Net::HTTPClientSession session;
};

std::string HttpReply::Header(const std::string& name) const {
  for (const HttpHeader& header : this->headers) {
    if (Poco::icompare(header.name, name) == 0) return header.value;
  }
  return {};
}

HttpClient::HttpClient(const std::string& url,
                       std::chrono::milliseconds timeout)
    : state(std::make_unique<State>(Poco::URI(url))) {
  this->state->session.setKeepAlive(true);
  this->state->session.setTimeout(Convert(timeout));
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

std::optional<HttpReply> HttpClient::Send(const HttpRequest& request) {
  Poco::Net::HTTPClientSession& session = this->state->session;
  try {
    Poco::Net::HTTPRequest header(request.method, request.path,
                                  Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HttpHeader& item : request.headers) {
      header.set(item.name, item.value);
    }
    header.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    session.sendRequest(header) << request.body;
    HttpReply reply = Receive(&session);
    if (IsWhole(reply)) return reply;
  } catch (const Poco::Exception&) {
    // Told as the absence of a reply.
  }
  session.reset();
  return std::nullopt;
}

std::optional<HttpReply> SendOnce(const std::string& url,
                                  const HttpRequest& request,
                                  std::chrono::milliseconds timeout) {
  return HttpClient(url, timeout).Send(request);
}

}  // namespace mustardproxy::cell
