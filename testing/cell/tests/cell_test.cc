#include "cell/cell.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

#include "cell/reserved_port.h"

namespace mustardproxy::cell {
namespace {

constexpr int kOk = 200;

HttpRequest Post(const std::string& path, const std::string& body) {
  return {.method = "POST", .path = path, .body = body, .headers = {}};
}

BOOST_AUTO_TEST_SUITE(cell)

BOOST_AUTO_TEST_CASE(reserved_ports_differ_and_stay) {
  ReservedPort first;
  ReservedPort second;
  BOOST_TEST(first.Number() != 0);
  BOOST_TEST(first.Number() != second.Number());
}

BOOST_AUTO_TEST_CASE(end_of_a_process_is_told) {
  ChildProcess good({"/bin/sh", "-c", "exit 7"}, "/dev/null");
  BOOST_TEST(good.Wait(kPatience).value().exit_code == 7);
  ChildProcess killed({"/bin/sh", "-c", "sleep 1000"}, "/dev/null");
  BOOST_TEST(killed.Running());
  killed.Signal(SIGKILL);
  BOOST_TEST(killed.Wait(kPatience).value().signal == SIGKILL);
  ChildProcess missing({"/nonexistent/program"}, "/dev/null");
  BOOST_TEST(missing.Wait(kPatience).value().exit_code == 127);
}

BOOST_AUTO_TEST_CASE(whole_path_through_real_processes) {
  Cell cell(CellLayout{.data_centers = 1,
                       .entries_per_data_center = 2,
                       .workers_per_data_center = 4,
                       .workers_per_rack = 2,
                       .relays = {{.from = "entry-1-1", .to = "platform"}},
                       .extra_settings = {},
                       .configuration = {}});
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  for (const std::string& entry : cell.Entries()) {
    auto reply =
        SendOnce(cell.Url(entry), Post("/v1/services/screen", "hello"));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == kOk);
    BOOST_TEST(reply->body == "hello");
    BOOST_TEST(reply->Header("Mustardproxy-Outcome") == "completed");
  }
  BOOST_TEST(cell.Switch("relay:entry-1-1>platform", R"({"cut": true})"));
  BOOST_TEST(!cell.Switch("platform", R"({"nonsense": true})"));
  cell.Kill("entry-1-2");
  BOOST_TEST(!cell.Running("entry-1-2"));
  cell.StartProcess("entry-1-2");
  BOOST_TEST_REQUIRE(cell.AwaitReady(), cell.Trouble());
  BOOST_TEST(cell.StopEntries(), cell.Trouble());
}

BOOST_AUTO_TEST_CASE(relays_stand_between_any_two) {
  CellLayout layout;
  layout.data_centers = 1;
  layout.workers_per_data_center = 3;
  layout.relays = {{.from = "entry-1-1", .to = "entry-1-2"},
                   {.from = "entry-1-1", .to = "worker-1-1"},
                   {.from = "", .to = "worker-1-2"},
                   {.from = "", .to = "platform"}};
  Cell cell(layout);
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  BOOST_TEST(cell.Relays().size() == 4U);
  // Every connection to these now fails, so the one worker without a relay
  // gets the work.
  BOOST_TEST(cell.Switch("relay:*>worker-1-2", R"({"cut": true})"));
  BOOST_TEST(cell.Switch("relay:entry-1-1>worker-1-1", R"({"cut": true})"));
  // Until an entry process has a worker it refuses as not run.
  BOOST_TEST(WaitUntil([&] {
    auto reply =
        SendOnce(cell.Url("entry-1-1"), Post("/v1/services/screen", "hello"));
    return reply.has_value() && reply->status == kOk;
  }));
}

/// One entry process with workers, and settings for it.
CellLayout SmallCell(const std::string& extra_settings) {
  CellLayout layout;
  layout.data_centers = 1;
  layout.entries_per_data_center = 1;
  layout.workers_per_data_center = 2;
  layout.extra_settings = extra_settings;
  return layout;
}

/// Sends a request that runs for `run_ms` and waits until it runs.
std::future<std::optional<HttpReply>> SendLong(Cell* cell, int run_ms) {
  std::string url = cell->Url("entry-1-1");
  std::string body = R"({"run_ms":)" + std::to_string(run_ms) + "}";
  auto reply = std::async(std::launch::async, [url, body] {
    return SendOnce(url, Post("/v1/services/booking", body), kPatience);
  });
  bool runs = WaitUntil([cell] {
    for (const std::string& worker : cell->Workers()) {
      auto log = SendOnce(
          cell->Url(worker),
          {.method = "GET", .path = "/log", .body = "", .headers = {}});
      if (log && log->body.find("start") != std::string::npos) return true;
    }
    return false;
  });
  BOOST_REQUIRE(runs);
  return reply;
}

BOOST_AUTO_TEST_CASE(graceful_stop_cuts_no_request) {
  // An operator stops an entry process while a booking runs. Its caller must
  // get the whole answer, and the process must end as if nothing was cut.
  Cell cell(SmallCell(""));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  auto reply = SendLong(&cell, 1500);
  auto end = cell.Terminate("entry-1-1");
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(end->exit_code == 0);
  auto answer = reply.get();
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status == kOk);
  BOOST_TEST(answer->body == R"({"run_ms":1500})");
}

BOOST_AUTO_TEST_CASE(stop_that_runs_out_of_time_says_so) {
  // The time for a graceful stop runs out while a booking runs. Its caller
  // must not hear "not run", and the exit code tells the operator of the cut.
  Cell cell(SmallCell(R"("limits": {"shutdown_timeout_ms": 300})"));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  auto reply = SendLong(&cell, 30'000);
  auto end = cell.Terminate("entry-1-1");
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST(end->exit_code == 3);
  auto answer = reply.get();
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->Header("Mustardproxy-Outcome") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::cell
