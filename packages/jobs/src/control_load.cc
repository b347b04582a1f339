#include "control_load.h"

#include <utility>

namespace mustardproxy::jobs {
namespace {

/// Shorter work is counted but not sampled: thousands of answers a second take
/// less than this.
constexpr Duration kMinSample = std::chrono::milliseconds(1);

}  // namespace

std::string_view Name(ControlWork work) {
  switch (work) {
    case ControlWork::kPass:
      return "pass";
    case ControlWork::kLoad:
      return "load";
    case ControlWork::kAnswer:
      break;
  }
  return "answer";
}

void ControlLoad::Note(ControlWork work, Duration took) {
  this->spent.at(static_cast<std::size_t>(work)) += took;
  if (took < kMinSample) return;
  this->metrics->Sample("control_work_us", "kind=" + std::string(Name(work)),
                        static_cast<double>(took.count()));
}

std::string ControlLoad::TakeSummary() {
  std::string summary;
  for (std::size_t i = 0; i < kKinds; ++i) {
    const Duration took = std::exchange(this->spent.at(i), Duration::zero());
    if (!summary.empty()) summary += ' ';
    summary += std::string(Name(static_cast<ControlWork>(i))) + "=" +
               std::to_string(WholeMilliseconds(took));
  }
  return summary;
}

}  // namespace mustardproxy::jobs
