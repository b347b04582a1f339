#include "submission_rates.h"

namespace mustardproxy::jobs {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;
/// Earlier seconds are forgotten; jobs are read at the latest this long after
/// their acceptance.
constexpr std::int64_t kKeptSeconds = 600;

}  // namespace

bool SubmissionRates::NoteAndCheckExcess(const TeamId& team,
                                         std::int64_t accepted_unix_ms,
                                         double weight) {
  const std::int64_t second = accepted_unix_ms / kMillisPerSecond;
  Seconds& seconds = this->teams[team];
  const std::int64_t before = seconds[second]++;
  seconds.erase(seconds.begin(),
                seconds.lower_bound(seconds.rbegin()->first - kKeptSeconds));
  return static_cast<double>(before) >= weight;
}

}  // namespace mustardproxy::jobs
