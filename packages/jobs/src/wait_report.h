#ifndef MUSTARDPROXY_JOBS_WAIT_REPORT_H_
#define MUSTARDPROXY_JOBS_WAIT_REPORT_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "placement.h"
#include "scheduling_unit.h"

namespace mustardproxy::jobs {

/// What prevents a step from starting.
enum class WaitReason {
  /// Its team would exceed its cap.
  kTeamCap,
  /// No worker has the required label and could hold one of its tasks.
  kNoWorker,
  /// Only workers in evacuated data centres could hold its tasks.
  kEvacuated,
  /// Too few workers are known to be permitted.
  kPermissions,
  /// The permitted workers have too little free capacity now.
  kRoom,
  /// The same, and the step comes after those of other teams because its team
  /// is beyond its share.
  kShare,
  /// The permitted workers have capacity, but their permissions have expired.
  kLapsed,
  /// Workers were lost while running it, and the maximum number of workers is
  /// quarantined already.
  kQuarantine,
  /// Nothing: it should start in the next pass.
  kNone,
};

/// @return `team-cap`, `no-worker`, `evacuated`, `permissions`, `room`,
///   `share`, `lapsed`, `quarantine` or `none`
[[nodiscard]] std::string_view Name(WaitReason reason);

/// The event that ends the wait of a step.
enum class UnblockEvent {
  /// The answer to a question that is queued or in flight.
  kAnswer,
  /// A question that will be asked.
  kQuestion,
  /// The next pass: some tasks of the step were placed, and the others may only
  /// run on a worker where one of them has failed.
  kPass,
  /// Gangs that have reserved capacity start or release it.
  kReservations,
  /// Runs on the workers end.
  kRuns,
  /// Runs of its team end.
  kTeamRuns,
  /// Operators raise the cap of its team: alone it exceeds the cap.
  kCapRaised,
  /// Another suspicious task is proven harmless, or its worker is lost.
  kQuarantine,
  /// A gang that holds capacity starts.
  kHold,
  /// Operators cancel the evacuation of a data centre.
  kEvacuationCancelled,
  /// A worker joins or returns: all workers are known, and their capacity would
  /// not suffice even if they were idle.
  kWorkers,
  /// No event would end the wait: a bug in the scheduler.
  kNothing,
};

/// @return `answer`, `question`, `pass`, `reservations`, `runs`, `team-runs`,
///   `cap-raised`, `quarantine`, `hold`, `evacuation-cancelled`, `workers` or
///   `nothing`
[[nodiscard]] std::string_view Name(UnblockEvent end);

/// State of a waiting step, counted in its own tasks.
struct WaitFacts {
  /// All tasks start together or none does.
  bool gang = false;
  /// Workers were lost while running it, and it starts apart from others.
  bool quarantined = false;
  /// Minimum number of tasks that start together.
  std::int64_t needed = 1;
  /// Workers that could hold a task if they were idle, regardless of
  /// permissions.
  std::int64_t eligible = 0;
  /// The queue has a policy; without one all workers are permitted.
  bool has_policy = false;
  std::int64_t permitted = 0;
  std::int64_t refused = 0;
  /// Tasks that fit on the permitted workers if those were idle, and now.
  std::int64_t could_fit = 0;
  std::int64_t room = 0;
  /// Tasks that fit on idle permitted workers in evacuated data centres.
  std::int64_t evacuated_fit = 0;
  /// Part of `room` on workers with valid permissions.
  std::int64_t fresh_room = 0;
  /// Eligible workers on which a gang holds capacity.
  std::int64_t held = 0;
  /// A question about the step is queued or in flight.
  bool asking = false;
  /// A question would name at least one worker.
  bool helped_by_question = false;
  /// Gangs that wait for permissions have reserved as much capacity as allowed.
  bool room_taken_by_gangs = false;
  /// It fits after enough runs have ended: a gang on workers known to be
  /// permitted, another task on workers that are not refused.
  bool fits_later = false;
  /// It comes later because its team is beyond its share while others wait.
  bool beyond_share = false;
  /// The cap of its team keeps it from starting.
  bool capped = false;
  /// Share of the processors of its service that is free.
  double free_share = 0.0;
  /// Even alone it would exceed that cap.
  bool exceeds_cap = false;
  /// The cap, and what runs of the team take; set if `capped`.
  Resources cap;
  Resources team_used;

  /// @return true if it fits only together with evacuated data centres
  [[nodiscard]] bool NeedsEvacuated() const;
  [[nodiscard]] WaitReason Reason() const;
  [[nodiscard]] UnblockEvent NextUnblockEvent() const;
};

/// Reports what steps wait for: one line per step every two seconds, with a
/// bounded total rate, and a counter by reason.
class WaitReport {
 public:
  WaitReport(EventLog* log, Metrics* metrics);

  /// @return true if the step has waited long enough and is to be reported now
  [[nodiscard]] bool Due(const SchedulingUnit& unit, Instant now);
  void Write(const SchedulingUnit& unit, const WaitFacts& facts, Instant now);

 private:
  EventLog* log;
  Metrics* metrics;
  Instant second;
  std::int32_t lines = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WAIT_REPORT_H_
