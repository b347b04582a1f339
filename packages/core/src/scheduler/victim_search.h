#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_VICTIM_SEARCH_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_VICTIM_SEARCH_H_

#include <vector>

#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/scheduler.h"
#include "scheduler/scheduler_state.h"

namespace mustardproxy::detail {

/// See `Scheduler::ChooseVictims`. Chosen tasks are marked as stopping; room
/// already pending by earlier ones is not asked for again.
[[nodiscard]] std::vector<Preemption> SearchVictims(const Ledger& ledger,
                                                    SchedulerState* state);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_VICTIM_SEARCH_H_
