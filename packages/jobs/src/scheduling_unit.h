#ifndef MUSTARDPROXY_JOBS_SCHEDULING_UNIT_H_
#define MUSTARDPROXY_JOBS_SCHEDULING_UNIT_H_

#include <cstdint>
#include <vector>

#include "job_table.h"
#include "start_deadlines.h"

namespace mustardproxy::jobs {

/// Tasks of one step that may start now.
struct SchedulingUnit {
  JobEntry* entry = nullptr;
  const Queue* queue = nullptr;
  const Step* step = nullptr;
  StepEntry* progress = nullptr;
  StepRef ref;
  std::vector<std::int32_t> tasks;
  /// Starting it takes its team beyond its share; see ShareOrder and JobEntry.
  bool beyond_share = false;
  /// Whether its only task may crash its worker and therefore starts apart from
  /// others.
  bool quarantined = false;
  /// Since when that task has waited.
  Instant waiting_since;
  StartDeadlines deadlines;
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  /// When the step must start for its job to be done in time. Earlier for a
  /// gang, which has to gather its capacity first.
  Instant start_by;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_SCHEDULING_UNIT_H_
