#include "mustardproxy/http/async_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mustardproxy::http {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const Poco::Timespan kLimit(20, 0);
constexpr int kBufferBytes = 4096;

/// The end of one call.
class Outcome {
 public:
  AsyncClient::Done Setter() {
    return [this](ExchangeResult result) {
      const std::lock_guard lock(this->mutex);
      this->result = std::move(result);
      this->changed.notify_one();
    };
  }
  ExchangeResult Await() {
    std::unique_lock lock(this->mutex);
    const bool came =
        this->changed.wait_for(lock, std::chrono::seconds(20),
                               [this] { return this->result.has_value(); });
    BOOST_REQUIRE(came);
    return *this->result;
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<ExchangeResult> result;
};

struct Fixture {
  Exchange MakeCall(Duration timeout) {
    Exchange exchange;
    exchange.address = this->server.address().toString();
    exchange.method = "POST";
    exchange.target = "/order";
    exchange.body = "text";
    exchange.timeout = timeout;
    return exchange;
  }
  StreamSocket Accept() {
    BOOST_REQUIRE(this->server.poll(kLimit, Poco::Net::Socket::SELECT_READ));
    StreamSocket socket = this->server.acceptConnection();
    socket.setReceiveTimeout(kLimit);
    return socket;
  }
  static void ReadRequest(StreamSocket* socket) {
    std::string text;
    std::array<char, kBufferBytes> buffer{};
    while (!text.ends_with("text")) {
      const int count =
          socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      BOOST_REQUIRE(count > 0);
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  static void Reply(StreamSocket* socket, const std::string& body) {
    const std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    socket->sendBytes(text.data(), static_cast<int>(text.size()));
  }

  /// Stops the client's thread, as if the process were frozen, until `thaw` is
  /// set.
  void Freeze() {
    Exchange exchange = this->MakeCall(std::chrono::seconds(20));
    exchange.address = this->other.address().toString();
    auto frozen = std::make_shared<std::promise<void>>();
    this->client.Call(std::move(exchange),
                      [frozen, thawed = this->thaw.get_future().share()](
                          const ExchangeResult& /*result*/) {
                        frozen->set_value();
                        thawed.wait();
                      });
    BOOST_REQUIRE(this->other.poll(kLimit, Poco::Net::Socket::SELECT_READ));
    StreamSocket socket = this->other.acceptConnection();
    socket.setReceiveTimeout(kLimit);
    ReadRequest(&socket);
    Reply(&socket, "x");
    frozen->get_future().wait();
  }

  ServerSocket server{SocketAddress("127.0.0.1", 0)};
  ServerSocket other{SocketAddress("127.0.0.1", 0)};
  AsyncClient client;
  /// Ends before the client, which waits for its thread.
  std::promise<void> thaw;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(async_client, Fixture)

BOOST_AUTO_TEST_CASE(a_connection_is_reused_once_its_reply_has_come) {
  Outcome first;
  client.Call(MakeCall(std::chrono::seconds(20)), first.Setter());
  StreamSocket socket = Accept();
  ReadRequest(&socket);
  Reply(&socket, "one");
  BOOST_TEST(first.Await().body == "one");
  Outcome second;
  client.Call(MakeCall(std::chrono::seconds(20)), second.Setter());
  ReadRequest(&socket);
  Reply(&socket, "two");
  const ExchangeResult result = second.Await();
  BOOST_TEST((result.end == ExchangeEnd::kReplied));
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.body == "two");
}

BOOST_AUTO_TEST_CASE(many_calls_wait_at_the_same_time) {
  constexpr std::size_t kCalls = 20;
  std::array<Outcome, kCalls> outcomes;
  std::vector<StreamSocket> sockets;
  for (Outcome& outcome : outcomes) {
    client.Call(MakeCall(std::chrono::seconds(20)), outcome.Setter());
    sockets.push_back(Accept());
  }
  for (StreamSocket& socket : sockets) {
    ReadRequest(&socket);
    Reply(&socket, "x");
  }
  for (Outcome& outcome : outcomes) BOOST_TEST(outcome.Await().status == 200);
}

BOOST_AUTO_TEST_CASE(a_port_that_nobody_listens_on_has_seen_nothing) {
  Exchange exchange = MakeCall(std::chrono::seconds(20));
  exchange.address = "127.0.0.1:1";
  Outcome outcome;
  client.Call(std::move(exchange), outcome.Setter());
  BOOST_TEST((outcome.Await().end == ExchangeEnd::kNotSent));
}

BOOST_AUTO_TEST_CASE(a_call_that_was_read_and_cut_is_uncertain) {
  Outcome outcome;
  client.Call(MakeCall(std::chrono::seconds(20)), outcome.Setter());
  StreamSocket socket = Accept();
  ReadRequest(&socket);
  socket.close();
  BOOST_TEST((outcome.Await().end == ExchangeEnd::kUncertain));
}

// A connection falls silent for good while new ones work. The call on it ends
// at its timeout, and the next one is made on a new connection.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_not_used_again) {
  Outcome first;
  client.Call(MakeCall(std::chrono::seconds(20)), first.Setter());
  StreamSocket silent = Accept();
  ReadRequest(&silent);
  Reply(&silent, "one");
  first.Await();
  Outcome second;
  client.Call(MakeCall(std::chrono::milliseconds(200)), second.Setter());
  BOOST_TEST((second.Await().end == ExchangeEnd::kUncertain));
  Outcome third;
  client.Call(MakeCall(std::chrono::seconds(20)), third.Setter());
  StreamSocket fresh = Accept();
  ReadRequest(&fresh);
  Reply(&fresh, "three");
  BOOST_TEST(third.Await().body == "three");
}

// Guards against a server that is at its limit and resets a new connection, and
// a client that closes its good ones for that and can open none again.
BOOST_AUTO_TEST_CASE(a_new_connection_that_is_reset_leaves_the_others_open) {
  const auto call = [this] {
    Exchange exchange = MakeCall(std::chrono::seconds(20));
    exchange.lane = Lane::kUsual;
    return exchange;
  };
  Outcome first;
  client.Call(call(), first.Setter());
  StreamSocket kept = Accept();
  ReadRequest(&kept);
  Outcome second;
  client.Call(call(), second.Setter());
  StreamSocket rejected = Accept();
  ReadRequest(&rejected);
  rejected.setLinger(true, 0);
  rejected.close();
  BOOST_TEST((second.Await().end == ExchangeEnd::kUncertain));
  Reply(&kept, "one");
  BOOST_TEST(first.Await().body == "one");
  Outcome third;
  client.Call(call(), third.Setter());
  ReadRequest(&kept);
  Reply(&kept, "three");
  BOOST_TEST(third.Await().body == "three");
  BOOST_TEST(client.Counts().reset == 1);
  BOOST_TEST(client.Counts().opened == 2);
}

BOOST_AUTO_TEST_CASE(a_smaller_share_closes_idle_connections) {
  constexpr std::size_t kCalls = 3;
  std::array<Outcome, kCalls> outcomes;
  std::vector<StreamSocket> sockets;
  for (Outcome& outcome : outcomes) {
    Exchange exchange = MakeCall(std::chrono::seconds(20));
    exchange.lane = Lane::kReserved;
    client.Call(std::move(exchange), outcome.Setter());
    sockets.push_back(Accept());
  }
  for (StreamSocket& socket : sockets) {
    ReadRequest(&socket);
    Reply(&socket, "x");
  }
  for (Outcome& outcome : outcomes) BOOST_TEST(outcome.Await().status == 200);
  BOOST_TEST(client.Counts().idle == kCalls);
  client.SetShare(2);
  BOOST_TEST(client.Counts().idle == 2U);
}

BOOST_AUTO_TEST_CASE(released_connections_are_closed_once_their_calls_end) {
  Outcome first;
  Exchange exchange = MakeCall(std::chrono::seconds(20));
  exchange.lane = Lane::kUsual;
  client.Call(std::move(exchange), first.Setter());
  StreamSocket socket = Accept();
  ReadRequest(&socket);
  client.Release();
  Reply(&socket, "one");
  BOOST_TEST(first.Await().body == "one");
  std::array<char, 1> byte{};
  BOOST_TEST(socket.receiveBytes(byte.data(), 1) == 0);
  BOOST_TEST(client.Counts().idle == 0U);
}

// Guards against a process that is frozen while a connection opens, and sends
// the request once it runs again, after its time is up.
BOOST_AUTO_TEST_CASE(a_call_that_is_due_once_its_connection_opens_is_not_sent) {
  Freeze();
  Outcome outcome;
  client.Call(MakeCall(std::chrono::milliseconds(50)), outcome.Setter());
  StreamSocket socket = Accept();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  thaw.set_value();
  BOOST_TEST((outcome.Await().end == ExchangeEnd::kNotSent));
  std::array<char, 1> byte{};
  BOOST_TEST(socket.receiveBytes(byte.data(), 1) == 0);
}

// Guards against a process that is frozen while calls wait for a connection,
// and sends them once it runs again, after their wait is over.
BOOST_AUTO_TEST_CASE(a_call_that_waited_too_long_while_frozen_is_not_sent) {
  constexpr std::size_t kCalls = 4;
  client.SetShare(2);
  Freeze();
  std::array<Outcome, kCalls> outcomes;
  for (Outcome& outcome : outcomes) {
    Exchange exchange = MakeCall(std::chrono::seconds(20));
    exchange.lane = Lane::kUsual;
    client.Call(std::move(exchange), outcome.Setter());
  }
  const auto waited = static_cast<std::size_t>(client.Counts().waited);
  BOOST_REQUIRE(waited > 0U);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  thaw.set_value();
  for (std::size_t i = kCalls - waited; i < kCalls; ++i) {
    BOOST_TEST((outcomes.at(i).Await().end == ExchangeEnd::kNotAdmitted));
  }
  BOOST_TEST(static_cast<std::size_t>(client.Counts().not_sent) == waited);
  for (std::size_t i = 0; i < kCalls - waited; ++i) {
    StreamSocket socket = Accept();
    ReadRequest(&socket);
    Reply(&socket, "x");
    BOOST_TEST(outcomes.at(i).Await().status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::http
