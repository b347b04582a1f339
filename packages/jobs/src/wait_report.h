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

/// What keeps a step from starting.
enum class WaitReason {
  /// No worker has its label and could hold one of its tasks.
  kNoWorker,
  /// Too few workers are known to be permitted.
  kPermissions,
  /// The permitted ones have too little room at this moment.
  kRoom,
  /// They have room, but their permissions have lapsed.
  kLapsed,
  /// Workers were lost under it, and enough workers are kept for such tasks.
  kQuarantine,
  /// Nothing: it should start with the next pass.
  kNone,
};

/// @return `no-worker`, `permissions`, `room`, `lapsed`, `quarantine` or `none`
[[nodiscard]] std::string_view Name(WaitReason reason);

/// What ends the wait of a step.
enum class UnblockEvent {
  /// The answer to a question that is queued or on its way.
  kAnswer,
  /// A question that is to be asked.
  kQuestion,
  /// The next pass: of the tasks of a step some were placed, and the others may
  /// only go where one of them has failed.
  kPass,
  /// Gangs that have taken room start or give it back.
  kReservations,
  /// What runs on the workers ends.
  kRuns,
  /// Another suspicious task is proved, or its worker lost.
  kQuarantine,
  /// A gang that gathers room starts.
  kHold,
  /// All workers are known, and they would not do if they were empty: one that
  /// comes, or comes back.
  kWorkers,
  /// Nothing would: a fault of ours.
  kNothing,
};

/// @return `answer`, `question`, `pass`, `reservations`, `runs`, `quarantine`,
/// `hold`,
///   `workers` or `nothing`
[[nodiscard]] std::string_view Name(UnblockEvent end);

/// What a step that waits has, in tasks of its own.
struct WaitFacts {
  /// All tasks start together or none.
  bool gang = false;
  /// Workers were lost under it, and it starts apart from others.
  bool quarantined = false;
  /// Fewest tasks that start together.
  std::int64_t needed = 1;
  /// Workers that could hold a task if they were empty, permissions aside.
  std::int64_t eligible = 0;
  /// The queue has a policy; without one all workers are permitted.
  bool has_policy = false;
  std::int64_t permitted = 0;
  std::int64_t refused = 0;
  /// Tasks that the permitted workers hold if empty, and now.
  std::int64_t could_fit = 0;
  std::int64_t room = 0;
  /// Of the room now, that for which permissions hold.
  std::int64_t fresh_room = 0;
  /// Eligible workers that a gang holds room on.
  std::int64_t held = 0;
  /// A question about the step is queued or on its way.
  bool asking = false;
  /// A question would be about some workers.
  bool helped_by_question = false;
  /// As much room is taken for gangs that ask as may be.
  bool room_taken_by_gangs = false;
  /// It fits once enough of what runs has ended: a gang where it is known to be
  /// permitted, another task where it is not refused.
  bool fits_later = false;

  [[nodiscard]] WaitReason Reason() const;
  [[nodiscard]] UnblockEvent NextUnblockEvent() const;
};

/// Says what steps wait for: a line a step every two seconds, a bounded number
/// a second in all, and a counter by reason.
class WaitReport {
 public:
  WaitReport(EventLog* log, Metrics* metrics);

  /// @return true if the step has waited and is to be reported now
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
