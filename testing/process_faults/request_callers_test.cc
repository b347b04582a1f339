#include <Poco/Exception.h>

#include <boost/test/unit_test.hpp>

#include "raw_caller.h"
#include "request_cell.h"

namespace mustardproxy::process_faults {
namespace {

using Poco::Net::StreamSocket;
using std::chrono::milliseconds;

bool Serves(const Cell& cell, const std::string& entry) {
  Call call{.service = "screen", .body = FreshBody(milliseconds(5))};
  return IsOwnAnswer(Send(cell, entry, call), call);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_callers)

// Story: a worker is to be taken away; the host list says so. Requests go on.
// Two seconds later at most it must get no new work, though it is healthy and
// the one that packing prefers.
BOOST_AUTO_TEST_CASE(a_leaving_worker_gets_no_start_after_two_seconds) {
  Cell& cell = SharedCell();
  std::string owner = MainOwner(cell);
  WorkerLogs first = ReadLogs(cell);
  for (int i = 0; i < 10; ++i) BOOST_REQUIRE(Serves(cell, owner));
  WorkerLogs second = ReadLogs(cell);
  std::string leaving;
  std::int64_t most = 0;
  for (const std::string& worker : cell.Workers()) {
    std::int64_t starts = second.StartsOn(worker) - first.StartsOn(worker);
    if (starts <= most) continue;
    most = starts;
    leaving = worker;
  }
  BOOST_REQUIRE(cell.SetHosts({leaving}));
  constexpr std::int64_t kGrace = 2000;
  std::int64_t limit = NowMs() + kGrace;
  int served_later = 0;
  BOOST_TEST(WaitUntil([&] {
    bool served = Serves(cell, owner);
    if (served && NowMs() > limit) ++served_later;
    return served_later >= 50;
  }));
  std::int64_t late = 0;
  WorkerLogs last = ReadLogs(cell);
  for (const LogLine& line : last.Lines()) {
    bool start = line.event == "start" && line.worker == leaving;
    if (start && line.at_ms > limit) ++late;
  }
  BOOST_TEST(late == 0);
  BOOST_TEST(cell.SetHosts({}));
}

// Story: some hundred callers ask for long work and hang up at once, as after a
// fault on their side. Their work must not hold the workers for the twenty
// seconds it would run; urgent callers are served while the wave goes through.
BOOST_AUTO_TEST_CASE(a_wave_of_hang_ups_frees_the_workers) {
  Cell& cell = SharedCell();
  std::string owner = MainOwner(cell);
  BOOST_REQUIRE(Serves(cell, owner));
  constexpr int kCallers = 300;
  constexpr std::int64_t kLongMs = 40'000;
  std::string body = FreshBody(milliseconds(kLongMs));
  {
    std::vector<StreamSocket> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(Connect(cell, owner));
      SendText(&callers.back(), Post(body));
    }
    BOOST_REQUIRE(WaitUntil([&] { return ReadLogs(cell).Starts(body) > 8; }));
  }
  std::int64_t hung_up = NowMs();
  for (const std::string& entry : cell.Entries()) {
    BOOST_TEST(WaitUntil([&] { return Serves(cell, entry); },
                         std::chrono::seconds(30)));
    BOOST_TEST(
        WaitUntil([&] { return StatusNumber(cell, entry, "requests") == 0; },
                  std::chrono::seconds(30)));
  }
  // Before the first of the long tasks could have ended by itself.
  BOOST_TEST(NowMs() - hung_up < kLongMs);
  BOOST_TEST(ReadLogs(cell).Count("overcommit-refused") == 0);
}

// Story: callers hang up in the same moment in which they have sent their
// request. The entry process has forwarded it by then, and its cancellation can
// reach the peer before the request does. The peer ran such screens to their
// own end, for callers that had long gone.
BOOST_AUTO_TEST_CASE(callers_that_hang_up_at_once_leave_nothing_behind) {
  Cell& cell = SharedCell();
  constexpr int kRounds = 60;
  constexpr int kCallers = 10;
  constexpr std::int64_t kLongMs = 40'000;
  std::string body = FreshBody(milliseconds(kLongMs));
  std::int64_t sent = NowMs();
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& entry : cell.Entries()) {
      std::vector<StreamSocket> callers;
      for (int i = 0; i < kCallers; ++i) {
        callers.push_back(Connect(cell, entry));
        SendText(&callers.back(), Post(body));
      }
    }
  }
  for (const std::string& entry : cell.Entries()) {
    BOOST_TEST(
        WaitUntil([&] { return StatusNumber(cell, entry, "requests") == 0; },
                  std::chrono::seconds(25)));
  }
  // Before the first of the long tasks could have ended by itself.
  BOOST_TEST(NowMs() - sent < kLongMs);
}

// Story: a hostile caller sends endless headers, a body beyond the limit, and
// opens more connections than the process takes. Each is refused, the process
// lives, and other callers are served once the connections are gone.
BOOST_AUTO_TEST_CASE(a_hostile_caller_is_refused_and_the_process_lives) {
  Cell& cell = SharedCell();
  std::string entry = MainOwner(cell);
  std::int64_t starts = ReadLogs(cell).Count("start");
  Call large{.service = "screen", .body = std::string(2 << 20, 'x')};
  auto reply = Send(cell, entry, large);
  BOOST_TEST((!reply || reply->status == 413));
  cell::HttpRequest request{.method = "POST",
                            .path = "/v1/services/screen",
                            .body = "x",
                            .headers = {{"Filler", std::string(200'000, 'y')}}};
  auto filled = cell::SendOnce(cell.Url(entry), request);
  BOOST_TEST((!filled || (filled->status >= 400 && filled->status < 500)));
  BOOST_TEST(ReadLogs(cell).Count("start") == starts);
  {
    std::vector<StreamSocket> crowd;
    for (int i = 0; i < 900; ++i) {
      try {
        crowd.push_back(Connect(cell, entry));
        SendText(&crowd.back(), "POST /v1/services/screen HTTP/1.1\r\nHost:");
      } catch (const Poco::Exception&) {
        // A refusal of the connection is as good as one by an answer.
      }
    }
    auto health = cell::SendOnce(
        cell.OperatorUrl(entry),
        {.method = "GET", .path = "/healthz", .body = "", .headers = {}});
    BOOST_TEST((health && health->status == kOk));
    BOOST_TEST(Serves(cell, PeerOf(entry)));
  }
  BOOST_TEST(WaitUntil([&] { return Serves(cell, entry); }));
  BOOST_TEST(cell.Running(entry));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
