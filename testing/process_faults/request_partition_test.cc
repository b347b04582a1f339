#include <boost/test/unit_test.hpp>
#include <map>

#include "request_cell.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kWorkers = 4;

std::vector<PendingCall> SendBookings(const Cell& cell,
                                      const std::string& entry, int count,
                                      milliseconds run_time) {
  std::vector<PendingCall> calls;
  calls.reserve(kMostCalls);
  for (int i = 0; i < count; ++i) {
    calls.emplace_back(cell, entry,
                       Call{.service = "booking", .body = FreshBody(run_time)});
  }
  return calls;
}

/// A worker that took an order of an older epoch than one before let a stale
/// owner in.
bool EpochsRise(const WorkerLogs& logs) {
  std::map<std::string, std::uint64_t> highest;
  for (const LogLine& line : logs.Lines()) {
    if (line.event != "start") continue;
    std::uint64_t& epoch = highest[line.worker];
    if (line.epoch < epoch) return false;
    epoch = line.epoch;
  }
  return true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_partition)

// Story: the two entry processes of a data centre no longer hear each other,
// while both reach all workers. Each believes the other dead and wants all
// workers. The workers' leases decide; callers of both are served, and no
// worker is given more than it has.
BOOST_AUTO_TEST_CASE(entries_that_can_not_hear_each_other_both_serve) {
  Cell& cell = SharedCell();
  // An entry process without a worker could only forward.
  for (const std::string& entry : cell.Entries()) {
    BOOST_REQUIRE(WaitUntil(
        [&] { return StatusNumber(cell, entry, "owned_workers") > 0; }));
  }
  for (const std::string& relay : {std::string("relay:entry-1-1>entry-1-2"),
                                   std::string("relay:entry-1-2>entry-1-1")}) {
    BOOST_REQUIRE(cell.Switch(relay, R"({"cut": true})"));
  }
  for (const std::string& entry : cell.Entries()) {
    BOOST_REQUIRE(WaitUntil(
        [&] { return StatusNumber(cell, entry, "live_peers") == 0; }));
  }
  std::vector<PendingCall> calls;
  calls.reserve(kMostCalls);
  for (const std::string& entry : cell.Entries()) {
    auto some = SendBookings(cell, entry, 16, milliseconds(100));
    for (PendingCall& call : some) calls.push_back(std::move(call));
  }
  std::map<std::string, int> completed;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    bool done = IsOwnAnswer(calls[i].Reply(), calls[i].Sent());
    if (done) ++completed[cell.Entries()[i / 16]];
  }
  for (const std::string& entry : cell.Entries()) {
    BOOST_TEST(completed[entry] > 0,
               entry << " served nobody and owns "
                     << StatusNumber(cell, entry, "owned_workers"));
  }
  for (const std::string& relay : {std::string("relay:entry-1-1>entry-1-2"),
                                   std::string("relay:entry-1-2>entry-1-1")}) {
    BOOST_REQUIRE(cell.Switch(relay, R"({"cut": false})"));
  }
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) JudgeOnce(logs, &call);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
  BOOST_TEST(EpochsRise(logs));
}

// Story: an entry process pauses past its leases while bookings run and more
// wait at its door; its peer takes its workers over. When it wakes, it still
// believes in its leases. Its orders must be refused by the workers, and no
// booking may run twice or past a worker's capacity.
BOOST_AUTO_TEST_CASE(a_paused_owner_wakes_to_refused_orders) {
  Cell& cell = SharedCell();
  std::string owner = MainOwner(cell);
  std::string peer = PeerOf(owner);
  auto before = SendBookings(cell, owner, 4, milliseconds(2500));
  BOOST_REQUIRE(AwaitStarts(cell, before));
  cell.Pause(owner);
  auto at_the_door = SendBookings(cell, owner, 8, milliseconds(50));
  BOOST_REQUIRE(WaitUntil(
      [&] { return StatusNumber(cell, peer, "owned_workers") == kWorkers; }));
  auto meanwhile = SendBookings(cell, peer, 8, milliseconds(50));
  for (PendingCall& call : meanwhile) {
    BOOST_TEST(IsOwnAnswer(call.Reply(), call.Sent()), OutcomeOf(call.Reply()));
  }
  cell.Resume(owner);
  for (auto* calls : {&before, &at_the_door}) {
    for (PendingCall& call : *calls) (void)call.Reply();
  }
  BOOST_TEST(cell.AwaitReady(), cell.Trouble());
  WorkerLogs logs = ReadLogs(cell);
  for (auto* calls : {&before, &at_the_door, &meanwhile}) {
    for (PendingCall& call : *calls) JudgeOnce(logs, &call);
  }
  BOOST_TEST(EpochsRise(logs));
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
