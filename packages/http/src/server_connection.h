#ifndef MUSTARDPROXY_HTTP_SERVER_CONNECTION_H_
#define MUSTARDPROXY_HTTP_SERVER_CONNECTION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include <cstdint>

#include "body_reader.h"
#include "bounded_socket.h"
#include "mustardproxy/http/connection_limits.h"
#include "mustardproxy/http/connection_table.h"
#include "mustardproxy/http/message.h"

namespace mustardproxy::http {

/// Serves the requests of one connection in turn, on a thread of its own.
class ServerConnection final : public Poco::Net::TCPServerConnection {
 public:
  ServerConnection(const Poco::Net::StreamSocket& socket,
                   ConnectionLimits limits,
                   Poco::Net::HTTPServerParams::Ptr params, Surface* surface,
                   ConnectionTable* table);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void run() override;

 private:
  /// Waits for the first byte of a request.
  /// @return false if none came, or the listener stops
  bool AwaitNext(CallerSession* session, std::chrono::milliseconds time);
  /// @return false if the connection is to be closed
  bool ServeNext(CallerSession* session);
  bool ReadHeader(CallerSession* session, Poco::Net::HTTPRequest* header);
  void AnswerBrokenHeader();
  bool ReadWholeBody(CallerSession* session,
                     const Poco::Net::HTTPRequest& header, std::string* body);
  void SendContinue();
  void Send(const HttpAnswer& answer, bool keep_alive, bool with_body);
  /// Answers and closes in a way that lets the answer arrive.
  void SendLast(const HttpAnswer& answer);

  ConnectionLimits limits;
  Poco::Net::HTTPServerParams::Ptr params;
  Surface* surface;
  ConnectionTable* table;
  BoundedSocketImpl* bounded;
  ConnectionTable::Admission admission;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_SERVER_CONNECTION_H_
