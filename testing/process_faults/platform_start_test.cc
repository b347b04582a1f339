#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "deferred_fixture.h"
#include "operator.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kWorkers = 4;

/// Four racks, so that each of the two entry processes has its share.
CellLayout SharedRacks() {
  CellLayout layout = TwoEntries(kWorkers, 4);
  layout.workers_per_rack = 1;
  return layout;
}

std::int64_t Owned(const Cell& cell, const std::string& entry) {
  return StatusNumber(cell, entry, "owned_workers");
}

bool Serves(const Cell& cell, const std::string& entry,
            const std::string& service, std::vector<std::string>* bodies) {
  Call call{.service = service, .body = FreshBody(milliseconds(5))};
  bodies->push_back(call.body);
  return IsOwnAnswer(Send(cell, entry, call), call);
}

/// Versions that an entry process told, in order and without repeats.
class VersionLog {
 public:
  VersionLog(const Cell& cell, std::string entry)
      : cell(cell), entry(std::move(entry)) {}

  std::int64_t Look() {
    std::int64_t version = VersionAt(this->cell, this->entry);
    bool told = version >= 0;
    if (told && (this->seen.empty() || this->seen.back() != version)) {
      this->seen.push_back(version);
    }
    return version;
  }
  /// @return true if no version was followed by a lower one
  [[nodiscard]] bool Rises() const {
    return std::is_sorted(this->seen.begin(), this->seen.end());
  }

 private:
  const Cell& cell;
  std::string entry;
  std::vector<std::int64_t> seen;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_start)

// Story: an entry process is replaced while the platform is down. It can read
// neither the configuration nor the host list. Callers that the balancer sends
// to it must be served, by the peer's workers and under the version in force;
// when the platform is back it must take its share of the workers.
BOOST_AUTO_TEST_CASE(a_process_started_in_an_outage_forwards_and_then_owns) {
  Cell cell(SharedRacks());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  for (const std::string& entry : cell.Entries()) {
    BOOST_REQUIRE(WaitUntil([&] { return Owned(cell, entry) > 0; }));
  }
  const std::string started = "entry-1-1";
  const std::string peer = "entry-1-2";
  Operator change(cell, "change", 1234, {});
  int in_force = change.Exit();
  BOOST_REQUIRE_MESSAGE(in_force == 0, change.Output());
  cell.Kill(started);
  BOOST_REQUIRE(WaitUntil([&] { return Owned(cell, peer) == kWorkers; }));
  BOOST_REQUIRE(cell.Switch("platform", R"({"down": true})"));
  cell.StartProcess(started);
  VersionLog versions(cell, started);
  std::vector<std::string> bodies;
  BOOST_TEST(WaitUntil([&] {
    bool newest = versions.Look() == 2;
    return Serves(cell, started, "screen", &bodies) && newest;
  }));
  constexpr int kCalls = 20;
  int served = 0;
  for (int i = 0; i < kCalls; ++i) {
    const char* service = i % 2 == 0 ? "screen" : "booking";
    if (Serves(cell, started, service, &bodies)) ++served;
    (void)versions.Look();
  }
  BOOST_TEST(served == kCalls);
  BOOST_TEST(Owned(cell, started) == 0);
  WorkerLogs logs = ReadLogs(cell);
  for (const std::string& body : bodies) BOOST_TEST(logs.Starts(body) <= 1);

  BOOST_REQUIRE(cell.Switch("platform", R"({"down": false})"));
  bool shared = WaitUntil([&] {
    (void)versions.Look();
    return Owned(cell, started) > 0 && Owned(cell, peer) > 0 &&
           Owned(cell, started) + Owned(cell, peer) == kWorkers;
  });
  BOOST_TEST(shared, "owns " << Owned(cell, started));
  for (int i = 0; i < kCalls; ++i) {
    BOOST_TEST(Serves(cell, started, "booking", &bodies));
  }
  AcceptedWork review = Accept(cell, started, "review", milliseconds(5));
  BOOST_TEST(AwaitState(cell, peer, review.id, "finished"));
  BOOST_TEST(versions.Look() == 2);
  BOOST_TEST(versions.Rises());
  BOOST_TEST(ReadLogs(cell).Count("overcommit-refused") == 0);
}

// Story: an entry process starts while the platform is slow and loses replies.
// Its first reads time out and its registration is written without its knowing.
// It must be ready and serve all the same, and be registered once: an
// operator's change is accepted only when it has it as well.
BOOST_AUTO_TEST_CASE(a_process_started_on_a_failing_platform_serves) {
  Cell cell(SharedRacks());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  const std::string started = "entry-1-1";
  const std::string peer = "entry-1-2";
  cell.Kill(started);
  BOOST_REQUIRE(WaitUntil([&] { return Owned(cell, peer) == kWorkers; }));
  BOOST_REQUIRE(
      cell.Switch("platform", R"({"delay_ms": 600, "lose_replies": 4})"));
  cell.StartProcess(started);
  VersionLog versions(cell, started);
  std::vector<std::string> bodies;
  BOOST_TEST(WaitUntil([&] {
    (void)versions.Look();
    return Serves(cell, started, "booking", &bodies);
  }));
  AcceptedWork review = Accept(cell, started, "review", milliseconds(5));
  BOOST_TEST(AwaitState(cell, started, review.id, "finished"));
  BOOST_TEST(WaitUntil([&] { return Owned(cell, started) > 0; }));
  BOOST_REQUIRE(
      cell.Switch("platform", R"({"delay_ms": 0, "lose_replies": 0})"));
  Operator change(cell, "change", 1234, {});
  int in_force = change.Exit();
  BOOST_TEST(in_force == 0, change.Output());
  BOOST_TEST(versions.Look() == 2);
  BOOST_TEST(versions.Rises());
  WorkerLogs logs = ReadLogs(cell);
  BOOST_TEST(logs.Starts(review.body) == 1);
  for (const std::string& body : bodies) BOOST_TEST(logs.Starts(body) <= 1);
}

// Story: two operators race over a slow platform, round after round, while an
// entry process is killed and started. Whatever it reads, from the platform or
// a peer, may be old by then. It must end at the winner's version, and no
// version that it shows may be followed by a lower one.
BOOST_AUTO_TEST_CASE(a_process_started_in_an_operator_race_ends_at_the_winner) {
  Cell cell(SharedRacks());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  const std::string started = "entry-1-1";
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 150})"));
  constexpr int kRounds = 3;
  for (int round = 1; round <= kRounds; ++round) {
    std::string base = std::to_string(round);
    cell.Kill(started);
    Operator first(cell, "first-" + base, 1000 + round, {"--base", base});
    Operator second(cell, "second-" + base, 1100 + round, {"--base", base});
    cell.StartProcess(started);
    VersionLog versions(cell, started);
    bool newest = WaitUntil([&] { return versions.Look() == round + 1; });
    BOOST_TEST(newest);
    // The winner's change is in force everywhere, the loser is told.
    std::multiset<int> exits = {first.Exit(), second.Exit()};
    BOOST_TEST((exits == std::multiset<int>{0, 3}), first.Output()
                                                        << second.Output());
    BOOST_TEST(versions.Look() == round + 1);
    BOOST_TEST(versions.Rises());
    BOOST_TEST(VersionAt(cell, "entry-1-2") == round + 1);
  }
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 0})"));
  BOOST_TEST(cell.AwaitReady(), cell.Trouble());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
