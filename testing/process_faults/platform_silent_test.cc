#include <boost/test/unit_test.hpp>
#include <vector>

#include "deferred_fixture.h"
#include "operator.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

const char* const kRelay = "relay:*>platform";

CellLayout RelayedPlatform() {
  CellLayout layout = TwoEntries(2, 4);
  layout.relays = {{.from = "", .to = "platform"}};
  return layout;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_silent)

// Story: reviews are being journalled when something before the platform loses
// track of all open connections: the appends took effect, their replies vanish,
// and no end is seen. New connections work. Work that was acknowledged must
// finish once, what was called not run must never run, and the callers must not
// wait for ever.
BOOST_AUTO_TEST_CASE(silent_connections_neither_lose_nor_double_work) {
  Cell cell(RelayedPlatform());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  for (const std::string& entry : cell.Entries()) {
    (void)Accept(cell, entry, "review", milliseconds(1));
  }
  std::int64_t writes = PlatformCalls(cell, "put");
  // Replies are still on their way when the silence begins.
  BOOST_REQUIRE(cell.Switch(kRelay, R"({"delay_ms": 300})"));
  std::vector<PendingCall> calls;
  constexpr int kCalls = 8;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.emplace_back(cell, cell.Entries()[static_cast<std::size_t>(i % 2)],
                       Call{.service = i % 4 < 2 ? "review" : "detainee",
                            .body = FreshBody(milliseconds(20))});
  }
  BOOST_REQUIRE(WaitUntil([&] { return PlatformCalls(cell, "put") > writes; }));
  BOOST_REQUIRE(
      cell.Switch(kRelay, R"({"silence_open": true, "delay_ms": 0})"));
  std::int64_t silent_at = NowMs();
  for (PendingCall& call : calls) {
    BOOST_TEST((call.Reply() && call.Reply()->status == kAccepted),
               OutcomeOf(call.Reply()));
  }
  BOOST_TEST_MESSAGE("answered after " << NowMs() - silent_at << " ms");
  for (PendingCall& call : calls) {
    if (!call.Reply()) continue;
    std::string id = AcceptedId(*call.Reply());
    for (const std::string& entry : cell.Entries()) {
      BOOST_TEST(AwaitState(cell, entry, id, "finished"),
                 entry << " tells " << StateOf(cell, entry, id));
      BOOST_TEST(ResultAt(cell, entry, id) == call.Sent().body);
    }
  }
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) {
    BOOST_TEST(logs.Starts(call.Sent().body) == 1);
  }
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

// Story: the waiting call on the configuration has just begun when its
// connection goes silent. An operator applies a change. Nothing tells the
// watching process, which still waits. The change must be in force within the
// operator's nine seconds, and the next one at once through a new watch.
BOOST_AUTO_TEST_CASE(a_silent_watch_holds_no_change_up) {
  Cell cell(RelayedPlatform());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  // After a change the watch begins again: the longest wait lies ahead.
  std::int64_t watches = PlatformCalls(cell, "watch");
  Operator first(cell, "first", 1001, {});
  int begun_again = first.Exit();
  BOOST_REQUIRE_MESSAGE(begun_again == 0, first.Output());
  BOOST_REQUIRE(
      WaitUntil([&] { return PlatformCalls(cell, "watch") > watches; }));
  watches = PlatformCalls(cell, "watch");
  BOOST_REQUIRE(cell.Switch(kRelay, R"({"silence_open": true})"));
  std::int64_t begun = NowMs();
  Operator second(cell, "second", 1002, {});
  int in_force = second.Exit();
  BOOST_TEST(in_force == 0, second.Output());
  BOOST_TEST_MESSAGE("in force after " << NowMs() - begun << " ms");
  BOOST_TEST(PlatformCalls(cell, "watch") > watches);
  begun = NowMs();
  Operator third(cell, "third", 1003, {});
  int next_in_force = third.Exit();
  BOOST_TEST(next_in_force == 0, third.Output());
  BOOST_TEST_MESSAGE("the next one after " << NowMs() - begun << " ms");
  for (const std::string& entry : cell.Entries()) {
    BOOST_TEST(VersionAt(cell, entry) == 4);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
