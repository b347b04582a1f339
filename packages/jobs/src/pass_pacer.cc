#include "pass_pacer.h"

#include <algorithm>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Share of the control thread that passes may take.
constexpr double kMaxPassShare = 0.3;
/// Upper bound of the interval; an urgent step waits for it at most.
constexpr Duration kMaxPassInterval = milliseconds(250);

}  // namespace

void PassPacer::Note(Instant begun, Duration took) {
  const Duration paced(static_cast<std::int64_t>(
      static_cast<double>(took.count()) / kMaxPassShare));
  this->next_at = begun + std::clamp(paced, kPassInterval,
                                     std::max(kMaxPassInterval, took));
}

}  // namespace mustardproxy::jobs
