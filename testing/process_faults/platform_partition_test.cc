#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "deferred_fixture.h"
#include "operator.h"

namespace mustardproxy::process_faults {
namespace {

constexpr int kCallsPerEntry = 20;

CellLayout ThreeDataCenters() {
  CellLayout layout;
  layout.data_centers = 3;
  layout.entries_per_data_center = 1;
  layout.workers_per_data_center = 2;
  layout.relays = {{.from = "", .to = "entry-1-1"},
                   {.from = "", .to = "entry-2-1"},
                   {.from = "", .to = "entry-3-1"},
                   {.from = "entry-3-1", .to = "platform"}};
  layout.extra_settings = R"("membership": {"heartbeat_interval_ms": 200,
    "remote_heartbeat_interval_ms": 400})";
  return layout;
}

/// What came of calls sent at every entry process.
struct Share {
  std::int64_t sent = 0;
  std::int64_t served = 0;
  std::vector<std::string> bodies;
};

Share SendToAll(const Cell& cell, const std::string& service) {
  Share share;
  for (int i = 0; i < kCallsPerEntry; ++i) {
    for (const std::string& entry : cell.Entries()) {
      Call call{.service = service,
                .body = FreshBody(std::chrono::milliseconds(5)),
                .key = {}};
      share.bodies.push_back(call.body);
      ++share.sent;
      if (IsOwnAnswer(Send(cell, entry, call), call)) ++share.served;
    }
  }
  return share;
}

void CheckShare(const Cell& cell, const std::string& service,
                const std::string& when) {
  Share share = SendToAll(cell, service);
  BOOST_TEST_MESSAGE("three data centres " << when << ", " << service
                                           << ": served " << share.served
                                           << " of " << share.sent);
  BOOST_TEST(share.served == share.sent);
  WorkerLogs logs = ReadLogs(cell);
  for (const std::string& body : share.bodies) {
    BOOST_TEST(logs.Starts(body) == 1);
  }
}

void SwitchAll(Cell* cell, const std::string& json) {
  for (const std::string& relay : cell->Relays()) {
    BOOST_REQUIRE(cell->Switch(relay, json));
  }
}

/// Writes the configuration of the start again as version 2.
void WriteVersionTwo(const Cell& cell) {
  std::string text = cell::DefaultConfiguration();
  const std::string old = R"("version": 1)";
  text.replace(text.find(old), old.size(), R"("version": 2)");
  auto reply =
      cell::SendOnce(cell.Url("platform"), {.method = "PUT",
                                            .path = "/v1/kv/config/current",
                                            .body = text,
                                            .headers = {}});
  BOOST_REQUIRE(reply.has_value());
  BOOST_REQUIRE(reply->body.find("true") != std::string::npos);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_partition)

// Story: the links between three data centres are cut, and one has lost the
// platform as well. Callers reach the entry process of their own data centre;
// each must go on being served by its own workers. A change that is made
// meanwhile reaches the lone data centre after the heal.
BOOST_AUTO_TEST_CASE(data_centres_cut_off_go_on_serving_their_own_callers) {
  Cell cell(ThreeDataCenters());
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  for (const char* service : {"screen", "booking"}) {
    CheckShare(cell, service, "linked");
  }
  SwitchAll(&cell, R"({"cut": true})");
  for (const char* service : {"screen", "booking"}) {
    CheckShare(cell, service, "cut off");
  }
  WriteVersionTwo(cell);
  BOOST_TEST(WaitUntil([&] { return VersionAt(cell, "entry-1-1") == 2; }));
  BOOST_TEST(WaitUntil([&] { return VersionAt(cell, "entry-2-1") == 2; }));
  BOOST_TEST(VersionAt(cell, "entry-3-1") == 1);
  CheckShare(cell, "screen", "cut off, with versions apart");
  SwitchAll(&cell, R"({"cut": false})");
  BOOST_TEST(WaitUntil([&] { return VersionAt(cell, "entry-3-1") == 2; }));
  CheckShare(cell, "screen", "healed");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
