#include <boost/test/unit_test.hpp>

#include "deferred_fixture.h"
#include "request_cell.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

constexpr int kCallsOfEach = 6;
constexpr milliseconds kShortTimeout(500);

/// Two entry processes with relays between them. One rack, so that one of them
/// owns all workers and the other forwards all that it is sent.
CellLayout OneOwner() {
  CellLayout layout = TwoEntries(4, 8);
  layout.relays = {{.from = "entry-1-1", .to = "entry-1-2"},
                   {.from = "entry-1-2", .to = "entry-1-1"}};
  return layout;
}

void SilenceRelays(Cell* cell) {
  for (const std::string& relay : cell->Relays()) {
    BOOST_REQUIRE(cell->Switch(relay, R"({"silence_open": true})"));
  }
}

/// @return the ids under which requests with this body were started
std::vector<std::string> RequestsOf(const WorkerLogs& logs,
                                    const std::string& body) {
  std::vector<std::string> requests;
  for (const LogLine& line : logs.StartLines(body)) {
    requests.push_back(line.request);
  }
  return requests;
}

/// A screen may run again, but never in two places at once.
void JudgeRepeatable(const WorkerLogs& logs, PendingCall* call) {
  for (const std::string& request : RequestsOf(logs, call->Sent().body)) {
    BOOST_TEST(!Overlaps(logs, request));
  }
  std::string outcome = OutcomeOf(call->Reply());
  if (outcome == "completed") {
    BOOST_TEST(IsOwnAnswer(call->Reply(), call->Sent()));
    BOOST_TEST(logs.Starts(call->Sent().body) >= 1);
  }
  if (outcome == "not-run") BOOST_TEST(logs.Starts(call->Sent().body) == 0);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_silent_peers)

// Story: requests are forwarded from one entry process to the other and run
// when something between the two loses track of all their open connections.
// Answers and heartbeats vanish; new connections work. Nobody may get another's
// answer, no booking may run again, no screen in two places at once, and the
// next callers must be served through new connections.
BOOST_AUTO_TEST_CASE(silent_connections_between_entries_double_nothing) {
  Cell cell(OneOwner());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  BOOST_REQUIRE(AwaitServing(cell));
  std::string owner = MainOwner(cell);
  std::string forwarder = PeerOf(owner);
  BOOST_REQUIRE(StatusNumber(cell, forwarder, "owned_workers") == 0);
  std::vector<PendingCall> calls;
  calls.reserve(kMostCalls);
  for (int i = 0; i < kCallsOfEach; ++i) {
    for (const char* service : {"booking", "screen"}) {
      calls.emplace_back(
          cell, forwarder,
          Call{.service = service, .body = FreshBody(milliseconds(3000))});
    }
  }
  BOOST_REQUIRE(AwaitStarts(cell, calls));
  SilenceRelays(&cell);
  std::int64_t silent_at = NowMs();
  // A call that meets a silent connection is given up by its caller.
  std::vector<Call> tries;
  BOOST_TEST(WaitUntil([&] {
    tries.push_back({.service = "screen",
                     .body = FreshBody(milliseconds(5)),
                     .timeout = kShortTimeout});
    return IsOwnAnswer(Send(cell, forwarder, tries.back()), tries.back());
  }));
  std::int64_t served_after = NowMs() - silent_at;
  BOOST_TEST_MESSAGE("served again after " << served_after << " ms");
  // The silent connection was replaced, and did not first have to break.
  for (const PendingCall& call : calls) BOOST_TEST(!call.Ended());
  for (int i = 0; i < 10; ++i) {
    Call call{.service = "booking", .body = FreshBody(milliseconds(5))};
    auto reply = Send(cell, forwarder, call);
    BOOST_TEST(IsOwnAnswer(reply, call),
               OutcomeOf(reply) << " " << (reply ? reply->body : ""));
  }
  for (PendingCall& call : calls) (void)call.Reply();
  BOOST_TEST_MESSAGE("all were answered after " << NowMs() - silent_at
                                                << " ms");
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) {
    BOOST_TEST_MESSAGE(call.Sent().service << ": " << OutcomeOf(call.Reply()));
    bool booking = call.Sent().service == "booking";
    if (booking) JudgeOnce(logs, &call);
    if (!booking) JudgeRepeatable(logs, &call);
  }
  for (const Call& call : tries) BOOST_TEST(logs.Starts(call.body) <= 1);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
  BOOST_TEST(WaitUntil([&] {
    return StatusNumber(cell, forwarder, "live_peers") == 1 &&
           StatusNumber(cell, owner, "live_peers") == 1;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
