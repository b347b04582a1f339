#include <boost/test/unit_test.hpp>

#include "request_cell.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

bool IsInProgress(const std::optional<HttpReply>& reply) {
  return reply && reply->body.find("108") != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_shutdown)

// Story: an operator stops the entry process that owns the workers while it
// runs bookings. None may be cut off. Leases are long here: a process that only
// lets them lapse would leave the workers idle for half a minute.
BOOST_AUTO_TEST_CASE(a_graceful_stop_cuts_nothing_and_hands_its_leases_over) {
  CellLayout layout;
  layout.data_centers = 1;
  layout.workers_per_data_center = 2;
  layout.extra_settings = R"("ownership": {"lease_ms": 120000,
      "renew_interval_ms": 500, "retry_interval_ms": 100})";
  Cell cell(layout);
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  BOOST_REQUIRE(AwaitServing(cell));
  std::string owner = MainOwner(cell);
  std::string peer = PeerOf(owner);
  std::vector<PendingCall> calls;
  calls.reserve(kMostCalls);
  for (int i = 0; i < 6; ++i) {
    calls.emplace_back(
        cell, i % 2 == 0 ? owner : peer,
        Call{.service = "booking", .body = FreshBody(milliseconds(1500))});
  }
  BOOST_REQUIRE(AwaitStarts(cell, calls));
  auto end = cell.Terminate(owner);
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(end->exit_code == 0);
  // Far below the lease.
  BOOST_TEST(
      WaitUntil([&] { return StatusNumber(cell, peer, "owned_workers") == 2; },
                std::chrono::seconds(30)));
  for (PendingCall& call : calls) {
    BOOST_TEST(IsOwnAnswer(call.Reply(), call.Sent()), OutcomeOf(call.Reply()));
  }
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) JudgeOnce(logs, &call);
}

// Story: a caller sends the same booking with the same key to two data centres
// at once, then one process dies after it sent the booking to its worker, and
// the caller repeats it at the other. One interpreter may be sent, not two.
BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once_over_data_centres_and_deaths) {
  CellLayout layout;
  layout.data_centers = 2;
  layout.entries_per_data_center = 1;
  layout.workers_per_data_center = 2;
  layout.extra_settings = kQuickSettings;
  Cell cell(layout);
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  BOOST_REQUIRE(AwaitServing(cell));
  std::vector<PendingCall> calls;
  calls.reserve(kMostCalls);
  for (int i = 0; i < 8; ++i) {
    Call call{.service = "booking",
              .body = FreshBody(milliseconds(100)),
              .key = "both-" + std::to_string(i)};
    for (const std::string& entry : cell.Entries()) {
      calls.emplace_back(cell, entry, call);
    }
  }
  int completed = 0;
  for (PendingCall& call : calls) {
    if (IsOwnAnswer(call.Reply(), call.Sent())) ++completed;
  }
  BOOST_TEST(completed >= 8);
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) {
    BOOST_TEST(logs.Starts(call.Sent().body) == 1);
  }
  Call last{.service = "booking",
            .body = FreshBody(milliseconds(1000)),
            .key = "after-death"};
  std::vector<PendingCall> dying;
  dying.emplace_back(cell, "entry-1-1", last);
  BOOST_REQUIRE(AwaitStarts(cell, dying));
  cell.Kill("entry-1-1");
  BOOST_TEST(OutcomeOf(dying.front().Reply()) == "no answer");
  std::optional<HttpReply> repeat;
  (void)WaitUntil(
      [&] {
        repeat = Send(cell, "entry-2-1", last);
        return repeat && !IsInProgress(repeat);
      },
      std::chrono::seconds(5));
  BOOST_TEST_MESSAGE("repeat after the death: "
                     << OutcomeOf(repeat) << " "
                     << (repeat ? repeat->body : ""));
  BOOST_TEST(ReadLogs(cell).Starts(last.body) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
