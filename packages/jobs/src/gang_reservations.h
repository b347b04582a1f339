#ifndef MUSTARDPROXY_JOBS_GANG_RESERVATIONS_H_
#define MUSTARDPROXY_JOBS_GANG_RESERVATIONS_H_

#include <map>
#include <string_view>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "owner_context.h"
#include "permission_broker.h"

namespace mustardproxy::jobs {

/// @return true if one more gang, however wide, may take its room before it
/// asks
///
/// Failure guarded against: the size of the one that asks counts too, and while
/// narrow gangs come all the time a wide one never finds enough left; it stayed
/// behind in a cell that was nearly empty.
[[nodiscard]] bool MayReserve(std::int64_t reserved_cpu_milli,
                              std::int64_t cell_cpu_milli);

/// Gangs whose room is taken while the policy service is asked for permission
/// to start exactly there.
///
/// Failure guarded against: a gang asks for permissions first and takes its
/// room when they are there. The question takes up to a second, the room is
/// partly gone by then, and the permissions lapse before it is back: a wide
/// gang asks again and again and never starts, and the questions of such gangs
/// keep the policy service busy for all. With its room taken it asks once.
class GangReservations {
 public:
  explicit GangReservations(OwnerContext* context);

  /// The runs of a gang have taken their room; they are sent once they are
  /// stored and all permissions hold.
  /// @param workers one for each run
  void Add(std::vector<RunRef> runs, std::vector<WorkerIncarnation> workers);
  /// The runs of a reservation have been written down.
  void OnStored(const RunRef& first);
  /// A question about the step was answered, or failed.
  void OnAnswer(const StepRef& step);
  /// Looks at all reservations: some were given up on elsewhere, or last too
  /// long.
  void CheckAll();

  [[nodiscard]] bool Holds(const StepRef& step) const;
  /// @param cell_cpu_milli processors of the service's workers
  /// @return true if one more gang may take its room before it asks
  [[nodiscard]] bool MayAdd(std::int64_t cell_cpu_milli) const;
  /// @return the workers of a reservation whose permissions would not hold when
  ///   the answer comes
  [[nodiscard]] std::vector<AskedWorker> WorkersToAsk(const StepRef& step);

 private:
  struct Reservation {
    std::vector<RunRef> runs;
    std::vector<WorkerIncarnation> workers;
    bool stored = false;
    /// When its room was taken, or its runs were stored.
    Instant since;
    std::int64_t cpu_milli = 0;
    /// Its question is still to be answered.
    bool awaits_permission = false;
  };

  void Check(const StepRef& step);
  /// @return true if each of its runs still waits to be sent
  [[nodiscard]] bool AllRunsPlanned(const Reservation& reservation);
  [[nodiscard]] bool IsRefused(const StepRef& step,
                               const Reservation& reservation);
  /// @return the workers whose permission does not hold at `moment`
  [[nodiscard]] std::vector<AskedWorker> Unpermitted(
      const StepRef& step, const Reservation& reservation, Instant moment);
  void Send(const StepRef& step);
  void Ask(const StepRef& step);
  void GiveUp(const StepRef& step, std::string_view reason);

  OwnerContext* context;
  std::map<StepRef, Reservation> reservations;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_GANG_RESERVATIONS_H_
