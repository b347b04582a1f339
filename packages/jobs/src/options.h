#ifndef MUSTARDPROXY_JOBS_OPTIONS_H_
#define MUSTARDPROXY_JOBS_OPTIONS_H_

#include <cstddef>

#include "mustardproxy/core/time.h"

/// Timeouts, intervals and limits of the scheduler.
namespace mustardproxy::jobs {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Lease of a process at the store. An owner that has died is replaced this
/// long after its last renewal. The lease survives two lost renewals. The
/// platform grants at least one second.
inline constexpr Duration kStoreLease = milliseconds(1000);
inline constexpr Duration kStoreLeaseRenewal = milliseconds(300);
/// If the store has confirmed no renewal that was sent within this time, it
/// counts as silent, and no write whose outcome would stay uncertain is sent to
/// it. Exceeds the sum of the renewal interval and the slowest answer of a
/// working store (0.4 s).
inline constexpr Duration kStoreSilenceTimeout = milliseconds(900);

/// Number of registered processes up to which each of them tracks all others.
/// In a larger cell a process that is unlikely to become the owner tracks the
/// owner alone, so that what it costs does not grow with the cell.
inline constexpr std::size_t kMaxTrackedByAll = 64;
/// In such a cell this many of the processes preferred as owners track all
/// others.
inline constexpr std::size_t kTrackingProcesses = 16;
/// How much longer a process that tracks the owner alone waits before it runs
/// for election, so that those that track all are first.
inline constexpr Duration kUntrackedElectionDelay = milliseconds(300);
/// Wait of a watch of the owner's key alone. If its connection falls silent, a
/// job that is announced to a former owner is found in the store by the next.
inline constexpr Duration kOwnerWatchWait = seconds(10);
/// Interval between two readings of some other processes, which help this one
/// if the store does not serve it.
inline constexpr Duration kPeerSampleInterval = seconds(60);
/// Minimum interval between two log lines on processes that have come and gone
/// in a cell of more than `kMaxTrackedByAll`.
inline constexpr Duration kMembershipLogInterval = seconds(1);

/// Lease that each order grants to everything that runs on a worker. Long
/// enough for the tasks of a dead owner to survive until the next owner renews
/// it (store lease 1 s, wait of a hold 0.6 s, takeover less than 1 s), and
/// short enough to restart the tasks of a dead worker soon.
inline constexpr Duration kWorkerLease = milliseconds(4500);
/// Upper bound of the lease that a worker grants, regardless of what an order
/// requests.
inline constexpr Duration kMaxWorkerLease = milliseconds(10'000);
/// How long after it was sent an unanswered start may still be executed, by
/// whichever incarnation of the worker it reaches, regardless of the lease that
/// it granted: the platform's limit of 12 s and the time of the delivery. Its
/// task is not started again before, and the worker is polled even if it is
/// idle, so that a new incarnation learns the token of the owner.
inline constexpr Duration kLateStartWindow = milliseconds(12'500);
/// A start that a worker has not executed this long after it was sent, although
/// the worker responds, is late: much longer than the delivery takes.
inline constexpr Duration kDelayedStartThreshold = milliseconds(100);
/// Minimum interval between two polls of such a worker.
inline constexpr Duration kMinPollInterval = milliseconds(25);
/// Maximum rate of these polls. With more such workers, each is polled less
/// often.
inline constexpr std::int64_t kMaxPollsPerSecond = 100;
/// Another poll is sent if a worker has not answered the last one for this long
/// after it was expected to.
inline constexpr Duration kPollTimeout = milliseconds(100);
/// A new owner does not know which starts of the former one are unanswered. It
/// polls all workers if there are at most this many.
inline constexpr std::size_t kMaxWorkersPolledAfterTakeover = 50;
/// Slowest rate of a worker's clock relative to the owner's clock.
inline constexpr double kSlowestWorkerClock = 0.98;
/// Added to the computed expiry of a worker's lease, because the worker needs
/// time to kill its running tasks.
inline constexpr Duration kLeaseExpiryMargin = milliseconds(250);

/// How long an owner without answers from the store keeps renewing the leases
/// of running tasks: the longest tolerated store outage (9.5 s) plus the time
/// until the outage is detected.
inline constexpr Duration kOwnerOutageTolerance = milliseconds(11'000);

/// How long the owner waits after a connection to a worker with runs has broken
/// before it stores that it grants no lease there. The lease of a worker that
/// answers meanwhile is renewed without a write.
inline constexpr Duration kSilenceBeforeWithholding = milliseconds(100);
/// Delay before a former owner that has not ended, or a process that has not
/// answered, is asked again.
inline constexpr Duration kFormerOwnerQueryInterval = milliseconds(100);
/// Least time that a new owner waits for the first answers of workers before
/// their runs count as lost.
inline constexpr Duration kFirstAnswerTime = milliseconds(300);

/// How long a hold waits at the worker for a task to end. If the answer to a
/// hold is lost or its connection is silent, ended tasks stay unnoticed for
/// this time plus the driver's timeout margin.
inline constexpr Duration kHoldWait = milliseconds(600);
/// Maximum rate of holds that are sent only because the previous one timed out.
/// With more workers, each hold waits longer, up to `kMaxHoldWait`. The
/// remainder of a worker's lease has to cover a takeover: the store's lease and
/// one second.
inline constexpr std::int64_t kMaxIdleHoldsPerSecond = 200;
inline constexpr Duration kMaxHoldWait = milliseconds(1500);
/// Number of workers up to which a new owner asks all of them for an answer at
/// once, and each silent one is asked again after `kHoldRetryDelay`.
inline constexpr std::size_t kMaxWorkersAskedAtOnce = 1200;
/// In a larger cell, how many idle workers that have never answered are asked
/// in one tick. Workers with runs are asked at once: leases must be renewed,
/// and urgent work starts on workers that have answered.
inline constexpr std::size_t kMaxFencesPerTick = 100;
/// In a larger cell, how often all silent workers together are asked again,
/// those with runs and those without. A call to a silent worker costs a new
/// connection.
inline constexpr std::int64_t kMaxBusyRetriesPerSecond = 200;
inline constexpr std::int64_t kMaxIdleRetriesPerSecond = 100;
/// How long an answer of an idle worker counts before a start is sent to it;
/// shorter than a worker takes to restart.
inline constexpr Duration kContactWindow = milliseconds(250);
/// How long an answer counts before ends are acknowledged to a worker whose
/// next incarnation may have started runs; shorter than a restart and a run
/// together.
inline constexpr Duration kReplyWindow = milliseconds(5);
/// A call that fails without an answer within this time did not time out: the
/// worker closed the connection.
inline constexpr Duration kConnectionClosedThreshold = milliseconds(150);
/// Delay before the first retry of a hold without an answer. Later delays are
/// up to four times as long.
inline constexpr Duration kHoldRetryDelay = milliseconds(50);
/// Delay before a start or stop without an answer is sent again. The repetition
/// names the same run, so the worker executes it once.
inline constexpr Duration kOrderRetryDelay = milliseconds(20);

/// How long a process that is no longer the owner keeps its connections to the
/// workers; longer than an election takes.
inline constexpr Duration kConnectionReleaseDelay = seconds(5);
/// A former owner that runs holds no connections this long after others saw it
/// run: it learns that it was replaced, and its last orders end.
inline constexpr Duration kConnectionsReleasedAfter =
    kConnectionReleaseDelay + seconds(3);
/// One that is frozen or cut off is replaced by another host before this.
inline constexpr Duration kMaxConnectionHoldTime = minutes(10);
/// Interval between two looks at the former owners that hold connections.
inline constexpr Duration kConnectionShareInterval = seconds(1);

/// Least number of workers whose orders are relayed. Each worker in use costs
/// about one call a second, and a call about 0.3 ms of processor time: a host
/// of a quarter core carries the calls of fewer workers and decides beside
/// them.
inline constexpr std::size_t kMinRelayedWorkers = 200;
/// How long orders to one relay, and results of one owner, are collected. Two
/// of these delay each relayed order; each costs owner and relay one call.
inline constexpr Duration kRelayCollectTime = milliseconds(10);
/// Maximum age at which a relay sends an order, from the owner's decision.
/// Together with `kMaxRelayedResultAge` and `kContactWindow` it is less than a
/// worker takes to restart (0.5 s), so that an answer of a worker still counts
/// when the order that follows it arrives; less than `kDelayedStartThreshold`,
/// so that a relayed start does not count as late; and within what
/// `kLateStartWindow` leaves for the delivery.
inline constexpr Duration kMaxRelayedOrderAge = milliseconds(60);
/// Maximum age of a result that a relay returns. Older ones count as lost.
inline constexpr Duration kMaxRelayedResultAge = milliseconds(90);
/// Bounds of what is sent together; the limit of a message is above 1 MB.
inline constexpr std::size_t kMaxRelayedOrders = 256;
inline constexpr std::size_t kMaxRelayedBytes = 256 << 10;
/// A larger order is sent directly.
inline constexpr std::size_t kMaxRelayedOrderBytes = 64 << 10;
/// How long orders to a worker are sent directly after a relay has not reached
/// it.
inline constexpr Duration kDirectTimeAfterFailure = seconds(5);
/// How long a relay is not used after a failure; doubled with each further one
/// up to the maximum. Longer than any order is in flight.
inline constexpr Duration kMinRelayBackoff = seconds(5);
inline constexpr Duration kMaxRelayBackoff = seconds(60);

/// Interval between reads of the journal of new jobs. Processes announce jobs
/// immediately; the reads find jobs whose announcement was lost.
inline constexpr Duration kIntakeWatchInterval = milliseconds(300);
/// Maximum wait of a watch at the store. Bounds how long a silent connection
/// can hide a change of the desired state, which must take effect within 2 s.
inline constexpr Duration kMaxWatchWait = milliseconds(1200);
inline constexpr Duration kStoreRetryDelay = milliseconds(100);

/// Share of the total write rate of the store that progress writes may use.
/// Many tasks share one write. The interval between progress writes delays each
/// start by half of it on average, and also delays the visibility of ends.
inline constexpr double kProgressShareOfWrites = 0.05;
/// The same while more rows wait than one transaction holds: starts and ends
/// wait for these writes, and urgent work is to start within a quarter of a
/// second. Leaves most of the rate to the jobs that are being accepted.
inline constexpr double kBackloggedShareOfWrites = 0.25;
/// Bounds of the interval between progress writes. Calls to the store have a
/// cost.
inline constexpr Duration kMinProgressInterval = milliseconds(3);
inline constexpr Duration kMaxProgressInterval = milliseconds(40);
/// Interval between reads of the workers' entries, which change with every
/// heartbeat. A worker that starts to drain must receive no new tasks
/// after 2 s.
inline constexpr Duration kWorkerWatchInterval = milliseconds(450);
/// Minimum time between two passes over the queue.
inline constexpr Duration kPassInterval = milliseconds(5);
/// Period of checks that no event triggers: lease expiry, due times, retention.
inline constexpr Duration kTickInterval = milliseconds(100);

/// Maximum time for which a worker is reserved for one suspicious task. If a
/// worker is lost after a long-running task has run longer, the loss and
/// earlier ones are disregarded: a run in isolation would not have shown the
/// cause.
inline constexpr Duration kMaxProbationPeriod = seconds(5);
/// Delay before a long-running task is started again that is likely to crash
/// its workers. Such a task has no limit of starts.
inline constexpr Duration kCrashRestartDelay = seconds(5);
/// Maximum delay until a draining worker is detected.
inline constexpr Duration kDrainDetectionDelay = milliseconds(1000);
/// A run that has lasted this long is unlikely to crash its worker.
inline constexpr Duration kProvenRunTime = milliseconds(1000);
/// Maximum share of the workers that may be quarantined for suspicious tasks at
/// the same time.
inline constexpr double kMaxQuarantinedShare = 0.125;
/// How long a hold waits at a worker that is quarantined for a suspicious task.
inline constexpr Duration kQuarantineHoldWait = milliseconds(100);

/// Minimum remaining validity of a permission for it to be used: the start has
/// to be stored (one call to the store) and sent.
inline constexpr Duration kTicketMargin = milliseconds(150);
/// Maximum number of workers in one question to the policy service.
inline constexpr std::size_t kMaxAdviceWorkers = 100;
/// Added to the expected duration of a question to obtain its timeout.
inline constexpr Duration kAdviceTimeoutMargin = milliseconds(700);
/// How long a process is not used for questions after one of its questions
/// failed.
inline constexpr Duration kAdviceClientBackoff = seconds(1);

/// How long a final state is kept. Callers may query it for 120 s.
inline constexpr Duration kFinalStateRetention = seconds(150);
/// Jobs removed from the store in one transaction; each has three keys.
inline constexpr std::size_t kRetentionBatch = 10;

/// Delay before a failed task is started again.
inline constexpr Duration kTaskRetryDelay = milliseconds(20);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OPTIONS_H_
