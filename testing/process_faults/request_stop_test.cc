#include <boost/test/unit_test.hpp>
#include <set>

#include "raw_caller.h"
#include "request_cell.h"

namespace mustardproxy::process_faults {
namespace {

using Poco::Net::StreamSocket;
using std::chrono::milliseconds;

/// Below the 60 s after which a graceful stop is given up.
constexpr std::chrono::seconds kGracefulStop(40);

std::vector<PendingCall> SendBookings(const Cell& cell,
                                      const std::string& entry,
                                      milliseconds run_time,
                                      milliseconds timeout) {
  constexpr int kBookings = 6;
  std::vector<PendingCall> calls;
  calls.reserve(kBookings);
  for (int i = 0; i < kBookings; ++i) {
    calls.emplace_back(cell, entry,
                       Call{.service = "booking",
                            .body = FreshBody(run_time),
                            .timeout = timeout});
  }
  return calls;
}

/// Stops an entry process and checks that it ended by itself.
void StopGracefully(Cell* cell, const std::string& entry) {
  std::int64_t begun = NowMs();
  auto end = cell->Terminate(entry, kGracefulStop);
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(end->exit_code == 0);
  BOOST_TEST_MESSAGE("stopped after " << NowMs() - begun << " ms");
}

bool AwaitOwned(const Cell& cell, const std::string& entry,
                std::int64_t workers) {
  return WaitUntil(
      [&] { return StatusNumber(cell, entry, "owned_workers") == workers; });
}

bool Serves(const Cell& cell, const std::string& entry) {
  Call call{.service = "screen", .body = FreshBody(milliseconds(5))};
  return IsOwnAnswer(Send(cell, entry, call), call);
}

/// @return tasks that a worker has started and not ended
std::size_t RunningTasks(const WorkerLogs& logs) {
  std::set<std::string> running;
  for (const LogLine& line : logs.Lines()) {
    if (line.event == "start") running.insert(line.task);
    if (line.event == "end") running.erase(line.task);
  }
  return running.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_stop)

// Story: an operator stops the entry process that owns the workers while its
// open connections to them have gone silent and bookings run on them. The stop
// must end, no booking may run again at the process that takes over, and what
// callers were told must be true.
BOOST_AUTO_TEST_CASE(a_stop_ends_while_connections_to_workers_are_silent) {
  Cell& cell = SharedCell();
  std::string owner = MainOwner(cell);
  std::string peer = PeerOf(owner);
  auto calls =
      SendBookings(cell, owner, milliseconds(2000), std::chrono::seconds(15));
  BOOST_REQUIRE(AwaitStarts(cell, calls));
  for (const std::string& worker : cell.Workers()) {
    BOOST_REQUIRE(
        cell.Switch("relay:*>" + worker, R"({"silence_open": true})"));
  }
  StopGracefully(&cell, owner);
  BOOST_TEST(AwaitOwned(cell, peer, 4));
  BOOST_TEST(Serves(cell, peer));
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) {
    // A process that stops gracefully answers before it goes.
    BOOST_TEST(OutcomeOf(call.Reply()) != "no answer");
    JudgeOnce(logs, &call);
  }
  cell.StartProcess(owner);
}

// Story: as above, but a worker itself hangs: it takes connections and answers
// nothing. The stop can't wait for it for ever. Its callers are told the truth
// at their timeout, and once the worker goes on it has a new owner and runs
// none of the bookings again.
BOOST_AUTO_TEST_CASE(a_stop_ends_while_a_worker_hangs) {
  Cell& cell = SharedCell();
  std::string owner = MainOwner(cell);
  std::string peer = PeerOf(owner);
  auto calls =
      SendBookings(cell, owner, milliseconds(1500), std::chrono::seconds(6));
  BOOST_REQUIRE(AwaitStarts(cell, calls));
  std::string hung = ReadLogs(cell).StartLines(calls[0].Sent().body)[0].worker;
  cell.Pause(hung);
  StopGracefully(&cell, owner);
  for (PendingCall& call : calls) {
    BOOST_TEST(OutcomeOf(call.Reply()) != "no answer");
  }
  BOOST_TEST(Serves(cell, peer));
  cell.Resume(hung);
  BOOST_TEST(AwaitOwned(cell, peer, 4));
  BOOST_TEST(Serves(cell, peer));
  WorkerLogs logs = ReadLogs(cell);
  for (PendingCall& call : calls) JudgeOnce(logs, &call);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
  cell.StartProcess(owner);
}

// Story: an entry process is stopped while many callers wait for long work, and
// then they all hang up. Their work has no reader any more: it must be stopped
// on the workers, and the process must go at once, not after the work would
// have ended.
BOOST_AUTO_TEST_CASE(a_stop_ends_soon_once_its_callers_hang_up) {
  Cell& cell = SharedCell();
  std::string owner = MainOwner(cell);
  std::string peer = PeerOf(owner);
  constexpr int kCallers = 60;
  constexpr std::int64_t kLongMs = 50'000;
  std::string body = FreshBody(milliseconds(kLongMs));
  {
    std::vector<StreamSocket> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(Connect(cell, owner));
      SendText(&callers.back(), Post(body));
    }
    BOOST_REQUIRE(WaitUntil([&] { return ReadLogs(cell).Starts(body) > 8; }));
    // Still running after the signal, since callers are connected.
    BOOST_TEST(!cell.Terminate(owner, milliseconds(500)).has_value());
  }
  std::int64_t hung_up = NowMs();
  auto end = cell.AwaitEnd(owner, kGracefulStop);
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(end->exit_code == 0);
  BOOST_TEST_MESSAGE("stopped after " << NowMs() - hung_up << " ms");
  BOOST_TEST(AwaitOwned(cell, peer, 4));
  BOOST_TEST(WaitUntil([&] { return RunningTasks(ReadLogs(cell)) == 0; }));
  BOOST_TEST(NowMs() - hung_up < kLongMs);
  BOOST_TEST(Serves(cell, peer));
  BOOST_TEST(ReadLogs(cell).Count("overcommit-refused") == 0);
  cell.StartProcess(owner);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
