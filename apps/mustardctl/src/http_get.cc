#include "http_get.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>
#include <istream>
#include <system_error>
#include <utility>

#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::ctl {
namespace {

/// The largest ring of events is well below this.
constexpr std::size_t kLargestBody = 536'870'912;
constexpr std::size_t kChunk = 65'536;

std::error_code TimedOut() { return make_error_code(std::errc::timed_out); }

/// Reads to the end. The session's own timeout counts the silence between two
/// bytes only, so a server that sends one byte a second would hold the caller
/// for hours; the deadline ends that.
Result<std::string> ReadBody(std::istream& in, Instant deadline) {
  std::string body;
  std::array<char, kChunk> chunk{};
  while (in.good()) {
    in.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
    if (SteadyNow() > deadline) return TimedOut();
    if (body.size() > kLargestBody) return Error::kMalformedReply;
  }
  return body;
}

Result<HttpText> Call(const std::string& address, const HttpQuery& query,
                      Duration timeout) {
  const Instant deadline = SteadyNow() + timeout;
  Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
  const Poco::Timespan limit(Poco::Timespan::TimeDiff{timeout.count()});
  session.setTimeout(limit, limit, limit);
  Poco::Net::HTTPRequest request(query.method, query.path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  if (!query.body.empty()) {
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(query.body.size()));
  }
  session.sendRequest(request) << query.body;
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  Result<std::string> body = ReadBody(in, deadline);
  if (!body) return body.error();
  const bool cut = response.hasContentLength() &&
                   response.getContentLength64() !=
                       static_cast<Poco::Int64>(body.value().size());
  if (cut) return Error::kMalformedReply;
  return HttpText{response.getStatus(), std::move(body.value())};
}

}  // namespace

Result<HttpText> HttpCall(const std::string& address, const HttpQuery& query,
                          Duration timeout) {
  try {
    return Call(address, query, timeout);
  } catch (const Poco::TimeoutException&) {
    return TimedOut();
  } catch (const Poco::Net::ConnectionRefusedException&) {
    return make_error_code(std::errc::connection_refused);
  } catch (const Poco::Net::MessageException&) {
    return Error::kMalformedReply;
  } catch (const Poco::Exception&) {
    return make_error_code(std::errc::host_unreachable);
  }
}

Result<std::string> HttpGet(const std::string& address, const std::string& path,
                            Duration timeout) {
  Result<HttpText> answer =
      HttpCall(address, {Poco::Net::HTTPRequest::HTTP_GET, path, ""}, timeout);
  if (!answer) return answer.error();
  if (answer.value().status != Poco::Net::HTTPResponse::HTTP_OK) {
    return Error::kMalformedReply;
  }
  return std::move(answer.value().body);
}

}  // namespace mustardproxy::ctl
