#ifndef MUSTARDPROXY_JOBS_DISPATCHER_H_
#define MUSTARDPROXY_JOBS_DISPATCHER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "callback_guard.h"
#include "owner_context.h"
#include "pass_capacity.h"
#include "permission_broker.h"
#include "placement.h"
#include "scheduling_unit.h"
#include "wait_report.h"

namespace mustardproxy::jobs {

/// Which permissions count when rooms are looked for.
enum class PermitFilter {
  /// Those that still hold when a start sent now arrives.
  kValid,
  /// All that were ever given, also those that have lapsed or were turned down:
  /// that a worker may run a step stays true for its life.
  kKnown,
};

/// Decides which tasks start next and where: a pass over all that may start, in
/// order of rank, whenever something has changed.
class Dispatcher {
 public:
  explicit Dispatcher(OwnerContext* context);

  /// Has a pass made soon.
  void SchedulePass();
  /// Workers to ask the policy service about for a step.
  [[nodiscard]] std::vector<AskedWorker> ChooseForAdvice(const StepRef& ref);

 private:
  void Pass();
  /// Takes note of whether a worker does not answer.
  void UpdateAnySilent();
  /// Takes note of the workers whose health has changed.
  void UpdateEjected(Instant now);
  std::vector<SchedulingUnit> CollectUnits(Instant now);
  void CollectUnits(JobEntry* entry, Instant now,
                    std::vector<SchedulingUnit>* units);
  /// Takes the suspicious tasks out of a unit, and all others while it is not
  /// known whether these are sound.
  /// @return a unit of the one that may start next, if any
  std::optional<SchedulingUnit> SplitSuspicious(SchedulingUnit* unit) const;
  /// @return true if a task of the step is suspicious and none is known to be
  ///   sound
  bool IsUnproven(const SchedulingUnit& unit) const;
  /// @return true if a worker fell silent that was told to start a run of the
  ///   step, and was not seen running it
  bool MayHaveCrashedWorker(const SchedulingUnit& unit) const;
  /// @return the run of a task if it is open, else null
  const SessionRun* FindRun(const TaskRef& ref, const TaskEntry& task) const;
  const SessionRun* FindRun(const SchedulingUnit& unit,
                            std::size_t index) const;
  /// @return true if a worker is kept for a task of the job
  bool HasQuarantined(const JobEntry& entry) const;
  /// @return the time from a job's acceptance in which it should be done
  Duration Objective(const SchedulingUnit& unit) const;
  void Rank(SchedulingUnit* unit, Duration objective, Instant now) const;
  void AdvanceGangStartTimes(std::vector<SchedulingUnit>* units,
                             const PassCapacity& capacities, Instant now) const;
  void PlaceUnit(SchedulingUnit* unit, const PassCapacity& capacities,
                 Instant now);
  /// @return true if a gang's room is there, permissions that have lapsed aside
  bool HasCapacity(const SchedulingUnit& unit, const PassCapacity& capacities,
                   Instant now) const;
  /// @return true if one more gang may take its room before it asks
  bool MayReserveCapacity(const SchedulingUnit& unit,
                          const PassCapacity& capacities) const;
  /// Starts a suspicious task where the fewest others run.
  void PlaceQuarantined(SchedulingUnit* unit, const PassCapacity& capacities,
                        Instant now);
  /// @return true if one more worker may be kept for a suspicious task
  bool MayQuarantine() const;
  /// Starts what fits of the unit, a gang only whole.
  void PlaceOn(SchedulingUnit* unit, std::vector<Candidate> candidates);
  /// Rooms that the step may use, permissions aside.
  std::vector<Candidate> Candidates(const SchedulingUnit& unit,
                                    const PassCapacity& capacities,
                                    Instant now) const;
  /// Rooms on workers that may run the step.
  std::vector<Candidate> Permitted(const SchedulingUnit& unit,
                                   const PassCapacity& capacities, Instant now,
                                   PermitFilter need) const;
  /// Rooms that a gang may use, whether its permissions have lapsed or not.
  std::vector<Candidate> GangCandidates(const SchedulingUnit& unit,
                                        const PassCapacity& capacities,
                                        Instant now) const;
  void AddCandidate(const SchedulingUnit& unit, WorkerCapacity* capacity,
                    Instant end, std::vector<Candidate>* candidates) const;
  /// @return workers that a question about the step would be about; none if it
  ///   would not help
  std::vector<AskedWorker> WorkersToAsk(const SchedulingUnit& unit,
                                        const PassCapacity& capacities,
                                        Instant now) const;
  Instant ExpectedEnd(const SchedulingUnit& unit, Instant now) const;
  void Start(SchedulingUnit* unit,
             const std::vector<WorkerIncarnation>& workers);
  void RequestAdviceIfUseful(const SchedulingUnit& unit,
                             const PassCapacity& capacities, Instant now);
  void HoldForGang(const SchedulingUnit& unit, const PassCapacity& capacities,
                   Instant now);
  /// @return what a step that waits has
  WaitFacts CollectWaitFacts(const SchedulingUnit& unit,
                             const PassCapacity& capacities, Instant now) const;
  SchedulingUnit MakeUnit(JobEntry* entry, const StepRef& ref) const;

  OwnerContext* context;
  WaitReport waits;
  bool pass_scheduled = false;
  /// In this pass: a worker that runs something does not answer.
  bool any_silent = false;
  Instant last_pass;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_DISPATCHER_H_
