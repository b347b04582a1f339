#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <iterator>

#include "gateway_fixture.h"

namespace mustardproxy::testing {
namespace {

struct BoundsFixture : GatewayFixture {
  BoundsFixture() {
    this->AnswerWith([](const Request& request) {
      return Completed("ran " + std::string(View(request.body)));
    });
  }
  /// Sends raw bytes and reads all that comes back.
  std::string Exchange(std::string_view bytes, bool close_sending = false) {
    RawCaller caller(this->ports.callers);
    caller.Send(bytes);
    if (close_sending) caller.CloseSending();
    return caller.ReadAll();
  }
  bool NothingRan() { return this->core.Count<RequestArrived>() == 0; }
};

bool Says(const std::string& all, std::string_view text) {
  return all.find(text) != std::string::npos;
}

BOOST_FIXTURE_TEST_SUITE(bounds, BoundsFixture)

BOOST_AUTO_TEST_CASE(bad_headers_are_refused_with_their_name) {
  this->Start();
  struct Case {
    std::string name;
    std::string value;
  };
  for (const Case& bad :
       {Case{"Idempotency-Key", std::string(129, 'k')},
        Case{"Idempotency-Key", "a b"}, Case{"Idempotency-Key", "a/../b"},
        Case{"Mustardproxy-Team", std::string(65, 't')},
        Case{"Mustardproxy-Team", "a\"b"}, Case{"Mustardproxy-Timeout-Ms", "0"},
        Case{"Mustardproxy-Timeout-Ms", "-5"},
        Case{"Mustardproxy-Timeout-Ms", "1e3"},
        Case{"Mustardproxy-Timeout-Ms", "99999999999"}}) {
    ReceivedAnswer answer =
        this->Send("POST", "/v1/services/a", "x", {{bad.name, bad.value}});
    BOOST_TEST(answer.status == 400);
    BOOST_TEST(answer.Says(R"("code":103)"));
    BOOST_TEST(answer.Says(bad.name));
    BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "not-run");
  }
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(repeated_key_header_is_refused) {
  // Two keys on one request: which one counts would depend on who reads it,
  // and the repeat of the request could be taken for a new one.
  this->Start();
  std::string all = this->Exchange(
      "POST /v1/services/a HTTP/1.1\r\nIdempotency-Key: one\r\n"
      "Idempotency-Key: two\r\nConnection: close\r\n\r\n");
  BOOST_TEST(Says(all, "400"));
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(folded_header_adds_no_second_line) {
  this->Start();
  std::string all = this->Exchange(
      "POST /v1/services/a HTTP/1.1\r\nMustardproxy-Team: one\r\n two\r\n"
      "Connection: close\r\n\r\n");
  BOOST_TEST(Says(all, "400"));
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(large_header_is_refused) {
  this->Start({.max_header_bytes = 4000});
  std::string field = "X-Filler: " + std::string(3000, 'f') + "\r\n";
  std::string all = this->Exchange("POST /v1/services/a HTTP/1.1\r\n" + field +
                                   field + field + "Content-Length: 0\r\n\r\n");
  BOOST_TEST(Says(all, "HTTP/1.1 431"));
  BOOST_TEST(Says(all, "application/problem+json"));
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(header_just_over_the_limit_is_refused) {
  this->Start({.max_header_bytes = 1000});
  std::string head = "POST /v1/services/a HTTP/1.1\r\nConnection: close\r\n";
  std::string over = head + "X-Filler: " + std::string(1000, 'f') + "\r\n\r\n";
  BOOST_TEST(Says(this->Exchange(over), "HTTP/1.1 431"));
  std::string under = head + "X-Filler: " + std::string(800, 'f') + "\r\n\r\n";
  BOOST_TEST(Says(this->Exchange(under), "HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(body_limit_is_exact) {
  this->Start({.max_body_bytes = 1000});
  std::string path = "/v1/services/a";
  BOOST_TEST(this->Send("POST", path, std::string(1000, 'b')).status == 200);
  ReceivedAnswer answer = this->Send("POST", path, std::string(1001, 'b'));
  BOOST_TEST(answer.status == 413);
  BOOST_TEST(answer.Says(R"("code":104)"));
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "not-run");
  BOOST_TEST(this->core.Count<RequestArrived>() == 1U);
}

BOOST_AUTO_TEST_CASE(megabyte_comes_back_whole) {
  this->Start();
  std::string body(1'048'576, 'm');
  body[777'777] = 'x';
  BOOST_TEST(this->Send("POST", "/v1/services/a", body).body == "ran " + body);
}

BOOST_AUTO_TEST_CASE(chunked_body_is_joined) {
  this->Start();
  std::string all = this->Exchange(
      "POST /v1/services/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n"
      "3\r\nabc\r\n4;note=1\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n");
  BOOST_TEST(Says(all, "ran abcdefg"));
}

BOOST_AUTO_TEST_CASE(chunked_body_over_the_limit_is_refused) {
  this->Start({.max_body_bytes = 1000});
  std::string chunk = "190\r\n" + std::string(400, 'c') + "\r\n";
  std::string all = this->Exchange(
      "POST /v1/services/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
      chunk + chunk + chunk + "0\r\n\r\n");
  BOOST_TEST(Says(all, "HTTP/1.1 413"));
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(cut_chunked_body_does_not_run) {
  // A caller's connection breaks in the middle of a chunked upload. A reader
  // that takes the end of the connection for the end of the body would confirm
  // a booking from half of its data.
  this->Start();
  std::string start =
      "POST /v1/services/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  this->Exchange(start + "8\r\nhalf", true);
  this->Exchange(start + "4\r\nhalf\r\n", true);
  std::string bad = this->Exchange(start + "4\r\nhalf\r\nzz\r\n\r\n");
  BOOST_TEST(Says(bad, "HTTP/1.1 400"));
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(cut_header_or_body_does_not_run) {
  // The connection breaks inside the header or the body. Half of a key would
  // be another key, and half of a body another request.
  this->Start();
  this->Exchange("POST /v1/services/a HTTP/1.1\r\nIdempotency-Key: abc", true);
  this->Exchange("POST /v1/services/a HTTP/1.1\r\nIdempotency-Key: a\r\n",
                 true);
  this->Exchange("POST /v1/services/a HTTP/1.1\r\nContent-Length: 9\r\n\r\nha",
                 true);
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(two_lengths_are_refused) {
  // A balancer that believes one length and a process that believes the other
  // see different requests on one connection.
  this->Start();
  for (const std::string& second :
       {std::string("Content-Length: 3\r\n"),
        std::string("Transfer-Encoding: chunked\r\n"),
        std::string("Transfer-Encoding: gzip, chunked\r\n")}) {
    std::string all =
        this->Exchange("POST /v1/services/a HTTP/1.1\r\nContent-Length: 3\r\n" +
                       second + "\r\nabc");
    BOOST_TEST(Says(all, "HTTP/1.1 400"));
  }
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(expecting_caller_is_told_to_continue) {
  this->Start();
  RawCaller caller(this->ports.callers);
  caller.Send(
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: 2\r\n"
      "Expect: 100-continue\r\n\r\n");
  BOOST_TEST(caller.ReadUntil("100 Continue"));
  caller.Send("hi");
  BOOST_TEST(caller.ReadUntil("ran hi"));
}

BOOST_AUTO_TEST_CASE(slow_caller_is_timed_out) {
  // A caller sends a header or a body that never ends and keeps its connection
  // open. Without a deadline over all of it, it would hold a thread for good.
  this->Start({.header_time = std::chrono::milliseconds(200),
               .body_time = std::chrono::milliseconds(200)});
  std::string all = this->Exchange("POST /v1/services/a HTTP/1.1\r\nX: ");
  BOOST_TEST(Says(all, "HTTP/1.1 408"));
  all = this->Exchange(
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  BOOST_TEST(Says(all, "HTTP/1.1 408"));
  BOOST_TEST(this->Exchange("").empty());
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_CASE(connection_over_the_limit_is_refused) {
  this->Start({.max_connections = 2});
  this->core.Behave(nullptr);
  RawCaller first(this->ports.callers);
  RawCaller second(this->ports.callers);
  first.Send("POST /v1/services/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  second.Send("POST /v1/services/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(this->core.WaitFor<RequestArrived>(2).size() == 2U);
  ReceivedAnswer refused = this->Send("POST", "/v1/services/a", "x");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Header("Retry-After") == "1");
  BOOST_TEST(refused.Header("Mustardproxy-Outcome") == "not-run");
  BOOST_TEST(refused.Says(R"("code":207)"));
  BOOST_TEST(this->core.Count<RequestArrived>() == 2U);
  // A place that becomes free is used again.
  first.Close();
  BOOST_REQUIRE(this->core.WaitFor<CancelRequested>(1).size() == 1U);
  this->AnswerWith([](const Request&) { return Completed("x"); });
  int status = 0;
  auto limit = std::chrono::steady_clock::now() + kGenerousLimit;
  while (status != 200 && std::chrono::steady_clock::now() < limit) {
    status = this->Send("POST", "/v1/services/a", "x").status;
  }
  BOOST_TEST(status == 200);
}

std::ptrdiff_t ThreadCount() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/task"),
                       std::filesystem::directory_iterator());
}

BOOST_AUTO_TEST_CASE(threads_of_a_burst_go_away) {
  // A burst of callers comes and goes, and then it is quiet. The threads it
  // took would keep their memory until the next caller, which may be long.
  constexpr std::ptrdiff_t kBurst = 40;
  this->Start();
  std::ptrdiff_t before = ThreadCount();
  {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::ptrdiff_t i = 0; i < kBurst; ++i) {
      callers.push_back(std::make_unique<RawCaller>(this->ports.callers));
      callers.back()->Send(
          "POST /v1/services/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
      BOOST_REQUIRE(callers.back()->ReadUntil("ran"));
    }
    BOOST_TEST(ThreadCount() >= before + kBurst - 1);
  }
  auto limit = std::chrono::steady_clock::now() + 2 * kGenerousLimit;
  while (ThreadCount() > before + 2 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(ThreadCount() <= before + 2);
}

BOOST_AUTO_TEST_CASE(broken_request_lines_are_refused) {
  this->Start();
  std::string all = this->Exchange("NONSENSE\r\n\r\n");
  BOOST_TEST(Says(all, "HTTP/1.1 4"));
  all = this->Exchange(std::string(20'000, 'G') + " / HTTP/1.1\r\n\r\n");
  BOOST_TEST(Says(all, "HTTP/1.1 4"));
  BOOST_TEST(this->NothingRan());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
