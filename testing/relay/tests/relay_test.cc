#include "standin/relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace {

using mustardproxy::standin::Relay;
using mustardproxy::standin::RelayFaults;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr int kLimitSeconds = 10;
constexpr std::chrono::milliseconds kShort{50};

std::string Receive(StreamSocket* socket) {
  std::array<char, 64> buffer{};
  const int count = socket->receiveBytes(buffer.data(), buffer.size());
  return {buffer.data(), static_cast<std::size_t>(count)};
}

void Send(StreamSocket* socket, const std::string& text) {
  socket->sendBytes(text.data(), static_cast<int>(text.size()));
}

struct Fixture {
  StreamSocket Connect() {
    StreamSocket socket{SocketAddress(relay.Address())};
    socket.setReceiveTimeout(Poco::Timespan(kLimitSeconds, 0));
    return socket;
  }
  StreamSocket Accept() {
    BOOST_REQUIRE(target.poll(Poco::Timespan(kLimitSeconds, 0),
                              Poco::Net::Socket::SELECT_READ));
    StreamSocket socket = target.acceptConnection();
    socket.setReceiveTimeout(Poco::Timespan(kLimitSeconds, 0));
    return socket;
  }

  ServerSocket target{SocketAddress("127.0.0.1", 0)};
  Relay relay{0, target.address().toString()};
};

bool Arrives(StreamSocket* socket, std::chrono::microseconds within) {
  return socket->poll(Poco::Timespan(within.count()),
                      Poco::Net::Socket::SELECT_READ);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relay_faults, Fixture)

BOOST_AUTO_TEST_CASE(bytes_and_the_end_pass_both_ways) {
  StreamSocket client = Connect();
  StreamSocket server = Accept();
  Send(&client, "ping");
  BOOST_TEST(Receive(&server) == "ping");
  Send(&server, "pong");
  BOOST_TEST(Receive(&client) == "pong");
  client.shutdownSend();
  BOOST_TEST(Receive(&server).empty());
}

BOOST_AUTO_TEST_CASE(a_cut_resets_and_refuses_until_it_is_mended) {
  StreamSocket client = Connect();
  StreamSocket server = Accept();
  RelayFaults faults;
  faults.cut = true;
  relay.Set(faults);
  BOOST_CHECK_THROW(Receive(&client), Poco::Exception);
  BOOST_CHECK_THROW(Connect(), Poco::Exception);
  relay.Set({});
  StreamSocket again = Connect();
  Accept();
}

BOOST_AUTO_TEST_CASE(only_connections_open_at_the_time_go_silent) {
  StreamSocket old_client = Connect();
  StreamSocket old_server = Accept();
  Send(&old_client, "x");
  BOOST_TEST(Receive(&old_server) == "x");
  relay.SilenceOpen();
  Send(&old_client, "lost");
  StreamSocket client = Connect();
  StreamSocket server = Accept();
  Send(&client, "heard");
  BOOST_TEST(Receive(&server) == "heard");
  BOOST_TEST(!Arrives(&old_server, kShort));
  old_client.close();
  BOOST_TEST(!Arrives(&old_server, kShort));
}

BOOST_AUTO_TEST_CASE(a_frozen_relay_goes_on_where_it_was) {
  StreamSocket client = Connect();
  StreamSocket server = Accept();
  RelayFaults faults;
  faults.freeze = true;
  relay.Set(faults);
  Send(&client, "later");
  BOOST_TEST(!Arrives(&server, kShort));
  relay.Set({});
  BOOST_TEST(Receive(&server) == "later");
}

BOOST_AUTO_TEST_CASE(a_delay_is_added_to_the_way) {
  StreamSocket client = Connect();
  StreamSocket server = Accept();
  RelayFaults faults;
  faults.delay = std::chrono::milliseconds(100);
  relay.Set(faults);
  const auto sent = std::chrono::steady_clock::now();
  Send(&client, "slow");
  BOOST_TEST(Receive(&server) == "slow");
  BOOST_TEST((std::chrono::steady_clock::now() - sent >= faults.delay));
}

BOOST_AUTO_TEST_CASE(unknown_switches_are_refused) {
  BOOST_TEST(relay.Switch(R"({"freeze": true, "delay_ms": 5})").empty());
  BOOST_TEST(relay.Faults().freeze);
  BOOST_TEST(!relay.Switch(R"({"nope": true})").empty());
  BOOST_TEST(!relay.Switch(R"({"cut": 1})").empty());
}

BOOST_AUTO_TEST_SUITE_END()
