#ifndef MUSTARDPROXY_HTTP_BODY_READER_H_
#define MUSTARDPROXY_HTTP_BODY_READER_H_

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPServerSession.h>

#include <cstdint>
#include <string>

namespace mustardproxy::http {

/// POCO's session with its buffered reads made public.
class CallerSession final : public Poco::Net::HTTPServerSession {
 public:
  using HTTPServerSession::HTTPServerSession;

  /// @return true if bytes of the next request were fetched already
  [[nodiscard]] bool HasBuffered() const { return this->buffered() > 0; }
  /// @return the next byte, or -1 at the end of the connection
  int Get() { return this->get(); }
  /// @return bytes read, 0 at the end of the connection
  int Read(char* buffer, int length) { return this->read(buffer, length); }
};

/// How the reading of a body ended.
enum class BodyEnd {
  kWhole,
  /// Larger than the limit; the rest is unread.
  kTooLarge,
  /// The connection ended before the body did.
  kCut,
  /// Length or chunks can not be understood, or are given in two ways.
  kMalformed,
};

/// Reads the whole body of a request, whose length is given by
/// `Content-Length`, by chunks, or which has none.
///
/// POCO's own chunk reader takes the end of the connection and a chunk size
/// that is no number for the end of the body; a request cut half way would then
/// run with half of its body. This one tells them apart.
[[nodiscard]] BodyEnd ReadBody(CallerSession* session,
                               const Poco::Net::HTTPRequest& header,
                               std::int64_t limit, std::string* body);

/// @return what the header alone says against the body: too large or malformed
[[nodiscard]] BodyEnd CheckBodyHeader(const Poco::Net::HTTPRequest& header,
                                      std::int64_t limit);

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_BODY_READER_H_
