#ifndef MUSTARDPROXY_JOBS_DISPATCHER_H_
#define MUSTARDPROXY_JOBS_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "advice_selection.h"
#include "callback_guard.h"
#include "owner_context.h"
#include "pass_capacity.h"
#include "pass_pacer.h"
#include "permission_broker.h"
#include "placement.h"
#include "preemption_pass.h"
#include "scheduling_unit.h"
#include "share_order.h"
#include "wait_report.h"

namespace mustardproxy::jobs {

/// Which permissions count in a search for capacity.
enum class PermitFilter {
  /// Permissions that are still valid when a start sent now arrives.
  kValid,
  /// All permissions ever granted, including those that have expired or were
  /// rejected by the worker: a permitted worker stays permitted for its
  /// incarnation.
  kKnown,
};

/// What a question to the policy service is for.
enum class AskPurpose {
  /// The step knows too little capacity.
  kLearn,
  /// Others hold part of what it knows, and elsewhere enough is free to start.
  kStart,
};

/// Decides which tasks start next and where. After every change it makes a pass
/// over all startable tasks in order of rank.
class Dispatcher {
 public:
  explicit Dispatcher(OwnerContext* context);

  /// Schedules a pass; calls before it are merged into one pass.
  void SchedulePass();
  /// @return the workers to ask the policy service about for a step
  [[nodiscard]] std::vector<AskedWorker> ChooseForAdvice(const StepRef& ref);
  /// Shares of the teams as of the last pass; without meaning unless
  /// `OverloadControl::team_shares` is set.
  [[nodiscard]] const TeamShares& Shares() const {
    return this->share_order.Shares();
  }

 private:
  /// Capacity of a worker that waits for a gang.
  struct HeldCapacity {
    SessionNumber session = 0;
    Instant until;
    StepRef holder;
  };

