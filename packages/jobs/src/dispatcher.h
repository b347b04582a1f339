#ifndef MUSTARDPROXY_JOBS_DISPATCHER_H_
#define MUSTARDPROXY_JOBS_DISPATCHER_H_

#include <cstdint>
#include <vector>

#include "guard.h"
#include "owner_context.h"
#include "placement.h"

namespace mustardproxy::jobs {

struct StepAdvice;

/// Tasks of one step that may start now.
struct Unit {
  JobEntry* entry = nullptr;
  const Queue* queue = nullptr;
  const Step* step = nullptr;
  StepEntry* progress = nullptr;
  StepRef ref;
  std::vector<std::int32_t> tasks;
  /// What is left of the job's worth if it starts now.
  enum class Hope { kInTime, kLate, kNone } hope = Hope::kInTime;
  /// When the step has to be begun for the job to be done in time: a gang's
  /// room has to be gathered before it can start.
  Instant begin_by;
};

/// Decides which tasks start next and where: a pass over all that may start, in
/// order of rank, whenever something has changed.
class Dispatcher {
 public:
  explicit Dispatcher(OwnerContext* context);

  /// Has a pass made soon.
  void Kick();
  /// Workers to ask the policy service about for a step.
  [[nodiscard]] std::vector<WorkerId> ChooseForAdvice(const StepRef& ref);

 private:
  void Pass();
  std::vector<Unit> CollectUnits(Instant now);
  void CollectUnits(JobEntry* entry, Instant now, std::vector<Unit>* units);
  /// @return the time from a job's acceptance in which it should be done
  Duration Objective(const Unit& unit) const;
  void Rank(Unit* unit, Duration objective, Instant now) const;
  void AllowForGathering(std::vector<Unit>* units, std::vector<Room>* rooms,
                         Instant now) const;
  /// Rooms that a gang may use, with permissions or without.
  std::vector<Candidate> GangCandidates(const Unit& unit,
                                        std::vector<Room>* rooms,
                                        Instant now) const;
  std::vector<Room> CollectRooms(Instant now);
  void PlaceUnit(Unit* unit, std::vector<Room>* rooms, Instant now);
  std::vector<Candidate> Candidates(const Unit& unit, std::vector<Room>* rooms,
                                    Instant now) const;
  /// Those that the policy service has not refused for the step.
  std::vector<Candidate> Unrefused(const Unit& unit, const StepAdvice& advice,
                                   std::vector<Room>* rooms, Instant now) const;
  void Start(Unit* unit, const std::vector<WorkerId>& workers);
  void ConsiderAdvice(const Unit& unit, std::vector<Room>* rooms, Instant now);
  void HoldForGang(const Unit& unit, std::vector<Room>* rooms, Instant now);
  Unit MakeUnit(JobEntry* entry, const StepRef& ref) const;

  OwnerContext* context;
  bool kicked = false;
  Instant last_pass;
  Guard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_DISPATCHER_H_
