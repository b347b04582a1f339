#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {
namespace {

constexpr int kUnavailable = 503;
constexpr std::chrono::seconds kShortOutage(5);

/// Length of the outage: `PROCESS_FAULTS_OUTAGE_SECONDS`, or a short one.
std::chrono::seconds OutageLength() {
  const char* text = std::getenv("PROCESS_FAULTS_OUTAGE_SECONDS");
  if (text == nullptr) return kShortOutage;
  return std::chrono::seconds(std::max(1, std::atoi(text)));
}

/// What came of the calls of one class.
struct Class {
  std::string name;
  std::string service;
  bool keyed = false;
  bool served_in_outage = false;
  std::vector<std::string> bodies = {};
  std::string last_problem = {};
  std::int64_t served = 0;
  std::int64_t refused = 0;
  std::int64_t without_retry_after = 0;
};

std::vector<Class> AllClasses() {
  return {{.name = "urgent", .service = "screen", .served_in_outage = true},
          {.name = "non-idempotent",
           .service = "booking",
           .served_in_outage = true},
          {.name = "keyed", .service = "booking", .keyed = true},
          {.name = "deferred", .service = "review"},
          {.name = "deferred non-idempotent", .service = "detainee"}};
}

void SendOne(const Cell& cell, const std::string& entry, Class* item) {
  Call call{.service = item->service,
            .body = FreshBody(std::chrono::milliseconds(5)),
            .key = {}};
  std::size_t number = item->bodies.size();
  if (item->keyed) call.key = "outage-" + std::to_string(number);
  item->bodies.push_back(call.body);
  auto reply = Send(cell, entry, call);
  bool whole = IsOwnAnswer(reply, call);
  if (!whole && reply) item->last_problem = reply->body;
  if (whole || (reply && reply->status == kAccepted)) {
    ++item->served;
  }
  if (OutcomeOf(reply) == "not-run" && reply->status == kUnavailable) {
    ++item->refused;
    if (reply->Header("Retry-After").empty()) ++item->without_retry_after;
  }
}

/// Sends calls of one class one after another until the outage ends.
void SendUntil(const Cell& cell, std::chrono::steady_clock::time_point end,
               Class* item) {
  const std::vector<std::string> entries = cell.Entries();
  do {
    SendOne(cell, entries[item->bodies.size() % entries.size()], item);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  } while (std::chrono::steady_clock::now() < end);
}

void Report(const Class& item) {
  auto sent = static_cast<double>(item.bodies.size());
  constexpr double kPercent = 100.0;
  BOOST_TEST_MESSAGE("platform down, "
                     << item.name << ": served " << item.served << " of "
                     << item.bodies.size() << " ("
                     << kPercent * static_cast<double>(item.served) / sent
                     << " %), refused as not run " << item.refused
                     << "; last problem: " << item.last_problem);
}

bool ReachesPlatform(const Cell& cell, const std::string& entry) {
  auto reply = cell::SendOnce(
      cell.OperatorUrl(entry),
      {.method = "GET", .path = "/v1/status", .body = "", .headers = {}});
  return !reply ||
         reply->body.find(R"("platform_reachable":false)") == std::string::npos;
}

/// @return true once the journal of an entry process takes work
bool AcceptsReviews(const Cell& cell, const std::string& entry,
                    AcceptedWork* work) {
  work->body = FreshBody(std::chrono::milliseconds(5));
  auto reply =
      Send(cell, entry, {.service = "review", .body = work->body, .key = {}});
  work->id = reply ? AcceptedId(*reply) : std::string();
  return !work->id.empty();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_down)

// Story: the platform's key-value service goes away for a while. An applicant
// at the desk and a hospital that confirms a slot must be served as if nothing
// had happened. Reviews and confirmations under a key can't be recorded; they
// are refused as not run, and truly never run. After the return they work.
BOOST_AUTO_TEST_CASE(urgent_work_is_served_and_what_must_last_is_refused) {
  Cell cell(TwoEntries(3, 8));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  // After this, an entry process without workers knows who owns them.
  for (const std::string& entry : cell.Entries()) {
    (void)Accept(cell, entry, "review", std::chrono::milliseconds(1));
  }
  BOOST_REQUIRE(cell.Switch("platform", R"({"down": true})"));
  // An append that was in flight is uncertain; from here on all know.
  for (const std::string& entry : cell.Entries()) {
    BOOST_REQUIRE(WaitUntil([&] { return !ReachesPlatform(cell, entry); }));
  }
  std::vector<Class> classes = AllClasses();
  auto end = std::chrono::steady_clock::now() + OutageLength();
  std::vector<std::thread> senders;
  for (Class& item : classes) {
    senders.emplace_back([&] { SendUntil(cell, end, &item); });
  }
  for (std::thread& sender : senders) sender.join();
  for (const Class& item : classes) {
    Report(item);
    auto sent = static_cast<std::int64_t>(item.bodies.size());
    BOOST_TEST(item.served == (item.served_in_outage ? sent : 0), item.name);
    BOOST_TEST(item.refused == (item.served_in_outage ? 0 : sent), item.name);
    BOOST_TEST(item.without_retry_after == 0, item.name);
  }
  BOOST_REQUIRE(cell.Switch("platform", R"({"down": false})"));
  for (const std::string& entry : cell.Entries()) {
    AcceptedWork work;
    BOOST_REQUIRE(
        WaitUntil([&] { return AcceptsReviews(cell, entry, &work); }));
    BOOST_TEST(AwaitState(cell, entry, work.id, "finished"));
  }
  // Read again: what was refused must not run after the return either.
  WorkerLogs logs = ReadLogs(cell);
  for (const Class& item : classes) {
    for (const std::string& body : item.bodies) {
      BOOST_TEST(logs.Starts(body) == (item.served_in_outage ? 1 : 0),
                 item.name);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