  void Pass();
  /// Starts what can start now, in order of rank.
  void PlaceAll(Instant now);
  /// Makes room for an urgent unit that was not placed whole.
  /// @param passes one for each service with such units
  void MakeRoom(const SchedulingUnit& unit, const PassCapacity& capacities,
                Instant now, std::map<ServiceId, PreemptionPass>* passes);
  /// Records the workers whose health has changed.
  void UpdateEjected(Instant now);
  std::vector<SchedulingUnit> CollectUnits(Instant now);
  void CollectUnits(JobEntry* entry, Instant now,
                    std::vector<SchedulingUnit>* units);
  /// Removes the suspicious tasks from a unit, and all other tasks too while
  /// the step is unproven.
  /// @return a unit with the suspicious task that may start next, if any
  std::optional<SchedulingUnit> SplitSuspicious(SchedulingUnit* unit) const;
  /// @return true if a task of the step is suspicious and no run has proven the
  ///   step harmless
  bool IsUnproven(const SchedulingUnit& unit) const;
  /// @return true if a worker stopped answering after a run of the step was
  ///   ordered and before the run was seen running
  bool MayHaveCrashedWorker(const SchedulingUnit& unit) const;
  /// @return the run of a task if the task is open, else null
  const SessionRun* FindRun(const TaskRef& ref, const TaskEntry& task) const;
  const SessionRun* FindRun(const SchedulingUnit& unit,
                            std::size_t index) const;
  /// @return true if a worker is quarantined for a task of the job
  bool HasQuarantined(const JobEntry& entry) const;
  /// @return the time after its acceptance within which a job should be done
  Duration Objective(const SchedulingUnit& unit) const;
  void Rank(SchedulingUnit* unit, Duration objective, Instant now) const;
  /// Has a unit with preempted tasks precede others of its class.
  static void AdvancePreempted(SchedulingUnit* unit);
  /// @return the latest start times of an open step
  [[nodiscard]] StartDeadlines DeadlinesOf(JobEntry* entry, const StepRef& ref,
                                           Instant now) const;
  void AdvanceGangStartTimes(std::vector<SchedulingUnit>* units,
                             const PassCapacity& capacities, Instant now) const;
  /// Removes the tasks that may not start now because their team would exceed
  /// its cap.
  /// @return false if none is left
  bool LimitToCap(SchedulingUnit* unit) const;
  /// Removes the units that their teams' caps keep from starting.
  void RemoveCapped(std::vector<SchedulingUnit>* units, Instant now);
  void ReportCapped(const SchedulingUnit& unit, Instant now);
  void PlaceUnit(SchedulingUnit* unit, const PassCapacity& capacities,
                 Instant now);
  /// @return true if capacity for the whole gang is free, including on workers
  ///   whose permissions have expired
  bool HasCapacity(const SchedulingUnit& unit, const PassCapacity& capacities,
                   Instant now) const;
  /// @return true if one more gang may take its capacity before it asks
  bool MayReserveCapacity(const SchedulingUnit& unit,
                          const PassCapacity& capacities) const;
  /// Starts a suspicious task on the worker with the fewest other runs.
  void PlaceQuarantined(SchedulingUnit* unit, const PassCapacity& capacities,
                        Instant now);
  /// @return true if one more worker may be quarantined for a suspicious task
  bool MayQuarantine() const;
  /// Starts those tasks of the unit that fit; a gang starts whole or not at
  /// all.
  void PlaceOn(SchedulingUnit* unit, std::vector<Candidate> candidates);
  /// @return capacity that the step may use, regardless of permissions
  std::vector<Candidate> Candidates(const SchedulingUnit& unit,
                                    const PassCapacity& capacities,
                                    Instant now) const;
  /// @return capacity on workers that are permitted to run the step
  std::vector<Candidate> Permitted(const SchedulingUnit& unit,
                                   const PassCapacity& capacities, Instant now,
                                   PermitFilter need) const;
  /// @return capacity that a gang may use, including where its permissions have
  ///   expired
  std::vector<Candidate> GangCandidates(const SchedulingUnit& unit,
                                        const PassCapacity& capacities,
                                        Instant now) const;
  void AddCandidate(const SchedulingUnit& unit, WorkerCapacity* capacity,
                    Instant end, std::vector<Candidate>* candidates) const;
  /// @return the workers that a question about the step would name; empty if a
  ///   question would not help
  std::vector<AskedWorker> WorkersToAsk(const SchedulingUnit& unit,
                                        const PassCapacity& capacities,
                                        Instant now, AskPurpose purpose) const;
  /// @return capacity that a question about the step may be about: all of a
  ///   small cell; otherwise workers known to be permitted and a bounded number
  ///   of others
  std::vector<Candidate> CandidatesToAsk(
      const SchedulingUnit& unit, const PassCapacity& capacities,
      const AdviceSelectionInput& input) const;
  /// Counts the tasks of the step that already run on each candidate.
  void SetSiblings(const SchedulingUnit& unit,
                   std::vector<Candidate>* candidates) const;
  Instant ExpectedEnd(const SchedulingUnit& unit, Instant now) const;
  void Start(SchedulingUnit* unit,
             const std::vector<WorkerIncarnation>& workers);
  /// Counts starts for the load forecast.
  void NoteStart(const SchedulingUnit& unit, std::int64_t tasks) const;
  void RequestAdviceIfUseful(const SchedulingUnit& unit,
                             const PassCapacity& capacities, Instant now);
  void HoldForGang(const SchedulingUnit& unit, const PassCapacity& capacities,
                   Instant now);
  /// Keeps what other gangs held in the last pass from a question about `step`.
  /// @return false if they held nothing
  bool ApplyHolds(const StepRef& step);
  /// @return the state of a waiting step, for the wait report
  WaitFacts CollectWaitFacts(const SchedulingUnit& unit,
                             const PassCapacity& capacities, Instant now) const;
  /// Predicts the wait of new jobs from what the pass has left.
  void ForecastLoad(const std::vector<SchedulingUnit>& units,
                    const PassCapacity& capacities, Instant now);
  SchedulingUnit MakeUnit(JobEntry* entry, const StepRef& ref) const;

  OwnerContext* context;
  WaitReport waits;
  ShareOrder share_order;
  PassCapacity pass_capacity;
  /// A question may be sent in the course of a pass.
  PassCapacity ask_capacity;
  /// What gangs held in the last pass, or so far in this one.
  std::vector<HeldCapacity> held;
  bool pass_scheduled = false;
  PassPacer pacer;
  /// Checks whether to ask the policy service that this pass may still make.
  std::size_t ask_checks_left = 0;
  /// Steps that may still ask for the first time in this pass.
  std::size_t first_asks_left = 0;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_DISPATCHER_H_
