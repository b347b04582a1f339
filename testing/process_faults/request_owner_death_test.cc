#include <boost/test/unit_test.hpp>

#include "request_cell.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongRun(1500);

}  // namespace

BOOST_AUTO_TEST_SUITE(request_owner_death)

// Story: the entry process that owns all workers is killed while it runs
// bookings, and the platform is down. Callers see an error, never a second
// interpreter sent. The peer must take the workers over from their own leases,
// count what still runs on them, and serve.
BOOST_AUTO_TEST_CASE(
    a_killed_owner_doubles_nothing_and_its_workers_serve_again) {
  CellLayout layout;
  layout.data_centers = 1;
  layout.workers_per_data_center = 2;
  layout.extra_settings = kQuickSettings;
  Cell cell(layout);
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  BOOST_REQUIRE(AwaitServing(cell));
  std::string owner = MainOwner(cell);
  std::string peer = PeerOf(owner);
  constexpr int kCalls = 4;
  std::vector<PendingCall> calls;
  calls.reserve(kMostCalls);
  for (int i = 0; i < kCalls; ++i) {
    std::string key = i % 2 == 0 ? "" : "killed-" + std::to_string(i);
    std::string door = i < 2 ? owner : peer;
    calls.emplace_back(
        cell, door,
        Call{.service = "booking", .body = FreshBody(kLongRun), .key = key});
  }
  BOOST_REQUIRE(AwaitStarts(cell, calls));
  BOOST_REQUIRE(cell.Switch("platform", R"({"down": true})"));
  cell.Kill(owner);
  for (PendingCall& call : calls) {
    std::string outcome = OutcomeOf(call.Reply());
    bool whole = IsOwnAnswer(call.Reply(), call.Sent());
    BOOST_TEST((whole || outcome == "unknown" || outcome == "no answer"),
               "outcome " << outcome);
  }
  bool taken_over =
      WaitUntil([&] { return StatusNumber(cell, peer, "owned_workers") == 2; });
  BOOST_TEST(taken_over);
  Call after{.service = "booking", .body = FreshBody(milliseconds(10))};
  auto reply = Send(cell, peer, after);
  BOOST_TEST(IsOwnAnswer(reply, after), OutcomeOf(reply));
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) {
    BOOST_TEST(logs.Starts(call.Sent().body) == 1);
  }
  BOOST_TEST(logs.Starts(after.body) == 1);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
