#include "mustardproxy/http/client_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "mustardproxy/core/error.h"
#include "mustardproxy/http/guarded_socket.h"
#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::http {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;
using std::chrono::seconds;

const Poco::Timespan kLimit(20, 0);
constexpr int kShortMicros = 200'000;

struct Fixture {
  StreamSocket Accept() {
    BOOST_REQUIRE(this->server.poll(kLimit, Poco::Net::Socket::SELECT_READ));
    StreamSocket socket = this->server.acceptConnection();
    socket.setReceiveTimeout(kLimit);
    return socket;
  }

  /// @return true if a connection comes within a short while
  bool SomeoneConnects() {
    return this->server.poll(Poco::Timespan(0, kShortMicros),
                             Poco::Net::Socket::SELECT_READ);
  }

  std::unique_ptr<ClientConnection> Open() {
    auto opened =
        ClientConnection::Open(this->server.address().toString(), seconds(5));
    BOOST_REQUIRE(opened.has_value());
    return std::move(opened.value());
  }

  ServerSocket server{SocketAddress("127.0.0.1", 0)};
};

/// Closes with a reset, which has arrived when this returns.
void Reset(StreamSocket* socket, const ClientConnection& other) {
  socket->setLinger(true, 0);
  socket->close();
  BOOST_REQUIRE(other.Socket().poll(kLimit, Poco::Net::Socket::SELECT_READ));
}

HttpRequest Request() { return {"POST", "/", "", {}, "body"}; }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(connection, Fixture)

// The connection is reset between the check of an idle connection and the send.
// POCO's session would connect anew and send there by itself. Whether to send
// again is not its decision: nothing may go out, and the caller of `Send` must
// be able to see that nothing has.
BOOST_AUTO_TEST_CASE(a_send_on_a_reset_connection_connects_nowhere) {
  const auto connection = Open();
  StreamSocket peer = Accept();
  Reset(&peer, *connection);
  BOOST_TEST((connection->Send(Request(), SteadyNow() + seconds(5)) ==
              Error::kWorkerLost));
  BOOST_TEST(!connection->Touched());
  BOOST_TEST(!SomeoneConnects());
  // Nor does a second try.
  BOOST_TEST((connection->Send(Request(), SteadyNow() + seconds(5)) ==
              Error::kWorkerLost));
  BOOST_TEST(!connection->Touched());
  BOOST_TEST(!SomeoneConnects());
}

// A write that fails must not look like a `NetException`, for which POCO sends
// again, and no later write may go out behind the gap.
BOOST_AUTO_TEST_CASE(a_failed_write_is_final) {
  auto* guard = new GuardedSocketImpl;
  StreamSocket socket(guard);
  socket.connect(server.address());
  StreamSocket peer = Accept();
  peer.setLinger(true, 0);
  peer.close();
  BOOST_REQUIRE(socket.poll(kLimit, Poco::Net::Socket::SELECT_READ));
  guard->BeginSend(SteadyNow() + seconds(5));
  for (int i = 0; i < 2; ++i) {
    bool net_exception = false;
    bool failed = false;
    try {
      socket.sendBytes("x", 1);
    } catch (const Poco::Net::NetException&) {
      net_exception = true;
    } catch (const Poco::Exception&) {
      failed = true;
    }
    BOOST_TEST(failed);
    BOOST_TEST(!net_exception);
  }
  BOOST_TEST(guard->BytesSent() == 0);
}

// A write times out half way; then the peer reads on. What is written later
// would be taken for the missing rest.
BOOST_AUTO_TEST_CASE(nothing_is_written_behind_a_gap) {
  constexpr std::size_t kLarge = 32U << 20U;
  const std::string body(kLarge, 'b');
  auto* guard = new GuardedSocketImpl;
  StreamSocket socket(guard);
  socket.connect(server.address());
  StreamSocket peer = Accept();
  guard->BeginSend(SteadyNow() + std::chrono::milliseconds(100));
  BOOST_CHECK_THROW(
      socket.sendBytes(body.data(), static_cast<int>(body.size())),
      Poco::Exception);
  std::string drained(kLarge, ' ');
  std::int64_t read = 0;
  while (read < guard->BytesSent()) {
    read += peer.receiveBytes(drained.data(), static_cast<int>(kLarge));
  }
  guard->BeginSend(SteadyNow() + seconds(5));
  BOOST_CHECK_THROW(socket.sendBytes("x", 1), Poco::Exception);
  BOOST_TEST(guard->BytesSent() == 0);
}

BOOST_AUTO_TEST_CASE(a_write_that_nobody_reads_ends_in_time) {
  constexpr std::size_t kLarge = 32U << 20U;
  const std::string body(kLarge, 'b');
  const auto connection = Open();
  StreamSocket peer = Accept();
  HttpRequest request = Request();
  request.body = body;
  const auto until = SteadyNow() + std::chrono::milliseconds(100);
  BOOST_TEST((connection->Send(request, until) == Error::kWorkerLost));
  BOOST_TEST(connection->Touched());
}

// The connection falls silent in the middle of an answer. No thread may wait on
// it for good.
BOOST_AUTO_TEST_CASE(an_answer_that_falls_silent_ends_in_time) {
  const auto connection = Open();
  StreamSocket peer = Accept();
  BOOST_REQUIRE(!connection->Send(Request(), SteadyNow() + seconds(5)));
  constexpr std::string_view kStart =
      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
  peer.sendBytes(kStart.data(), static_cast<int>(kStart.size()));
  const auto answer = connection->Receive(std::chrono::milliseconds(50),
                                          SteadyNow() + seconds(5));
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == Error::kAnswerIncomplete));
  BOOST_TEST(!connection->Reusable());
}

BOOST_AUTO_TEST_CASE(an_answer_past_its_moment_is_not_read) {
  const auto connection = Open();
  StreamSocket peer = Accept();
  BOOST_REQUIRE(!connection->Send(Request(), SteadyNow() + seconds(5)));
  constexpr std::string_view kStart =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  peer.sendBytes(kStart.data(), static_cast<int>(kStart.size()));
  BOOST_TEST(!connection->Receive(seconds(5), SteadyNow()).has_value());
  BOOST_TEST(!connection->Reusable());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::http
