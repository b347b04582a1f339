#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {

BOOST_AUTO_TEST_SUITE(deferred_stop)

// Story: an operator stops an entry process while the platform is slow. It
// holds reviews that run and reviews that wait, and others are just being
// journalled. The stop must end by itself; each review that was acknowledged
// must finish once at the peer, and what was called not run must never run.
BOOST_AUTO_TEST_CASE(a_stop_on_a_slow_platform_loses_and_doubles_nothing) {
  Cell cell(TwoEntries(2, 2));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::string owner = MainOwner(cell);
  std::string peer = owner == "entry-1-1" ? "entry-1-2" : "entry-1-1";
  constexpr int kReviews = 10;
  std::vector<AcceptedWork> reviews;
  reviews.reserve(kReviews);
  for (int i = 0; i < kReviews; ++i) {
    const char* service = i % 2 == 0 ? "review" : "detainee";
    reviews.push_back(
        Accept(cell, owner, service, std::chrono::milliseconds(1000)));
  }
  BOOST_REQUIRE(WaitUntil([&] { return ReadLogs(cell).Count("start") >= 4; }));
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 700})"));
  std::vector<PendingCall> late;
  late.reserve(kReviews);
  for (int i = 0; i < kReviews; ++i) {
    late.emplace_back(cell, owner,
                      Call{.service = i % 2 == 0 ? "review" : "detainee",
                           .body = FreshBody(std::chrono::milliseconds(20))});
  }
  BOOST_REQUIRE(WaitUntil(
      [&] { return StatusNumber(cell, owner, "requests") >= kReviews; }));
  std::int64_t begun = NowMs();
  auto end = cell.Terminate(owner, std::chrono::seconds(40));
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(end->exit_code == 0);
  BOOST_TEST_MESSAGE("stopped after " << NowMs() - begun << " ms");
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 0})"));
  for (PendingCall& call : late) {
    BOOST_TEST(OutcomeOf(call.Reply()) != "no answer");
    std::string id = call.Reply() ? AcceptedId(*call.Reply()) : std::string();
    if (!id.empty()) reviews.push_back({id, call.Sent().body});
  }
  BOOST_TEST_MESSAGE("acknowledged " << reviews.size());
  for (const AcceptedWork& review : reviews) {
    BOOST_TEST(AwaitState(cell, peer, review.id, "finished"),
               peer << " tells " << StateOf(cell, peer, review.id));
    BOOST_TEST(ResultAt(cell, peer, review.id) == review.body);
  }
  WorkerLogs logs = ReadLogs(cell);
  for (const AcceptedWork& review : reviews) {
    BOOST_TEST(logs.Starts(review.body) == 1);
  }
  for (PendingCall& call : late) {
    bool not_run = OutcomeOf(call.Reply()) == "not-run";
    BOOST_TEST(logs.Starts(call.Sent().body) <= (not_run ? 0 : 1));
  }
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
