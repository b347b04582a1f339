#ifndef MUSTARDPROXY_GATEWAY_CONNECTION_H_
#define MUSTARDPROXY_GATEWAY_CONNECTION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include <cstdint>

#include "body_reader.h"
#include "bounded_socket.h"
#include "connection_table.h"
#include "http_message.h"

namespace mustardproxy::gateway_detail {

/// Bounds on one connection.
struct ConnectionLimits {
  std::int32_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  /// For the whole header; also for the first byte on a new connection.
  std::chrono::milliseconds header_time = std::chrono::seconds(10);
  std::chrono::milliseconds body_time = std::chrono::seconds(30);
  std::chrono::milliseconds send_time = std::chrono::seconds(30);
  /// Between two requests of a connection.
  std::chrono::milliseconds idle_time = std::chrono::seconds(60);
};

/// Serves the requests of one connection in turn, on a thread of its own.
class Connection final : public Poco::Net::TCPServerConnection {
 public:
  Connection(const Poco::Net::StreamSocket& socket, ConnectionLimits limits,
             Poco::Net::HTTPServerParams::Ptr params, Surface* surface,
             ConnectionTable* table);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

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

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_CONNECTION_H_
