#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {
namespace {

constexpr int kReviews = 8;
const char* const kCutOff = "entry-2-1";
const char* const kLinked = "entry-1-1";

/// The second data centre reaches the platform and the first one by relays.
CellLayout TwoDataCenters() {
  CellLayout layout;
  layout.data_centers = 2;
  layout.entries_per_data_center = 1;
  layout.workers_per_data_center = 2;
  layout.worker_capacity.slots = 2;
  layout.relays = {{.from = kCutOff, .to = "platform"},
                   {.from = kCutOff, .to = kLinked},
                   {.from = kLinked, .to = kCutOff}};
  layout.extra_settings = R"("ownership": {"lease_ms": 1500,
    "renew_interval_ms": 300, "retry_interval_ms": 100},
    "membership": {"heartbeat_interval_ms": 200,
    "remote_heartbeat_interval_ms": 400})";
  return layout;
}

void SwitchAll(Cell* cell, const std::string& json) {
  for (const std::string& relay : cell->Relays()) {
    BOOST_REQUIRE(cell->Switch(relay, json));
  }
}

std::vector<AcceptedWork> AcceptSome(const Cell& cell,
                                     const std::string& entry) {
  std::vector<AcceptedWork> reviews;
  reviews.reserve(kReviews);
  for (int i = 0; i < kReviews; ++i) {
    const char* service = i % 2 == 0 ? "review" : "detainee";
    reviews.push_back(
        Accept(cell, entry, service, std::chrono::milliseconds(1200)));
  }
  return reviews;
}

std::int64_t TotalStarts(const WorkerLogs& logs,
                         const std::vector<AcceptedWork>& reviews) {
  std::int64_t starts = 0;
  for (const AcceptedWork& review : reviews) {
    starts += logs.Starts(review.body);
  }
  return starts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(deferred_cut_off)

// Story: a data centre loses the platform and the other data centre while it
// holds reviews that run and reviews that wait. The running ones end, which it
// can't record; the others can't be recorded as started. Nobody else may run
// them meanwhile, new ones must be refused as not run, and the other data
// centre goes on. After the heal each finishes once.
BOOST_AUTO_TEST_CASE(a_data_centre_cut_off_loses_and_doubles_no_review) {
  Cell cell(TwoDataCenters());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::vector<AcceptedWork> reviews = AcceptSome(cell, kCutOff);
  BOOST_REQUIRE(
      WaitUntil([&] { return TotalStarts(ReadLogs(cell), reviews) >= 4; }));
  SwitchAll(&cell, R"({"cut": true})");
  BOOST_REQUIRE(WaitUntil(
      [&] { return StatusNumber(cell, kLinked, "live_peers") == 0; }));
  // What runs goes on without the platform.
  BOOST_TEST(WaitUntil([&] { return ReadLogs(cell).Count("end") >= 4; }));
  std::vector<AcceptedWork> linked = AcceptSome(cell, kLinked);
  for (const AcceptedWork& review : linked) {
    BOOST_TEST(AwaitState(cell, kLinked, review.id, "finished"));
  }
  std::vector<Call> refused;
  BOOST_TEST(WaitUntil([&] {
    refused.push_back({.service = "detainee",
                       .body = FreshBody(std::chrono::milliseconds(5)),
                       .timeout = std::chrono::seconds(1)});
    auto reply = Send(cell, kCutOff, refused.back());
    return OutcomeOf(reply) == "not-run" &&
           !reply->Header("Retry-After").empty();
  }));
  SwitchAll(&cell, R"({"cut": false})");
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
  }
  for (const AcceptedWork& review : linked) {
    BOOST_TEST(logs.Starts(review.body) == 1);
  }
  BOOST_TEST(logs.Starts(refused.back().body) == 0);
  for (const Call& call : refused) BOOST_TEST(logs.Starts(call.body) <= 1);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
