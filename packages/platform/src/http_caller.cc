#include "http_caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <exception>
#include <istream>
#include <mutex>

#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"

namespace mustardproxy::platform_detail {
namespace {

/// Longest time that `Abort` goes unnoticed.
constexpr Duration kSlice = std::chrono::milliseconds(50);
constexpr std::size_t kReadBytes = 16'384;
/// Larger replies are given up on, so that a broken platform can not exhaust
/// the memory of this process.
constexpr std::size_t kMaxReplyBytes = 256'000'000;
constexpr std::int64_t kKeepAliveSeconds = 30;

/// Writing to a connection that the other end has reset raises SIGPIPE, which
/// by default ends the process without a word. Ignored, the write fails with an
/// error instead. A handler that the program has set stays.
void IgnoreBrokenPipes() {
  static std::once_flag once;
  std::call_once(once, [] {
    const auto former = std::signal(SIGPIPE, SIG_IGN);
    if (former != SIG_DFL && former != SIG_ERR) {
      std::signal(SIGPIPE, former);
    }
  });
}

std::optional<Poco::Net::SocketAddress> ParseUrl(std::string_view url) {
  try {
    const Poco::URI uri{std::string(url)};
    return Poco::Net::SocketAddress(uri.getHost(), uri.getPort());
  } catch (const Poco::Exception&) {
    Log(Part::kPlatform, Level::kError, "The platform's URL is not valid.");
    return std::nullopt;
  }
}

Poco::Timespan ToTimespan(Duration duration) { return {duration.count()}; }

std::string ReadAll(std::istream* stream) {
  std::string body;
  std::array<char, kReadBytes> buffer{};
  while (stream->read(buffer.data(), buffer.size()) || stream->gcount() > 0) {
    body.append(buffer.data(), static_cast<std::size_t>(stream->gcount()));
    if (body.size() > kMaxReplyBytes) {
      throw Poco::Net::MessageException("reply too large");
    }
  }
  // A cut connection ends the stream just as the end of the body does, but for
  // its state.
  if (stream->bad()) {
    throw Poco::Net::MessageException("reply cut short");
  }
  return body;
}

bool Incomplete(const Poco::Net::HTTPResponse& response,
                const std::string& body) {
  return response.hasContentLength() &&
         response.getContentLength64() != static_cast<Poco::Int64>(body.size());
}

}  // namespace

HttpCaller::HttpCaller(std::string_view url, Duration timeout)
    : address(ParseUrl(url)), timeout(timeout) {
  IgnoreBrokenPipes();
}

std::optional<HttpReply> HttpCaller::Do(const HttpCall& call) {
  this->last_end = CallEnd::kNotSent;
  try {
    this->DropStaleConnection();
    if (!this->session && !this->Connect()) {
      return std::nullopt;
    }
    this->last_end = CallEnd::kNoReply;
    HttpReply reply = this->Exchange(call);
    this->last_end = CallEnd::kAnswered;
    return reply;
  } catch (const Poco::Exception&) {
    this->session.reset();
  } catch (const std::exception&) {
    this->session.reset();
  }
  return std::nullopt;
}

CallEnd HttpCaller::LastEnd() const { return this->last_end; }

void HttpCaller::Abort() { this->aborted = true; }

bool HttpCaller::Aborted() const { return this->aborted; }

bool HttpCaller::Connect() {
  if (!this->address || this->aborted) {
    return false;
  }
  Poco::Net::StreamSocket socket;
  socket.connectNB(*this->address);
  const bool ready =
      this->WaitFor(&socket, Poco::Net::Socket::SELECT_WRITE, this->timeout);
  if (!ready || socket.impl()->socketError() != 0) {
    return false;
  }
  socket.setBlocking(true);
  socket.setNoDelay(true);
  this->session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
  this->session->setTimeout(ToTimespan(this->timeout));
  this->session->setKeepAlive(true);
  this->session->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  socket.setSendTimeout(ToTimespan(this->timeout));
  socket.setReceiveTimeout(ToTimespan(this->timeout));
  return true;
}

/// A server closes idle connections. A call sent on such a connection fails
/// with its fate unknown, although nothing is wrong; readable before anything
/// was sent means closed.
void HttpCaller::DropStaleConnection() {
  if (this->session && this->session->socket().poll(
                           Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    this->session.reset();
  }
}

HttpReply HttpCaller::Exchange(const HttpCall& call) {
  Poco::Net::HTTPRequest request(call.method, call.target,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(this->address->toString());
  request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  std::ostream& out = this->session->sendRequest(request);
  out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
  out.flush();
  this->session->flushRequest();
  if (!this->WaitFor(&this->session->socket(), Poco::Net::Socket::SELECT_READ,
                     this->timeout + call.wait)) {
    throw Poco::TimeoutException("no reply");
  }
  Poco::Net::HTTPResponse response;
  std::istream& in = this->session->receiveResponse(response);
  HttpReply reply;
  reply.status = response.getStatus();
  reply.body = ReadAll(&in);
  if (Incomplete(response, reply.body)) {
    throw Poco::Net::MessageException("reply cut short");
  }
  if (!response.getKeepAlive()) {
    this->session.reset();
  }
  return reply;
}

bool HttpCaller::WaitFor(Poco::Net::Socket* socket, int mode,
                         Duration limit) const {
  const Instant deadline = SteadyNow() + limit;
  while (!this->aborted) {
    const Duration left =
        std::chrono::duration_cast<Duration>(deadline - SteadyNow());
    if (left <= Duration{0}) {
      return false;
    }
    if (socket->poll(ToTimespan(std::min(left, kSlice)), mode)) {
      return true;
    }
  }
  return false;
}

}  // namespace mustardproxy::platform_detail
