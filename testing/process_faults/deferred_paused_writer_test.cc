#include <boost/test/unit_test.hpp>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {

BOOST_AUTO_TEST_SUITE(deferred_paused_writer)

// Story: an entry process is paused with detainee reviews that run and wait.
// Its peer adopts the journal and finishes them. When the process goes on it
// still believes that they are its own. Its next append and its starts must be
// refused, or a review would run twice.
BOOST_AUTO_TEST_CASE(a_paused_writer_is_fenced_and_doubles_nothing) {
  Cell cell(TwoEntries(2, 1));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::string paused = MainOwner(cell);
  std::string peer = paused == "entry-1-1" ? "entry-1-2" : "entry-1-1";
  constexpr int kReviews = 5;
  std::vector<AcceptedWork> reviews;
  for (int i = 0; i < kReviews; ++i) {
    reviews.push_back(
        Accept(cell, paused, "detainee", std::chrono::milliseconds(800)));
  }
  BOOST_REQUIRE(WaitUntil([&] { return ReadLogs(cell).Count("start") >= 2; }));
  cell.Pause(paused);
  BOOST_REQUIRE(AwaitState(cell, peer, reviews.back().id, "finished"));
  cell.Resume(paused);
  bool fenced = WaitUntil([&] {
    return Events(cell, paused).find("journal-fenced") != std::string::npos;
  });
  BOOST_TEST(fenced);
  BOOST_REQUIRE_MESSAGE(cell.AwaitReady(), cell.Trouble());
  AcceptedWork later =
      Accept(cell, paused, "detainee", std::chrono::milliseconds(10));
  reviews.push_back(later);
  for (const AcceptedWork& review : reviews) {
    for (const std::string& entry : cell.Entries()) {
      BOOST_TEST(AwaitState(cell, entry, review.id, "finished"),
                 entry << " tells " << StateOf(cell, entry, review.id));
    }
  }
  WorkerLogs logs = ReadLogs(cell);
  for (const AcceptedWork& review : reviews) {
    BOOST_TEST(logs.Starts(review.body) == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
