#include "outage_detector.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum difference between the times at which workers of one outage stop
/// responding: a hold without a response ends with its timeout.
constexpr Duration kSpread = milliseconds(500);
/// The same if both times are exact.
constexpr Duration kExactSpread = milliseconds(60);
/// Must exceed the time from the first missing response of a worker to its
/// loss, for all workers of one outage.
constexpr Duration kLossRetention = seconds(30);
/// An outage affects at least one in six workers, and at least eight. This is
/// more than tasks that are each started once can crash at the same time.
constexpr std::size_t kWorkersPerOutage = 6;
constexpr std::size_t kMinOutageWorkers = 8;

bool WentDownTogether(const DownWorker& a, const DownWorker& b) {
  const Duration spread = a.exact && b.exact ? kExactSpread : kSpread;
  return a.since >= b.since - spread && a.since <= b.since + spread;
}

void Add(const DownWorker& down, Outage* outage) {
  if (!outage->workers.insert(down.worker).second || down.quarantined) return;
  ++outage->unexplained;
  for (const JobId& job : down.jobs) ++outage->workers_by_job[job];
}

}  // namespace

bool Outage::RulesOutAsCause(const JobId& job) const {
  const auto found = this->workers_by_job.find(job);
  const std::size_t own =
      found == this->workers_by_job.end() ? 0 : found->second;
  return this->unexplained - own >= this->min_unrelated_workers;
}

void OutageDetector::Note(DownWorker down) {
  const Instant old = down.since - kLossRetention;
  while (!this->lost.empty() && this->lost.front().since < old) {
    this->lost.pop_front();
  }
  this->lost.push_back(std::move(down));
}

Outage OutageDetector::FindOutage(const DownWorker& down,
                                  std::span<const DownWorker> silent,
                                  std::size_t workers) const {
  Outage outage;
  outage.min_unrelated_workers =
      std::max(workers / kWorkersPerOutage, kMinOutageWorkers);
  Add(down, &outage);
  for (const DownWorker& one : this->lost) {
    if (WentDownTogether(one, down)) Add(one, &outage);
  }
  for (const DownWorker& one : silent) {
    if (WentDownTogether(one, down)) Add(one, &outage);
  }
  return outage;
}

}  // namespace mustardproxy::jobs
