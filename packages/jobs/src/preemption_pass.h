#ifndef MUSTARDPROXY_JOBS_PREEMPTION_PASS_H_
#define MUSTARDPROXY_JOBS_PREEMPTION_PASS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "owner_context.h"
#include "pass_capacity.h"
#include "preemption.h"
#include "scheduling_unit.h"

namespace mustardproxy::jobs {

/// Makes room for the urgent steps of one service during one pass over the
/// queue: stops runs of lower priority, and keeps lower-ranked steps from the
/// capacity that is being gathered. See Preemption for the decision.
class PreemptionPass {
 public:
  /// Latest start times of an open step, as if it were to start.
  using FindDeadlines =
      std::function<StartDeadlines(JobEntry* entry, const StepRef& step)>;

  PreemptionPass(OwnerContext* context, const PassCapacity& capacities,
                 const ServiceId& service, Instant now,
                 FindDeadlines find_deadlines);

  /// @return true if runs may be stopped for the unit once it lacks capacity
  [[nodiscard]] static bool MayPreempt(const SchedulingUnit& unit);
  /// Handles a unit for which MayPreempt holds and that was not placed whole;
  /// units are to be given in order of rank.
  /// @return true if another pass should follow after `kShortageWait`
  [[nodiscard]] bool Handle(const SchedulingUnit& unit);

 private:
  /// The runs of one candidate.
  using Runs = std::vector<std::pair<WorkerSession*, RunRef>>;
  /// What all runs of a step have in common.
  struct StepFacts {
    JobEntry* entry = nullptr;
    const Step* step = nullptr;
    StartDeadlines deadlines;
  };

  void AddWorkers(std::span<WorkerCapacity* const> all,
                  std::int64_t total_cpu_milli);
  void AddVictims();
  void AddVictimsAt(std::size_t worker, WorkerSession* session);
  void AddGangs();
  [[nodiscard]] const StepFacts& FactsOf(const StepRef& step);
  [[nodiscard]] PreemptionVictim MakeVictim(const StepFacts& facts,
                                            const RunRef& run,
                                            const SessionRun& record) const;
  [[nodiscard]] std::vector<UrgentPlace> Places(const SchedulingUnit& unit);
  void Hold(const SchedulingUnit& unit, const PreemptionPlan& plan);

  OwnerContext* context;
  Instant now;
  FindDeadlines find_deadlines;
  std::optional<Preemption> decision;
  /// The workers, by their index in the decision.
  std::vector<WorkerCapacity*> workers;
  /// Whether runs are being preempted there.
  std::vector<bool> preempting;
  std::map<SessionNumber, std::size_t> index_of;
  bool has_victims = false;
  /// Units and searches for runs to stop that this pass may still handle.
  std::size_t units_left;
  std::size_t searches_left;
  /// Runs of each candidate, by its index in the decision.
  std::vector<Runs> runs;
  std::map<StepRef, StepFacts> facts;
  /// Candidates that are gangs, by step and run number, until they are added.
  std::map<std::pair<StepRef, RunNumber>, std::pair<PreemptionVictim, Runs>>
      gangs;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PREEMPTION_PASS_H_
