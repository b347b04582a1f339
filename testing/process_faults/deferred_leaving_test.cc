#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {

BOOST_AUTO_TEST_SUITE(deferred_leaving)

// Story: a worker is to be taken away while a batch of reviews goes through it.
// Its running reviews may end; two seconds later at most nothing new may start
// there, though its slots are free and reviews wait. None may be lost with it
// or run again elsewhere.
BOOST_AUTO_TEST_CASE(a_leaving_worker_gets_no_more_reviews) {
  Cell cell(TwoEntries(2, 2));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  constexpr int kReviews = 40;
  std::vector<AcceptedWork> reviews;
  reviews.reserve(kReviews);
  for (int i = 0; i < kReviews; ++i) {
    const char* service = i % 2 == 0 ? "review" : "detainee";
    std::string entry = cell.Entries()[static_cast<std::size_t>(i % 2)];
    reviews.push_back(
        Accept(cell, entry, service, std::chrono::milliseconds(400)));
  }
  const std::string leaving = "worker-1-1";
  BOOST_REQUIRE(
      WaitUntil([&] { return ReadLogs(cell).StartsOn(leaving) > 0; }));
  BOOST_REQUIRE(cell.SetHosts({leaving}));
  constexpr std::int64_t kGrace = 2000;
  std::int64_t limit = NowMs() + kGrace;
  for (const AcceptedWork& review : reviews) {
    for (const std::string& entry : cell.Entries()) {
      BOOST_TEST(AwaitState(cell, entry, review.id, "finished"),
                 entry << " tells " << StateOf(cell, entry, review.id));
    }
  }
  WorkerLogs logs = ReadLogs(cell);
  std::int64_t late = 0;
  std::int64_t elsewhere = 0;
  for (const LogLine& line : logs.Lines()) {
    if (line.event != "start" || line.at_ms <= limit) continue;
    ++(line.worker == leaving ? late : elsewhere);
  }
  BOOST_TEST_MESSAGE("started after the grace: " << elsewhere << " elsewhere");
  BOOST_TEST(late == 0);
  BOOST_TEST(elsewhere > 0);
  for (const AcceptedWork& review : reviews) {
    BOOST_TEST(logs.Starts(review.body) == 1);
    BOOST_TEST(Ends(logs, review.id, "finished") == 1);
  }
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
