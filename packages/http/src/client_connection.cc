#include "mustardproxy/http/client_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>

#include <istream>
#include <ostream>
#include <utility>

#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::http {
namespace {

using Poco::Net::HTTPRequest;

/// Largest answer that is taken in.
constexpr std::int64_t kMaxAnswerBytes = 8 << 20;
constexpr int kMaxHeaders = 64;

HTTPRequest MakeHeader(const HttpRequest& request, const std::string& address) {
  HTTPRequest header(request.method, request.path, HTTPRequest::HTTP_1_1);
  header.set("Host", address);
  for (const HttpHeader& one : request.headers) header.set(one.name, one.value);
  if (request.method == HTTPRequest::HTTP_GET) return header;
  header.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  if (!request.content_type.empty()) {
    header.setContentType(request.content_type);
  }
  return header;
}

}  // namespace

ClientConnection::ClientConnection(std::string address,
                                   const Poco::Net::StreamSocket& socket,
                                   GuardedSocketImpl* guard)
    : address(std::move(address)),
      socket(socket),
      guard(guard),
      session(this->socket),
      opened_at(SteadyNow()),
      last_used(this->opened_at) {
  this->session.setKeepAlive(true);
}

Result<std::unique_ptr<ClientConnection>> ClientConnection::Open(
    const std::string& address, Duration timeout) {
  try {
    auto* guard = new GuardedSocketImpl;
    Poco::Net::StreamSocket socket(guard);  // Owns the guard.
    socket.connect(Poco::Net::SocketAddress(address),
                   Poco::Timespan(timeout.count()));
    socket.setNoDelay(true);
    return std::unique_ptr<ClientConnection>(
        new ClientConnection(address, socket, guard));
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kWorkerLost);
  }
}

Result<std::unique_ptr<ClientConnection>> ClientConnection::Begin(
    const std::string& address) {
  try {
    auto* guard = new GuardedSocketImpl;
    Poco::Net::StreamSocket socket(guard);  // Owns the guard.
    socket.connectNB(Poco::Net::SocketAddress(address));
    return std::unique_ptr<ClientConnection>(
        new ClientConnection(address, socket, guard));
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kWorkerLost);
  }
}

std::error_code ClientConnection::FinishConnect() {
  try {
    const int failure = this->socket.impl()->socketError();
    if (failure != 0) return {failure, std::system_category()};
    this->socket.setBlocking(true);
    this->socket.setNoDelay(true);
    return {};
  } catch (const Poco::Exception&) {
    return std::make_error_code(std::errc::connection_reset);
  }
}

std::error_code ClientConnection::Send(const HttpRequest& request,
                                       Instant until) {
  this->exchanged = true;
  this->reusable = false;
  this->guard->BeginSend(until);
  this->guard->KeepWrites();
  HTTPRequest header = MakeHeader(request, this->address);
  try {
    std::ostream& out = this->session.sendRequest(header);
    out.write(request.body.data(),
              static_cast<std::streamsize>(request.body.size()));
    this->session.flushRequest();
    this->guard->FlushSend();
  } catch (const Poco::Exception&) {
    return Error::kWorkerLost;
  }
  return {};
}

bool ClientConnection::Touched() const { return this->guard->BytesSent() > 0; }

Result<HttpReply> ClientConnection::Receive(Duration silence, Instant until) {
  try {
    this->guard->BeginReceive(silence, until);
    bool whole = false;
    HttpReply answer = this->ReadAnswer(&whole);
    this->reusable = whole && answer.header.getKeepAlive();
    if (whole) return answer;
  } catch (const Poco::Exception&) {
    this->reusable = false;
  }
  const bool nothing = this->guard->BytesReceived() == 0;
  return make_error_code(nothing ? Error::kWorkerLost
                                 : Error::kAnswerIncomplete);
}

HttpReply ClientConnection::ReadAnswer(bool* whole) {
  HttpReply answer;
  answer.header.setFieldLimit(kMaxHeaders);
  std::istream& in = this->session.receiveResponse(answer.header);
  // Without a length the end of an answer can't be told from a cut.
  if (!answer.header.hasContentLength()) return answer;
  const std::int64_t length = answer.header.getContentLength64();
  if (length < 0 || length > kMaxAnswerBytes) return answer;
  answer.body.resize(static_cast<std::size_t>(length));
  in.read(answer.body.data(), length);
  this->last_used = SteadyNow();
  *whole = in.gcount() == length;
  return answer;
}

bool ClientConnection::HasInput() const { return this->guard->HasInput(); }

std::int64_t ClientConnection::ExchangedBytes() const {
  return this->guard->BytesSent() + this->guard->BytesReceived();
}

}  // namespace mustardproxy::http
