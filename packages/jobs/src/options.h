#ifndef MUSTARDPROXY_JOBS_OPTIONS_H_
#define MUSTARDPROXY_JOBS_OPTIONS_H_

#include "mustardproxy/core/time.h"

/// Times and bounds of the scheduler.
namespace mustardproxy::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Lease of a process at the store. A dead owner is replaced this long after
/// its last renewal; two renewals may be lost. The platform grants a second
/// at least.
inline constexpr Duration kStoreLease = milliseconds(1000);
inline constexpr Duration kStoreLeaseRenewal = milliseconds(300);
/// A store that has confirmed no renewal sent within this time is taken for
/// silent: no write is sent to it that would end uncertain. Above the pause
/// between two renewals and the answer of the slowest store on the users' pages
/// (0.4 s) together.
inline constexpr Duration kStoreSilenceTimeout = milliseconds(900);

/// Lease that each order gives all that runs on a worker. Long enough that a
/// dead owner's work lives until the next one renews (store lease 1 s, a hold's
/// wait 0.6 s, taking over under a second), short enough that the work of
/// a dead worker starts again soon.
inline constexpr Duration kWorkerLease = milliseconds(4500);
/// The longest lease that a worker gives, whatever an order says.
inline constexpr Duration kMaxWorkerLease = milliseconds(10'000);
/// How long after a start without an answer its task is kept from starting
/// elsewhere if the worker can't be reached: its next life may carry it out,
/// whatever lease the start gave.
inline constexpr Duration kLateStartWindow = milliseconds(9000);
/// How slow a worker's clock may be.
inline constexpr double kSlowestWorkerClock = 0.98;
/// Added to the moment at which a worker's lease must have lapsed: the worker
/// needs a while to kill what runs.
inline constexpr Duration kLeaseExpiryMargin = milliseconds(250);

/// How long an owner that the store does not answer goes on renewing the
/// leases of what runs: the longest outage that the users' pages name, 9.5 s,
/// and the time in which it is noticed.
inline constexpr Duration kOwnerOutageTolerance = milliseconds(11'000);

/// How long a hold waits at the worker for an end. A hold whose answer is lost,
/// or whose connection has fallen silent, hides ends for this long and the
/// driver's slack.
inline constexpr Duration kHoldWait = milliseconds(600);
/// Holds that may be sent for the sake of their waiting alone; with more
/// workers they wait for longer, up to `kMaxHoldWait`. What a worker's
/// lease leaves beside that must do for a takeover: the store's lease and a
/// second.
inline constexpr std::int64_t kMaxIdleHoldsPerSecond = 200;
inline constexpr Duration kMaxHoldWait = milliseconds(1500);
/// A call without an answer that ends so soon did not run into its time-out:
/// the worker has closed the connection.
inline constexpr Duration kConnectionClosedThreshold = milliseconds(150);
/// First pause after a hold without an answer; later ones are up to four times
/// as long.
inline constexpr Duration kHoldRetryDelay = milliseconds(50);
/// Pause between two sendings of a start or stop that got no answer. The same
/// run is named, so the worker does it once.
inline constexpr Duration kOrderRetryDelay = milliseconds(20);

/// Pause between two readings of the journal of new jobs. Processes announce
/// jobs at once; this is for lost announcements.
inline constexpr Duration kIntakeWatchInterval = milliseconds(300);
/// Longest wait of a watch at the store. Bounds the time in which a silent
/// connection hides a change of the desired state, which has 2 s to be in
/// force.
inline constexpr Duration kMaxWatchWait = milliseconds(1200);
inline constexpr Duration kStoreRetryDelay = milliseconds(100);

/// Share of the writes that the store takes from all processes together which
/// writes of progress may use up. Many tasks share one call; the time between
/// two delays each start by half of it in the mean, and the sight of ends.
inline constexpr double kProgressShareOfWrites = 0.05;
/// Bounds on that time; calls to the store are priced.
inline constexpr Duration kMinProgressInterval = milliseconds(10);
inline constexpr Duration kMaxProgressInterval = milliseconds(40);
/// Pause between two looks at the workers' entries, which change with each
/// heartbeat of each worker. A worker that begins to drain must be left alone
/// after 2 s.
inline constexpr Duration kWorkerWatchInterval = milliseconds(450);
/// Least time between two passes over the queue.
inline constexpr Duration kPassInterval = milliseconds(5);
/// Period of checks that no event triggers: lapses, due times, retention.
inline constexpr Duration kTickInterval = milliseconds(100);

/// A long-running task that was at work for so long did not take its worker
/// down by being started: earlier losses are forgotten. Without it a service
/// would be given up on once enough hosts have failed in its life.
inline constexpr Duration kStableRunTime = seconds(60);
/// How late it may be noticed that a worker drains.
inline constexpr Duration kDrainDetectionDelay = milliseconds(1000);
/// A run that was at work for so long is not likely to take its worker down.
inline constexpr Duration kProvenRunTime = milliseconds(1000);
/// Share of the workers that may be kept for suspicious tasks at the same time.
inline constexpr double kMaxQuarantinedShare = 0.125;
/// How long a hold waits at a worker that is kept for a suspicious task.
inline constexpr Duration kQuarantineHoldWait = milliseconds(100);

/// A permission is not used when less than this is left of it: the start has to
/// be written down (a call to the store) and sent.
inline constexpr Duration kTicketMargin = milliseconds(150);
/// Most workers named in one question to the policy service.
inline constexpr std::size_t kMaxAdviceWorkers = 100;
/// Added to the time that a question should take before it is given up on.
inline constexpr Duration kAdviceTimeoutMargin = milliseconds(700);
/// How long a process whose question failed is left out.
inline constexpr Duration kAdviceClientBackoff = seconds(1);

/// How long a final state is kept: the users ask for 120 s.
inline constexpr Duration kFinalStateRetention = seconds(150);
/// Jobs removed from the store in one transaction, three keys each.
inline constexpr std::size_t kRetentionBatch = 10;

/// Pause before a task that failed is started again.
inline constexpr Duration kTaskRetryDelay = milliseconds(20);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OPTIONS_H_
