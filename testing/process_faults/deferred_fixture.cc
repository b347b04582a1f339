#include "deferred_fixture.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

namespace mustardproxy::process_faults {
namespace {

std::optional<HttpReply> Get(const Cell& cell, const std::string& entry,
                             const std::string& path) {
  return cell::SendOnce(
      cell.Url(entry),
      {.method = "GET", .path = path, .body = "", .headers = {}});
}

}  // namespace

std::string QuickTakeover() {
  return R"("ownership": {"lease_ms": 1500, "renew_interval_ms": 300,
    "retry_interval_ms": 100}, "membership": {"heartbeat_interval_ms": 200})";
}

CellLayout TwoEntries(std::int32_t workers, std::int32_t slots_per_worker) {
  CellLayout layout;
  layout.data_centers = 1;
  layout.entries_per_data_center = 2;
  layout.workers_per_data_center = workers;
  layout.worker_capacity.slots = slots_per_worker;
  layout.extra_settings = QuickTakeover();
  return layout;
}

std::string AcceptedId(const HttpReply& reply) {
  constexpr std::string_view kPrefix = "/v1/requests/";
  std::string location = reply.Header("Location");
  if (reply.status != kAccepted || !location.starts_with(kPrefix)) return {};
  return location.substr(kPrefix.size());
}

AcceptedWork Accept(const Cell& cell, const std::string& entry,
                    const std::string& service,
                    std::chrono::milliseconds run_time) {
  AcceptedWork work;
  work.body = FreshBody(run_time);
  Call call{.service = service, .body = work.body, .key = {}};
  std::optional<HttpReply> reply;
  // What was refused as not run may be sent again, as callers do.
  bool answered = WaitUntil([&] {
    reply = Send(cell, entry, call);
    return OutcomeOf(reply) != "not-run";
  });
  if (answered && reply) work.id = AcceptedId(*reply);
  if (work.id.empty()) {
    throw std::runtime_error("not accepted: " +
                             (reply ? reply->body : std::string("no answer")));
  }
  return work;
}

std::string StateOf(const Cell& cell, const std::string& entry,
                    const std::string& id) {
  auto reply = Get(cell, entry, "/v1/requests/" + id);
  if (!reply || reply->status != kOk) return {};
  constexpr std::string_view kField = R"("state":")";
  std::size_t begin = reply->body.find(kField);
  if (begin == std::string::npos) return {};
  begin += kField.size();
  return reply->body.substr(begin, reply->body.find('"', begin) - begin);
}

bool AwaitState(const Cell& cell, const std::string& entry,
                const std::string& id, std::string_view state) {
  return WaitUntil([&] { return StateOf(cell, entry, id) == state; });
}

std::string ResultAt(const Cell& cell, const std::string& entry,
                     const std::string& id) {
  auto reply = Get(cell, entry, "/v1/requests/" + id + "/result");
  return reply && reply->status == kOk ? reply->body : std::string();
}

std::int64_t Ends(const WorkerLogs& logs, std::string_view id,
                  std::string_view reason) {
  return std::count_if(logs.Lines().begin(), logs.Lines().end(),
                       [&](const LogLine& line) {
                         return line.event == "end" && line.request == id &&
                                line.reason == reason;
                       });
}

bool Overlaps(const WorkerLogs& logs, std::string_view id) {
  struct Run {
    std::int64_t from = 0;
    std::int64_t to = 0;
  };
  std::vector<Run> runs;
  for (const LogLine& start : logs.Lines()) {
    if (start.event != "start" || start.request != id) continue;
    Run run{start.at_ms, NowMs()};
    for (const LogLine& end : logs.Lines()) {
      if (end.event == "end" && end.task == start.task) run.to = end.at_ms;
    }
    for (const Run& other : runs) {
      if (run.from < other.to && other.from < run.to) return true;
    }
    runs.push_back(run);
  }
  return false;
}

}  // namespace mustardproxy::process_faults
