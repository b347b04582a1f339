#ifndef MUSTARDPROXY_PROCESS_FAULTS_REQUEST_CELL_H_
#define MUSTARDPROXY_PROCESS_FAULTS_REQUEST_CELL_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fixture.h"

namespace mustardproxy::process_faults {

/// Calls of a test at most.
inline constexpr std::size_t kMostCalls = 64;

/// Short leases and ejections, so that takeovers and returns come soon.
inline const char* const kQuickSettings =
    R"("ownership": {"lease_ms": 1500, "renew_interval_ms": 300,
       "retry_interval_ms": 100},
       "membership": {"heartbeat_interval_ms": 200},
       "worker_health": {"max_ejected_share": 0.5, "ejection_ms": 1000,
       "return_time_ms": 1000})";

/// One data centre with two entry processes and four workers, and relays on all
/// ways between the entry processes and to the workers.
inline CellLayout RelayedCell() {
  CellLayout layout;
  layout.data_centers = 1;
  layout.entries_per_data_center = 2;
  layout.workers_per_data_center = 4;
  layout.workers_per_rack = 1;
  layout.relays = {{"entry-1-1", "entry-1-2"}, {"entry-1-2", "entry-1-1"},
                   {"", "worker-1-1"},         {"", "worker-1-2"},
                   {"", "worker-1-3"},         {"", "worker-1-4"}};
  layout.extra_settings = kQuickSettings;
  return layout;
}

/// Waits until each entry process has served a request; one that owns no worker
/// must first hear from its peer.
/// @return true once they have
inline bool AwaitServing(const Cell& cell) {
  for (const std::string& entry : cell.Entries()) {
    std::optional<HttpReply> reply;
    bool serves = WaitUntil(
        [&] {
          Call call{.service = "screen",
                    .body = FreshBody(std::chrono::milliseconds(1))};
          reply = Send(cell, entry, call);
          return IsOwnAnswer(reply, call);
        },
        std::chrono::seconds(15));
    if (serves) continue;
    BOOST_TEST_MESSAGE(entry << " does not serve: " << OutcomeOf(reply) << " "
                             << (reply ? reply->body : ""));
    for (const std::string& each : cell.Entries()) {
      auto status = cell::SendOnce(
          cell.OperatorUrl(each),
          {.method = "GET", .path = "/v1/status", .body = "", .headers = {}});
      BOOST_TEST_MESSAGE(each << ": " << (status ? status->body : ""));
    }
    return false;
  }
  return true;
}

/// The cell that tests share when they leave it whole; each test gets it ready.
inline Cell& SharedCell() {
  static std::unique_ptr<Cell> shared;
  if (!shared) {
    shared = std::make_unique<Cell>(RelayedCell());
    BOOST_REQUIRE_MESSAGE(shared->Start(), shared->Trouble());
  }
  BOOST_REQUIRE_MESSAGE(shared->AwaitReady(), shared->Trouble());
  BOOST_REQUIRE(AwaitServing(*shared));
  return *shared;
}

inline std::string PeerOf(const std::string& entry) {
  return entry == "entry-1-1" ? "entry-1-2" : "entry-1-1";
}

/// @return true once each call's body was started by a worker
inline bool AwaitStarts(const Cell& cell,
                        const std::vector<PendingCall>& calls) {
  return WaitUntil(
      [&] {
        WorkerLogs logs = ReadLogs(cell);
        for (const PendingCall& call : calls) {
          if (logs.Starts(call.Sent().body) == 0) return false;
        }
        return true;
      },
      std::chrono::seconds(20));
}

/// Checks what a caller of a non-idempotent service was told against the log.
inline void JudgeOnce(const WorkerLogs& logs, PendingCall* call) {
  std::string outcome = OutcomeOf(call->Reply());
  std::int64_t starts = logs.Starts(call->Sent().body);
  BOOST_TEST_CONTEXT("outcome " << outcome) {
    BOOST_TEST(starts <= 1);
    if (outcome == "completed") {
      BOOST_TEST(IsOwnAnswer(call->Reply(), call->Sent()));
      BOOST_TEST(starts == 1);
    }
    if (outcome == "not-run") BOOST_TEST(starts == 0);
  }
}

}  // namespace mustardproxy::process_faults

#endif  // MUSTARDPROXY_PROCESS_FAULTS_REQUEST_CELL_H_
