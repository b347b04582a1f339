#include "server_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include "mustardproxy/core/error.h"

namespace mustardproxy::http {
namespace {

using Breach = BoundedSocketImpl::Breach;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// POCO fetches this much ahead, so that the header's exact size is only known
/// once it is parsed.
constexpr std::int64_t kReadAhead = 4096;
constexpr std::int64_t kAnyBytes = std::numeric_limits<std::int64_t>::max();
constexpr std::int32_t kNoContent = 204;
constexpr std::int32_t kNotModified = 304;
/// Most bytes and time spent on what a refused caller still sends.
constexpr std::int64_t kLingerBytes = 4'194'304;
constexpr std::chrono::seconds kLingerTime(2);
constexpr std::chrono::seconds kRefusedHeaderTime(2);
constexpr std::size_t kSingleSend = 65'536;

std::int64_t HeaderSize(const HTTPRequest& header) {
  constexpr std::size_t kFieldOverhead = 4;
  std::size_t size = header.getMethod().size() + header.getURI().size();
  for (const auto& field : header) {
    size += field.first.size() + field.second.size() + kFieldOverhead;
  }
  return static_cast<std::int64_t>(size);
}

Method ParseMethod(const std::string& method) {
  if (method == HTTPRequest::HTTP_GET) return Method::kGet;
  if (method == HTTPRequest::HTTP_POST) return Method::kPost;
  if (method == HTTPRequest::HTTP_DELETE) return Method::kDelete;
  return Method::kOther;
}

HttpCall MakeCall(const HTTPRequest& header, std::string body, int descriptor) {
  std::string_view target = header.getURI();
  std::size_t mark = target.find('?');
  HttpCall call;
  call.method = ParseMethod(header.getMethod());
  call.path = target.substr(0, mark);
  if (mark != std::string_view::npos) call.query = target.substr(mark + 1);
  call.header = &header;
  call.body = std::make_shared<const std::string>(std::move(body));
  call.descriptor = descriptor;
  return call;
}

std::string FormatHeader(const HttpAnswer& answer, bool keep_alive) {
  HTTPResponse response(static_cast<HTTPResponse::HTTPStatus>(answer.status));
  response.setVersion(HTTPResponse::HTTP_1_1);
  response.setKeepAlive(keep_alive);
  if (!answer.content_type.empty()) {
    response.setContentType(answer.content_type);
  }
  if (answer.status != kNoContent) {
    response.setContentLength64(std::ssize(View(answer.body)));
  }
  for (const HttpHeader& header : answer.headers) {
    response.add(header.name, header.value);
  }
  std::ostringstream text;
  response.write(text);
  return std::move(text).str();
}

}  // namespace

ServerConnection::ServerConnection(const Poco::Net::StreamSocket& socket,
                                   ConnectionLimits limits,
                                   Poco::Net::HTTPServerParams::Ptr params,
                                   Surface* surface, ConnectionTable* table)
    : TCPServerConnection(socket),
      limits(limits),
      params(std::move(params)),
      surface(surface),
      table(table),
      bounded(static_cast<BoundedSocketImpl*>(this->socket().impl())),
      admission(table->Enter(this->socket())) {
  // Few threads are kept for refusals; a slow caller may not hold one for long.
  if (this->admission == ConnectionTable::Admission::kRefused) {
    this->limits.header_time = kRefusedHeaderTime;
  }
}

ServerConnection::~ServerConnection() {
  this->table->Leave(this->socket(), this->admission);
}

void ServerConnection::run() {
  try {
    this->socket().setNoDelay(true);
    CallerSession session(this->socket(), this->params);
    bool go_on = this->AwaitNext(&session, this->limits.header_time);
    while (go_on) {
      go_on = this->ServeNext(&session) &&
              this->AwaitNext(&session, this->limits.idle_time);
    }
  } catch (const Poco::Exception&) {
    // The connection broke or its time ran out; there is nobody to tell.
  }
}

bool ServerConnection::AwaitNext(CallerSession* session,
                                 std::chrono::milliseconds time) {
  if (!this->table->SetIdle(this->socket(), true)) return false;
  auto limit = std::chrono::duration_cast<std::chrono::microseconds>(time);
  bool more = session->HasBuffered() ||
              this->bounded->AwaitInput(Poco::Timespan(limit.count()));
  this->table->SetIdle(this->socket(), false);
  return more;
}

bool ServerConnection::ServeNext(CallerSession* session) {
  HTTPRequest header;
  if (!this->ReadHeader(session, &header)) return false;
  if (this->admission == ConnectionTable::Admission::kRefused) {
    this->SendLast(this->surface->Refuse(
        HTTPResponse::HTTP_SERVICE_UNAVAILABLE, Error::kTooManyConnections,
        "The limit on connections is reached."));
    return false;
  }
  std::string body;
  if (!this->ReadWholeBody(session, header, &body)) return false;
  HttpCall call = MakeCall(header, std::move(body), this->bounded->sockfd());
  std::optional<HttpAnswer> answer = this->surface->Handle(call);
  if (!answer) return false;
  bool open = this->table->SetIdle(this->socket(), false);
  bool keep_alive = open && !answer->close && header.getKeepAlive();
  bool with_body = header.getMethod() != HTTPRequest::HTTP_HEAD;
  this->Send(*answer, keep_alive, with_body);
  return keep_alive;
}

bool ServerConnection::ReadHeader(CallerSession* session, HTTPRequest* header) {
  this->bounded->AllowReceive(this->limits.header_time,
                              this->limits.max_header_bytes + kReadAhead);
  try {
    Poco::Net::HTTPHeaderInputStream stream(*session);
    header->read(stream);
  } catch (const Poco::Net::NoMessageException&) {
    return false;
  } catch (const Poco::Exception&) {
    this->AnswerBrokenHeader();
    return false;
  }
  // POCO takes the end of the connection for the end of the header. A header
  // cut in its last field would run with half of a key or without its length.
  if (this->bounded->Breached() == Breach::kEnded) return false;
  if (HeaderSize(*header) <= this->limits.max_header_bytes) return true;
  this->SendLast(this->surface->Refuse(
      HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, Error::kHeaderInvalid,
      "The header is larger than the limit."));
  return false;
}

void ServerConnection::AnswerBrokenHeader() {
  if (this->bounded->Breached() == Breach::kEnded) return;
  if (this->bounded->Breached() == Breach::kTooSlow) {
    this->SendLast(this->surface->Refuse(HTTPResponse::HTTP_REQUEST_TIMEOUT,
                                         Error::kHeaderInvalid,
                                         "The header did not arrive in time."));
    return;
  }
  // Fields that are too long or too many end in the same exception as fields
  // that can not be understood; both are limits on the header.
  this->SendLast(this->surface->Refuse(
      HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, Error::kHeaderInvalid,
      "The header is larger than the limit or can not be understood."));
}

bool ServerConnection::ReadWholeBody(CallerSession* session,
                                     const HTTPRequest& header,
                                     std::string* body) {
  std::int64_t limit = this->limits.max_body_bytes;
  BodyEnd end = CheckBodyHeader(header, limit);
  this->bounded->AllowReceive(this->limits.body_time, kAnyBytes);
  if (end == BodyEnd::kWhole) {
    if (header.getExpectContinue()) this->SendContinue();
    try {
      end = ReadBody(session, header, limit, body);
    } catch (const Poco::TimeoutException&) {
      this->SendLast(this->surface->Refuse(HTTPResponse::HTTP_REQUEST_TIMEOUT,
                                           Error::kDeadlineExceeded,
                                           "The body did not arrive in time."));
      return false;
    }
  }
  if (end == BodyEnd::kTooLarge) {
    this->SendLast(this->surface->Refuse(
        HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, Error::kBodyTooLarge,
        "The limit is " + std::to_string(limit) + " bytes."));
  }
  if (end == BodyEnd::kMalformed) {
    this->SendLast(this->surface->Refuse(
        HTTPResponse::HTTP_BAD_REQUEST, Error::kHeaderInvalid,
        "The length of the body can not be understood."));
  }
  return end == BodyEnd::kWhole;
}

void ServerConnection::SendContinue() {
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  this->bounded->AllowSend(this->limits.send_time);
  this->socket().sendBytes(kContinue.data(),
                           static_cast<int>(kContinue.size()));
}

void ServerConnection::Send(const HttpAnswer& answer, bool keep_alive,
                            bool with_body) {
  this->bounded->AllowSend(this->limits.send_time);
  std::string text = FormatHeader(answer, keep_alive);
  std::string_view body = View(answer.body);
  if (!with_body || answer.status == kNoContent ||
      answer.status == kNotModified) {
    body = {};
  }
  // A small answer leaves in one segment.
  if (body.size() <= kSingleSend) {
    text.append(body);
    body = {};
  }
  this->socket().sendBytes(text.data(), static_cast<int>(text.size()));
  if (body.empty()) return;
  this->socket().sendBytes(body.data(), static_cast<int>(body.size()));
}

void ServerConnection::SendLast(const HttpAnswer& answer) {
  this->Send(answer, false, true);
  this->socket().shutdownSend();
  // Closing with unread bytes resets the connection, and the caller could lose
  // the answer before it reads it. What it still sends is read and dropped, up
  // to a bound.
  this->bounded->AllowReceive(kLingerTime, kLingerBytes);
  std::array<char, kReadAhead> dropped{};
  while (this->socket().receiveBytes(dropped.data(),
                                     static_cast<int>(dropped.size())) > 0) {
  }
}

}  // namespace mustardproxy::http
