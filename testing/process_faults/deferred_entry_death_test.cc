#include <boost/test/unit_test.hpp>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {

BOOST_AUTO_TEST_SUITE(deferred_entry_death)

// Story: reviews were accepted; some run, the others wait for a slot. Their
// entry process is killed. Users would see a batch vanish overnight, or a
// review done twice. A peer adopts the journal, follows what runs and starts
// the rest; the killed process comes back with a new incarnation meanwhile.
BOOST_AUTO_TEST_CASE(accepted_and_running_work_is_adopted_and_finished_once) {
  Cell cell(TwoEntries(2, 1));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::string dead = MainOwner(cell);
  std::string peer = dead == "entry-1-1" ? "entry-1-2" : "entry-1-1";
  constexpr int kReviews = 6;
  std::vector<AcceptedWork> reviews;
  for (int i = 0; i < kReviews; ++i) {
    const char* service = i % 2 == 0 ? "review" : "detainee";
    reviews.push_back(
        Accept(cell, dead, service, std::chrono::milliseconds(1200)));
  }
  BOOST_REQUIRE(WaitUntil([&] { return ReadLogs(cell).Count("start") >= 2; }));
  std::int64_t started_before = ReadLogs(cell).Count("start");
  cell.Kill(dead);
  BOOST_TEST(started_before < kReviews);
  BOOST_REQUIRE(AwaitState(cell, peer, reviews.back().id, "finished"));
  cell.StartProcess(dead);
  BOOST_REQUIRE_MESSAGE(cell.AwaitReady(), cell.Trouble());
  for (const AcceptedWork& review : reviews) {
    for (const std::string& entry : cell.Entries()) {
      BOOST_TEST(AwaitState(cell, entry, review.id, "finished"),
                 entry << " tells " << StateOf(cell, entry, review.id));
      BOOST_TEST(ResultAt(cell, entry, review.id) == review.body);
    }
  }
  WorkerLogs logs = ReadLogs(cell);
  for (const AcceptedWork& review : reviews) {
    BOOST_TEST(logs.Starts(review.body) == 1);
    BOOST_TEST(Ends(logs, review.id, "finished") == 1);
  }
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

// Story: a start is recorded and sent, but its worker is paused and has not
// read it when the entry process dies. Whoever adopts can't know whether it
// ran. Once the worker goes on, the start may run late: the review must finish
// once and never run in two places; the detainee's may end as unknown instead.
BOOST_AUTO_TEST_CASE(a_start_that_is_under_way_is_not_doubled) {
  Cell cell(TwoEntries(1, 4));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::string dead = MainOwner(cell);
  std::string peer = dead == "entry-1-1" ? "entry-1-2" : "entry-1-1";
  cell.Pause("worker-1-1");
  AcceptedWork review =
      Accept(cell, dead, "review", std::chrono::milliseconds(50));
  AcceptedWork detainee =
      Accept(cell, dead, "detainee", std::chrono::milliseconds(50));
  BOOST_REQUIRE(AwaitState(cell, dead, detainee.id, "running"));
  cell.Kill(dead);
  bool adopted =
      WaitUntil([&] { return !StateOf(cell, peer, detainee.id).empty(); });
  BOOST_TEST(adopted);
  cell.Resume("worker-1-1");
  BOOST_TEST(AwaitState(cell, peer, review.id, "finished"));
  BOOST_TEST(ResultAt(cell, peer, review.id) == review.body);
  std::string fate;
  bool ended = WaitUntil([&] {
    fate = StateOf(cell, peer, detainee.id);
    return fate == "finished" || fate == "unknown";
  });
  BOOST_TEST(ended, "detainee is " << fate);
  WorkerLogs logs = ReadLogs(cell);
  BOOST_TEST(Ends(logs, review.id, "finished") == 1);
  BOOST_TEST(!Overlaps(logs, review.id));
  BOOST_TEST(logs.Starts(detainee.body) <= 1);
  if (fate == "finished") BOOST_TEST(logs.Starts(detainee.body) == 1);
}

// Story: the worker that runs a detainee review is killed and does not come
// back. Nobody can learn how far it came. A second run could give a second
// answer before the hearing, so it must end as unknown, also while other
// workers are free.
BOOST_AUTO_TEST_CASE(a_detainee_review_of_unknown_fate_does_not_run_again) {
  Cell cell(TwoEntries(2, 4));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  AcceptedWork detainee =
      Accept(cell, "entry-1-1", "detainee", std::chrono::seconds(30));
  std::vector<LogLine> starts;
  BOOST_REQUIRE(WaitUntil([&] {
    starts = ReadLogs(cell).StartLines(detainee.body);
    return !starts.empty();
  }));
  std::string lost = starts.front().worker;
  cell.Kill(lost);
  for (const std::string& entry : cell.Entries()) {
    BOOST_TEST(AwaitState(cell, entry, detainee.id, "unknown"),
               entry << " tells " << StateOf(cell, entry, detainee.id));
  }
  cell.StartProcess(lost);
  BOOST_REQUIRE_MESSAGE(cell.AwaitReady(), cell.Trouble());
  BOOST_TEST(ReadLogs(cell).Starts(detainee.body) == 0);
  BOOST_TEST(StateOf(cell, "entry-1-1", detainee.id) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
