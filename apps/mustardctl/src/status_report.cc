#include <Poco/JSONString.h>

#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "entry_status.h"
#include "reports.h"
#include "table.h"

namespace mustardproxy::ctl {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

std::string Amounts(const Resources& free, const Resources& capacity) {
  const auto pair = [](std::int64_t part, std::int64_t whole) {
    return std::to_string(part) + "/" + std::to_string(whole);
  };
  return pair(free.cpu_milli, capacity.cpu_milli) + " " +
         pair(free.memory_mb, capacity.memory_mb) + " " +
         pair(free.accelerators, capacity.accelerators) + " " +
         pair(free.slots, capacity.slots);
}

std::string State(const CoreStatus& status) {
  if (status.stopping) return "stopping";
  return status.ready ? "ready" : "not-ready";
}

std::vector<std::string> Row(const CoreStatus& status) {
  return {status.process.Text(),
          status.data_center.Text(),
          std::to_string(status.configuration_version),
          State(status),
          status.platform_reachable ? "yes" : "no",
          std::to_string(status.owned_workers) + "/" +
              std::to_string(status.known_workers),
          std::to_string(status.live_peers),
          std::to_string(status.queued),
          std::to_string(status.running),
          std::to_string(status.requests),
          std::to_string(status.deferred),
          Amounts(status.free, status.capacity)};
}

/// Stands over what `Amounts` gives.
constexpr std::string_view kAmountsHead =
    "FREE/CAPACITY: CPU_MILLI MEMORY_MB ACCELERATORS SLOTS";

using Answers = std::vector<Answer<EntryStatus>>;

void PrintText(const Answers& answers, std::ostream& out) {
  Table table = {{"PROCESS", "DATA_CENTER", "VERSION", "STATE", "PLATFORM",
                  "OWNED/KNOWN", "PEERS", "QUEUED", "RUNNING", "REQUESTS",
                  "DEFERRED", std::string(kAmountsHead)}};
  std::set<ConfigurationVersion> versions;
  for (const auto& answer : answers) {
    if (!answer.value) continue;
    table.push_back(Row(answer.value->status));
    versions.insert(answer.value->status.configuration_version);
  }
  PrintTable(table, out);
  if (versions.size() > 1) {
    out << "note: the configuration differs: versions " << *versions.begin()
        << " to " << *versions.rbegin() << '\n';
  }
}

void PrintUnreachableJson(const std::vector<Entry>& entries,
                          const Answers& answers, std::ostream& out) {
  const char* separator = "";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (answers[i].value) continue;
    out << separator
        << "\n  {\"process\": " << Poco::toJSON(entries[i].process.Text())
        << ", \"address\": " << Poco::toJSON(entries[i].address)
        << ", \"reason\": " << Poco::toJSON(answers[i].error.message()) << '}';
    separator = ",";
  }
}

void PrintJson(const std::vector<Entry>& entries, const Answers& answers,
               std::ostream& out) {
  out << "{\"entries\": [";
  const char* separator = "\n";
  for (const auto& answer : answers) {
    if (!answer.value) continue;
    out << separator << answer.value->json;
    separator = ",\n";
  }
  out << "],\n\"unreachable\": [";
  PrintUnreachableJson(entries, answers, out);
  out << "]}\n";
}

}  // namespace

ExitCode ShowStatus(const CommandLine& line, const std::vector<Entry>& entries,
                    const Console& console) {
  const Answers answers = FetchStatuses(entries, kTimeout);
  if (line.json) {
    PrintJson(entries, answers, console.out);
  } else {
    PrintText(answers, console.out);
  }
  ExitCode exit = ExitCode::kOk;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (answers[i].value) continue;
    console.err << "not reached: " << Describe(entries[i]) << ": "
                << answers[i].error.message() << '\n';
    exit = ExitCode::kEntryUnreachable;
  }
  return exit;
}

}  // namespace mustardproxy::ctl
