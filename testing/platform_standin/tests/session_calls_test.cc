#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include "standin/standin_platform.h"

namespace mustardproxy::standin {
namespace {

using namespace std::chrono_literals;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kWrongMethod = 405;
constexpr int kTooMany = 429;
constexpr int kServerError = 500;
constexpr std::chrono::seconds kPatience(60);
constexpr std::string_view kLongSession =
    R"({"TTL": "600s", "Behavior": "delete"})";

struct HttpReply {
  int status = 0;
  std::string body;
  std::string index;
};

struct CallsFixture {
  /// @return the reply, or nothing if the connection ended without one
  std::optional<HttpReply> Send(const std::string& method,
                                const std::string& path,
                                std::string_view body = "") {
    const Poco::URI uri(this->platform.Url());
    Poco::Net::HTTPClientSession connection(uri.getHost(), uri.getPort());
    connection.setTimeout(Poco::Timespan(kPatience.count(), 0));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    try {
      connection.sendRequest(request) << body;
      Poco::Net::HTTPResponse response;
      std::istream& stream = connection.receiveResponse(response);
      HttpReply reply{response.getStatus(), "",
                      response.get("X-Consul-Index", "")};
      Poco::StreamCopier::copyToString(stream, reply.body);
      return reply;
    } catch (const Poco::Exception&) {
      return std::nullopt;
    }
  }
  std::string Create(std::string_view body = kLongSession) {
    const auto reply = this->Send("PUT", "/v1/session/create", body);
    BOOST_REQUIRE(reply.has_value());
    BOOST_REQUIRE_MESSAGE(reply->status == kOk, reply->body);
    Poco::JSON::Parser parser;
    return parser.parse(reply->body)
        .extract<Poco::JSON::Object::Ptr>()
        ->getValue<std::string>("ID");
  }
  /// @return the index of a key that the session now holds
  std::string Hold(const std::string& key, const std::string& session) {
    const auto put =
        this->Send("PUT", "/v1/kv/" + key + "?acquire=" + session, "held");
    BOOST_REQUIRE(put.has_value());
    BOOST_REQUIRE(put->body == "true");
    return this->Send("GET", "/v1/kv/" + key)->index;
  }
  /// @return what a call that waits for a change of the key gives
  std::future<std::optional<HttpReply>> Watch(const std::string& key,
                                              const std::string& index) {
    return std::async(std::launch::async, [this, key, index] {
      return this->Send("GET", "/v1/kv/" + key + "?wait=600s&index=" + index);
    });
  }
  void AwaitWatch() {
    const auto limit = std::chrono::steady_clock::now() + kPatience;
    while (this->platform.Counters()["watch"] == 0 &&
           std::chrono::steady_clock::now() < limit) {
      std::this_thread::yield();
    }
  }

