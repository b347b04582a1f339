#include "rollout.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

#include "entry_status.h"
#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::ctl {
namespace {

constexpr auto kPollPause = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::seconds(1);

/// Asks all laggards once; those that have caught up move over.
void Poll(ConfigurationVersion version, Rollout* rollout) {
  std::vector<Entry> entries;
  entries.reserve(rollout->laggards.size());
  for (const Laggard& laggard : rollout->laggards) {
    entries.push_back(laggard.entry);
  }
  const auto answers = FetchStatuses(entries, kCallTimeout);
  std::vector<Laggard> left;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    Laggard laggard{entries[i], false, 0, ""};
    if (!answers[i].value) {
      laggard.reason = answers[i].error.message();
      left.push_back(std::move(laggard));
      continue;
    }
    const CoreStatus& status = answers[i].value->status;
    laggard.reached = true;
    laggard.version = status.configuration_version;
    laggard.entry.process = status.process;
    laggard.entry.data_center = status.data_center;
    rollout->highest = std::max(rollout->highest, laggard.version);
    if (laggard.version >= version) {
      rollout->in_force.push_back(laggard.entry);
    } else {
      left.push_back(std::move(laggard));
    }
  }
  rollout->laggards = std::move(left);
}

}  // namespace

Rollout WaitUntilInForce(std::vector<Entry> entries,
                         ConfigurationVersion version, Duration timeout) {
  const Instant deadline = SteadyNow() + timeout;
  Rollout rollout;
  for (Entry& entry : entries) {
    rollout.laggards.push_back({std::move(entry), false, 0, "not asked"});
  }
  Poll(version, &rollout);
  while (!rollout.laggards.empty() && SteadyNow() < deadline) {
    std::this_thread::sleep_for(kPollPause);
    Poll(version, &rollout);
  }
  return rollout;
}

std::string CountByDataCenter(const std::vector<Entry>& entries) {
  std::map<DataCenterId, int> counts;
  for (const Entry& entry : entries) ++counts[entry.data_center];
  std::string text;
  for (const auto& [data_center, count] : counts) {
    if (!text.empty()) text += ", ";
    text += data_center.Text() + ": " + std::to_string(count);
  }
  return text;
}

}  // namespace mustardproxy::ctl
