#ifndef MUSTARDPROXY_JOBS_GANG_RESERVATIONS_H_
#define MUSTARDPROXY_JOBS_GANG_RESERVATIONS_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "owner_context.h"
#include "permission_broker.h"

namespace mustardproxy::jobs {

/// @return true if one more gang, however wide, may reserve its capacity before
///   it asks
///
/// Failure guarded against: if the size of the asking gang counted too, a
/// constant stream of narrow gangs would never leave enough for a wide one,
/// even in a nearly empty cell.
///
/// @param used_share share of the cell that runs and reservations occupy
[[nodiscard]] bool MayReserve(std::int64_t reserved_cpu_milli,
                              std::int64_t cell_cpu_milli, double used_share);

/// Gangs whose capacity is reserved while the policy service is asked for
/// permission to start exactly there.
///
/// Failure guarded against: a gang asks for permissions first and takes its
/// capacity afterwards. The question takes up to a second, part of the capacity
/// is taken meanwhile, and the permissions expire before it is free again. A
/// wide gang then asks repeatedly and never starts, and such questions keep the
/// policy service busy for all. With its capacity reserved, it asks once.
class GangReservations {
 public:
  explicit GangReservations(OwnerContext* context);

  /// Reserves the capacity that the runs of a gang occupy. The runs are sent
  /// once they are stored and all permissions are valid.
  /// @param workers one for each run
  void Add(std::vector<RunRef> runs, std::vector<WorkerIncarnation> workers);
  /// Called when the runs of a reservation have been stored.
  void OnStored(const RunRef& first);
  /// Called when a question about the step was answered or has failed.
  void OnAnswer(const StepRef& step);
  /// Called when a worker has answered a hold or left one unanswered.
  void OnContact();
  /// Checks all reservations: some were stopped elsewhere or have timed out.
  void CheckAll();

  [[nodiscard]] bool Holds(const StepRef& step) const;
  /// @param capacity of the service's workers, free or not
  /// @param free what neither runs nor reservations occupy
  /// @return true if one more gang may reserve its capacity before it asks
  [[nodiscard]] bool MayAdd(const Resources& capacity,
                            const Resources& free) const;
  /// @return the workers of a reservation whose permissions would not be valid
  ///   when the answer arrives
  [[nodiscard]] std::vector<AskedWorker> WorkersToAsk(const StepRef& step);

 private:
  struct Reservation {
    std::vector<RunRef> runs;
    std::vector<WorkerIncarnation> workers;
    bool stored = false;
    /// When the capacity was reserved, or, later, when the runs were stored.
    Instant since;
    std::int64_t cpu_milli = 0;
    /// Whether a permission is still missing.
    bool awaits_permission = false;
    /// In a large cell, since when answers of its idle workers are awaited.
    std::optional<Instant> contacting_since;
  };

  void Check(const StepRef& step);
  /// @return true if each of its runs is still planned and not stopping
  [[nodiscard]] bool AllRunsPlanned(const Reservation& reservation);
  [[nodiscard]] bool IsRefused(const StepRef& step,
                               const Reservation& reservation);
  /// @return the workers whose permission is not valid at `moment`
  [[nodiscard]] std::vector<AskedWorker> Unpermitted(
      const StepRef& step, const Reservation& reservation, Instant moment);
  /// In a large cell, asks idle workers of the gang for an answer.
  /// @return true if no answer is awaited
  bool InContact(Reservation* reservation);
  /// @return true if a worker of the gang does not answer
  [[nodiscard]] bool HasSilent(const Reservation& reservation);
  void Send(const StepRef& step);
  void Ask(const StepRef& step);
  /// @param backoff how long the gang leaves the capacity to others
  void GiveUp(const StepRef& step, std::string_view reason, Duration backoff);

  OwnerContext* context;
  std::map<StepRef, Reservation> reservations;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_GANG_RESERVATIONS_H_
