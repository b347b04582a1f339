#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_VICTIM_SEARCH_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_VICTIM_SEARCH_H_

#include <vector>

#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/scheduler.h"
#include "scheduler/scheduler_state.h"

namespace mustardproxy::detail {

/// See `Scheduler::ChooseVictims`. Marks the selected tasks as preempted.
/// Urgent tasks for which earlier calls selected victims that are still running
/// are not counted again.
[[nodiscard]] std::vector<Preemption> SearchVictims(const Ledger& ledger,
                                                    SchedulerState* state);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_VICTIM_SEARCH_H_
