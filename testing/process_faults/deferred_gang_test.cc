#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {
namespace {

constexpr std::int64_t kTasksOfGang = 4;

/// The default configuration with a deferred gang, as rota builds are.
std::string WithDeferredGang() {
  std::string text = cell::DefaultConfiguration();
  const std::string old = R"("gang": {"gang": true,)";
  return text.replace(text.find(old), old.size(),
                      R"("gang": {"gang": true, "deferred": true,)");
}

/// Tasks of one worker log that run at the end.
std::int64_t RunningNow(const WorkerLogs& logs) {
  std::set<std::string> running;
  for (const LogLine& line : logs.Lines()) {
    if (line.event == "start") running.insert(line.task);
  }
  for (const LogLine& line : logs.Lines()) {
    if (line.event == "end") running.erase(line.task);
  }
  return static_cast<std::int64_t>(running.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(deferred_gang)

// Story: a rota build needs four tasks at once. Two workers have started
// theirs, two are paused, and then the entry process that places it is killed.
// Half a gang would hold room and never end. After the adoption it must run
// whole, and the half that had started must be stopped, not left behind.
BOOST_AUTO_TEST_CASE(a_half_started_gang_ends_whole_after_its_owner_died) {
  CellLayout layout = TwoEntries(4, 1);
  layout.configuration = WithDeferredGang();
  Cell cell(layout);
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::string dead = MainOwner(cell);
  std::string peer = dead == "entry-1-1" ? "entry-1-2" : "entry-1-1";
  cell.Pause("worker-1-3");
  cell.Pause("worker-1-4");
  AcceptedWork gang =
      Accept(cell, dead, "match", std::chrono::milliseconds(3000));
  auto started = [&](const std::string& worker) {
    auto log = cell::SendOnce(
        cell.Url(worker),
        {.method = "GET", .path = "/log", .body = "", .headers = {}});
    return log && log->body.find(R"("event":"start")") != std::string::npos;
  };
  BOOST_REQUIRE(WaitUntil(
      [&] { return started("worker-1-1") && started("worker-1-2"); }));
  cell.Kill(dead);
  cell.Resume("worker-1-3");
  cell.Resume("worker-1-4");
  BOOST_TEST(AwaitState(cell, peer, gang.id, "finished"),
             StateOf(cell, peer, gang.id));
  bool empty = WaitUntil([&] { return RunningNow(ReadLogs(cell)) == 0; });
  BOOST_TEST(empty);
  // Four tasks were in progress at one moment and all of them finished.
  WorkerLogs logs = ReadLogs(cell);
  std::int64_t finished = Ends(logs, gang.id, "finished");
  BOOST_TEST(finished == kTasksOfGang);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