  StandinPlatform platform;
};

BOOST_FIXTURE_TEST_SUITE(session_calls, CallsFixture)

BOOST_AUTO_TEST_CASE(session_holds_a_key_until_it_is_destroyed) {
  const std::string first = this->Create();
  const std::string second = this->Create();
  this->Hold("a", first);
  const auto shown = this->Send("GET", "/v1/kv/a");
  BOOST_TEST(shown->body.find(first) != std::string::npos);
  const auto refused = this->Send("PUT", "/v1/kv/a?acquire=" + second, "taken");
  BOOST_TEST(refused->status == kOk);
  BOOST_TEST(refused->body == "false");
  BOOST_TEST(this->Send("PUT", "/v1/session/renew/" + first)->status == kOk);
  BOOST_TEST(this->Send("PUT", "/v1/session/destroy/" + first)->body == "true");
  BOOST_TEST(this->Send("GET", "/v1/kv/a")->status == kNotFound);
  BOOST_TEST(this->Send("PUT", "/v1/session/renew/" + first)->status ==
             kNotFound);
  BOOST_TEST(this->Send("PUT", "/v1/kv/a?acquire=" + first)->status ==
             kServerError);
  this->Hold("a", second);
  BOOST_TEST(this->platform.Counters()["session"] == 5);
}

// Others learn that a holder is gone by a waiting call only. It has to return
// when the session ends, not at its own limit.
BOOST_AUTO_TEST_CASE(waiting_call_sees_the_end_of_a_session) {
  const std::string destroyed = this->Create();
  auto watch = this->Watch("a", this->Hold("a", destroyed));
  this->AwaitWatch();
  this->Send("PUT", "/v1/session/destroy/" + destroyed);
  BOOST_REQUIRE(watch.wait_for(kPatience) == std::future_status::ready);
  BOOST_TEST(watch.get()->status == kNotFound);
}

// As above, but the holder dies. Nobody calls the service at the moment of the
// lapse, so the waiting call itself has to wake up for it.
BOOST_AUTO_TEST_CASE(waiting_call_sees_the_lapse_of_a_session) {
  const std::string index = this->Hold("a", this->Create());
  const std::string lapsing =
      this->Create(R"({"TTL": "500ms", "Behavior": "delete"})");
  auto watch = this->Watch("b", this->Hold("b", lapsing));
  BOOST_REQUIRE(watch.wait_for(kPatience) == std::future_status::ready);
  BOOST_TEST(watch.get()->status == kNotFound);
  BOOST_TEST(this->Send("GET", "/v1/kv/a")->index == index);
}

BOOST_AUTO_TEST_CASE(bad_calls_are_refused) {
  const auto create = [this](std::string_view body) {
    return this->Send("PUT", "/v1/session/create", body)->status;
  };
  BOOST_TEST(create("") == kBadRequest);
  BOOST_TEST(create("[]") == kBadRequest);
  BOOST_TEST(create(R"({"TTL": "10s"})") == kBadRequest);
  BOOST_TEST(create(R"({"TTL": "10s", "Behavior": "release"})") == kBadRequest);
  BOOST_TEST(create(R"({"Behavior": "delete"})") == kBadRequest);
  BOOST_TEST(create(R"({"TTL": "0s", "Behavior": "delete"})") == kBadRequest);
  BOOST_TEST(create(R"({"TTL": "99999999999s", "Behavior": "delete"})") ==
             kBadRequest);
  BOOST_TEST(this->Send("GET", "/v1/session/create")->status == kWrongMethod);
  BOOST_TEST(this->Send("PUT", "/v1/session/nonsense")->status == kNotFound);
}

BOOST_AUTO_TEST_CASE(sessions_count_as_writes) {
  const std::string session = this->Create();
  const std::string path = "/v1/session/renew/" + session;
  this->platform.Switch({.writes_per_second = 0});
  BOOST_TEST(this->Send("PUT", path)->status == kTooMany);
  BOOST_TEST(this->Send("PUT", "/v1/session/create", kLongSession)->status ==
             kTooMany);
  BOOST_TEST(this->Send("PUT", "/v1/kv/a?acquire=" + session)->status ==
             kTooMany);
  this->platform.Switch({});
  BOOST_TEST(this->Send("PUT", path)->status == kOk);
}

// The service is away and comes back. A session that was not renewed meanwhile
// goes on towards its lapse, which is the harder case for its holder.
BOOST_AUTO_TEST_CASE(sessions_are_not_served_while_the_service_is_down) {
  const std::string session = this->Create();
  this->Hold("a", session);
  this->platform.Switch({.down = true});
  BOOST_TEST(!this->Send("PUT", "/v1/session/renew/" + session).has_value());
  BOOST_TEST(!this->Send("PUT", "/v1/session/destroy/" + session).has_value());
  this->platform.Switch({});
  BOOST_TEST(this->Send("GET", "/v1/kv/a")->status == kOk);
  BOOST_TEST(this->Send("PUT", "/v1/session/renew/" + session)->status == kOk);
}

// The service destroys a session and loses its answer. The holder does not
// know, but its keys are gone.
BOOST_AUTO_TEST_CASE(call_whose_reply_is_lost_took_effect) {
  const std::string session = this->Create();
  this->Hold("a", session);
  this->platform.Switch({.lose_replies = 1});
  BOOST_TEST(!this->Send("PUT", "/v1/session/destroy/" + session).has_value());
  BOOST_TEST(this->Send("GET", "/v1/kv/a")->status == kNotFound);
  BOOST_TEST(this->platform.Counters()["lost"] == 1);
}

BOOST_AUTO_TEST_CASE(slow_service_delays_sessions) {
  const std::string session = this->Create();
  constexpr std::chrono::milliseconds kDelay(50);
  this->platform.Switch({.delay_ms = kDelay.count()});
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(this->Send("PUT", "/v1/session/renew/" + session)->status == kOk);
  BOOST_TEST((std::chrono::steady_clock::now() - start >= kDelay));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::standin
