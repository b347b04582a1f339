#include <boost/test/unit_test.hpp>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {
namespace {

constexpr std::chrono::milliseconds kDelay(400);

/// A review or a detainee's, as its caller saw it.
struct Sent {
  std::string body;
  std::string id;
  std::string outcome;
};

Sent SendWork(const Cell& cell, const std::string& entry,
              const std::string& service) {
  Sent sent;
  sent.body = FreshBody(std::chrono::milliseconds(20));
  auto reply =
      Send(cell, entry, {.service = service, .body = sent.body, .key = {}});
  sent.outcome = OutcomeOf(reply);
  if (reply) sent.id = AcceptedId(*reply);
  if (sent.id.empty() && reply) BOOST_TEST_MESSAGE(reply->body);
  return sent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_slow)

// Story: the platform answers slowly. A review is acknowledged, and in the same
// moment its entry process dies. If the 202 had been sent before the append was
// durable, the review would be lost and nobody would know.
BOOST_AUTO_TEST_CASE(work_is_acknowledged_only_once_it_is_durable) {
  Cell cell(TwoEntries(2, 4));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::string dead = MainOwner(cell);
  std::string peer = dead == "entry-1-1" ? "entry-1-2" : "entry-1-1";
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 400})"));
  std::int64_t sent_at = NowMs();
  AcceptedWork review =
      Accept(cell, dead, "review", std::chrono::milliseconds(20));
  std::int64_t took = NowMs() - sent_at;
  cell.Kill(dead);
  BOOST_TEST(took >= kDelay.count());
  BOOST_TEST(AwaitState(cell, peer, review.id, "finished"),
             StateOf(cell, peer, review.id));
  BOOST_TEST(ResultAt(cell, peer, review.id) == review.body);
  WorkerLogs logs = ReadLogs(cell);
  BOOST_TEST(Ends(logs, review.id, "finished") == 1);
  BOOST_TEST(!Overlaps(logs, review.id));
}

// Story: the platform writes, but its replies are lost for a while. The entry
// process can't tell whether an append took effect. If it took the silence for
// a failure it would call work not run that a peer later runs, or append it
// twice; so it reads the key and compares.
BOOST_AUTO_TEST_CASE(lost_replies_neither_lose_nor_double_work) {
  Cell cell(TwoEntries(2, 4));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  for (const std::string& entry : cell.Entries()) {
    (void)Accept(cell, entry, "review", std::chrono::milliseconds(1));
  }
  constexpr int kRounds = 4;
  std::vector<Sent> all;
  for (int i = 0; i < kRounds; ++i) {
    BOOST_REQUIRE(cell.Switch("platform", R"({"lose_replies": 3})"));
    for (const std::string& entry : cell.Entries()) {
      all.push_back(SendWork(cell, entry, "review"));
      all.push_back(SendWork(cell, entry, "detainee"));
    }
  }
  BOOST_REQUIRE(cell.Switch("platform", R"({"lose_replies": 0})"));
  std::int64_t accepted = 0;
  for (const Sent& sent : all) {
    if (sent.id.empty()) continue;
    ++accepted;
    for (const std::string& entry : cell.Entries()) {
      BOOST_TEST(AwaitState(cell, entry, sent.id, "finished"),
                 StateOf(cell, entry, sent.id));
    }
  }
  BOOST_TEST(accepted > 0);
  WorkerLogs logs = ReadLogs(cell);
  for (const Sent& sent : all) {
    if (!sent.id.empty()) {
      BOOST_TEST(logs.Starts(sent.body) == 1);
    } else if (sent.outcome == "not-run") {
      BOOST_TEST(logs.Starts(sent.body) == 0);
    } else {
      BOOST_TEST(logs.Starts(sent.body) <= 1);
    }
  }
  BOOST_TEST_MESSAGE("replies lost: accepted " << accepted << " of "
                                               << all.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
