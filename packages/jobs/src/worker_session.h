#ifndef MUSTARDPROXY_JOBS_WORKER_SESSION_H_
#define MUSTARDPROXY_JOBS_WORKER_SESSION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "session_observer.h"
#include "team_usage.h"

namespace mustardproxy::jobs {

/// Phase of starting a run.
enum class RunPhase {
  /// Resources are reserved; the run is being stored and its start order was
  /// not sent.
  kPlanned,
  /// The start order was sent; there is no conclusive response yet.
  kOrdered,
  /// The worker has confirmed that the run is or was there.
  kStarted,
};

/// A run that occupies resources on a worker, from its placement until it is
/// known to have ended.
struct SessionRun {
  Resources resources;
  /// Part of the cap of its team that the run takes.
  TeamShare share;
  RunPhase phase = RunPhase::kPlanned;
  /// The run is to be stopped.
  bool stopping = false;
  /// When the stop was decided; valid while `stopping`, unless `blocked`.
  Instant stopping_since;
  /// The run is stopped to make room for an urgent task.
  bool preempted = false;
  /// The loss of the run is recorded; the entry only prevents a late start.
  bool blocked = false;
  /// The worker has acknowledged the stop.
  bool stop_acknowledged = false;
  /// The run is stored, and its start order waits for an answer of the worker.
  bool awaits_contact = false;
  /// An order for the run is in flight.
  bool order_in_flight = false;
  /// If a hold sent at or after this time does not list the run, the run has
  /// ended. Not set while an order for the run is in flight.
  std::optional<Instant> expected_listed_from;
  /// When the response to a hold last listed the run as running.
  std::optional<Instant> seen_running;
  /// Workers were lost while they ran the task; nothing else is started on this
  /// worker until the run has been running for `probation_period`.
  bool quarantined = false;
  Duration probation_period{0};
  /// All other runs on the worker had passed their probation when this run was
  /// quarantined.
  bool alone = false;
  Instant started_at;
  /// The worker has acknowledged the start order, or the connection broke while
  /// it was being sent.
  bool start_received = false;
  /// When the first start order was sent. Not set before that, nor for a run
  /// that a previous owner ordered.
  std::optional<Instant> ordered_at;
  /// When the start order was last sent.
  Instant start_sent;
  /// At least one of the start orders got no response and may still be carried
  /// out.
  bool start_unanswered = false;
  /// The worker has sent a list without the run when the unanswered start order
  /// should have arrived long before.
  bool delayed = false;
  /// No other incarnation of the worker carries the start order out: the order
  /// has a permission, or the id of the worker identifies the incarnation. Only
  /// such an order is repeated while it is unanswered.
  bool bound_to_incarnation = false;
  /// Predicted end, based on the run times observed in its queue.
  Instant expected_end;
  std::int32_t percent = 0;
  /// When `percent` last changed.
  Instant last_progress_at;

  /// @return the time for which the run is known to have been running
  [[nodiscard]] Duration Survived() const;
  /// @return true unless all start orders are known to have been processed by
  ///   the incarnation that they were sent to
  [[nodiscard]] bool MayStartLate() const;
  /// @return true if a start order of this owner got no response so far
  [[nodiscard]] bool Unanswered() const {
    return this->order_in_flight || this->start_unanswered;
  }
  /// @return true if the start order may still be carried out by any
  ///   incarnation of the worker, so that the task must not be started again
  [[nodiscard]] bool OrderMayArrive(Instant now) const;
  /// Records that a worker has listed the run as running.
  void NoteRunning(Instant now);
  /// Records that the response to a hold sent at `asked` did not list the run.
  void NoteUnlisted(Instant asked);
  /// @return true if the run has ended unless a hold sent at `asked` lists it
  [[nodiscard]] bool MustBeListed(Instant asked) const;
};

/// Ended runs from one response of a worker.
struct EndBatch {
  std::int64_t last_number = 0;
  /// Number of writes that are not stored yet.
  std::size_t open_writes = 0;
};

/// A reading of a worker's clock, taken between two times of the local clock.
struct ClockReading {
  std::int64_t clock_ms = 0;
  /// When the order was sent.
  Instant sent_at;
  /// When the response arrived.
  Instant received_at;
};

/// One incarnation of a worker as seen by the owner: its runs, its lease and
/// what the owner may do with it.
class WorkerSession {
 private:
  /// Before the flags that report to the observer.
  SessionNumber number;
  SessionObserver* observer;

 public:
  /// @param inherited_until runs ordered by a previous owner may continue until
  ///   this time if the worker is unreachable
  /// @param usage updated with the runs of the session; may be null
  /// @param observer may be null
  WorkerSession(SessionNumber number, WorkerInfo info, Instant known_since,
                Instant inherited_until, TeamUsage* usage = nullptr,
                SessionObserver* observer = nullptr);
  WorkerSession(const WorkerSession&) = delete;
  WorkerSession& operator=(const WorkerSession&) = delete;
  ~WorkerSession();

  [[nodiscard]] SessionNumber Number() const { return this->number; }
  [[nodiscard]] const WorkerIncarnation& Incarnation() const {
    return this->info.incarnation;
  }
  /// Reports a change of `info`, or of what else decides whether the worker
  /// takes tasks. Runs and flags report theirs.
  void NoteChange();
  /// @return the time since which this incarnation has been known
  [[nodiscard]] Instant KnownSince() const { return this->known_since; }
  /// Sets the start time of the incarnation if it was not known.
  void SetStartTimeIfUnknown(std::int64_t start_unix_ms);

  /// @param now time at which the order is sent
  /// @return the end of a lease granted at `now`, in milliseconds on the
  ///   worker's clock
  [[nodiscard]] std::int64_t LeaseUntilMs(Instant now, Duration lease) const;
  /// @return the latest lease end that was sent; an order that repeats it does
  ///   not extend the lease
  [[nodiscard]] std::int64_t LeaseSentMs() const { return this->lease_sent_ms; }
  /// Records that an order with this lease is being sent. The worker may act on
  /// it at any time until the lease ends.
  void NoteLeaseSent(std::int64_t until_ms);
  void NoteClock(ClockReading reading);
  /// Records that an order got no response.
  /// @param exact the connection broke at `now`
  /// @return true if the worker was responsive before
  bool MarkSilent(Instant now, bool exact);
  /// @return true if the worker was draining and has probably stopped on its
  ///   own rather than crashed
  [[nodiscard]] bool HasLeft() const;
  /// @return when the worker last responded to an order
  [[nodiscard]] Instant LastAnswer() const;
  /// @return the time at which the worker must have killed all runs unless a
  ///   lease is sent again
  [[nodiscard]] Instant LeaseExpiresAt() const {
    return std::max(this->lease_expires_at, this->inherited_until);
  }
  /// Records that no lease granted by a previous owner lasts longer.
  void LimitInherited(Instant until) {
    this->inherited_until = std::min(this->inherited_until, until);
  }

  void AddRun(const RunRef& run, SessionRun record);
  void RemoveRun(const RunRef& run);
  [[nodiscard]] SessionRun* FindRun(const RunRef& run);
  /// @return true if there is a run that was ordered, is not blocked and has no
  ///   known end
  [[nodiscard]] bool HasOrdered() const;
  /// @return true if an order for any run was sent
  [[nodiscard]] bool HasContactedRuns() const;
  /// @return true if an answer shows that this incarnation is still there: a
  ///   recent one, or the answers that keep its runs alive
  [[nodiscard]] bool InContact(Instant now) const;
  /// @return the number of runs that have not been running long enough to be
  ///   trusted not to crash the worker
  [[nodiscard]] std::size_t CountUnproven() const;
  /// Keeps other tasks off the worker until the run has been running for this
  /// long.
  void Quarantine(const RunRef& run, Duration probation_period);
  /// Ends the quarantine of the run.
  void EndQuarantine(const RunRef& run);
  /// @return true while the worker is reserved for a suspicious task
  [[nodiscard]] bool Quarantined() const { return this->quarantined > 0; }
  [[nodiscard]] Resources Free() const;
  /// @return true if the runs exceed the current capacity of the worker
  [[nodiscard]] bool Overcommitted() const;
  /// @param free resources that are available now
  /// @return `free` plus the resources of runs that are predicted to end by
  ///   `moment`
  [[nodiscard]] Resources ExpectedFreeAt(Instant now, Instant moment,
                                         Resources free) const;
  [[nodiscard]] bool HasLabel(const std::string& label) const;
  [[nodiscard]] WorkerTarget Target() const;
  /// @return true if the next incarnation of the worker may have carried out
  ///   start orders unnoticed: not all of them are known to have reached this
  ///   one
  [[nodiscard]] bool MayHaveStartedElsewhere(Instant now) const;
  /// Records that a start order that was sent at this time, to this or a former
  /// incarnation, may still be carried out without a response.
  void ExpectLateStart(Instant sent);
  /// Like ExpectLateStart, for all start orders to a former incarnation.
  void ExpectLateStartsUntil(Instant until);
  /// @return the time until which such a start order may be carried out
  [[nodiscard]] Instant LateStartsUntil() const {
    return this->late_starts_until;
  }

  WorkerInfo info;
  /// Token of the orders to this incarnation. Orders to its former incarnation
  /// carry a lower one.
  FencingToken token = 0;
  /// The worker has an entry in the store.
  ObservedFlag listed{true, &this->number, &this->observer};
  /// `info` was reported by this incarnation. Nothing is started on the worker
  /// before that.
  ObservedFlag described{true, &this->number, &this->observer};
  /// Digest of the entry that `info` was read from; 0 if there is none.
  std::uint64_t entry_digest = 0;
  /// The worker has accepted this owner's token: it no longer accepts orders of
  /// previous owners, and its runs are known.
  ObservedFlag fenced{false, &this->number, &this->observer};
  /// Another incarnation of the worker has responded, so this one has ended.
  ObservedFlag gone{false, &this->number, &this->observer};
  /// The last hold or order got no response.
  ObservedFlag unresponsive{false, &this->number, &this->observer};
  /// No lease is granted to the worker; see LeaseWithholding. Nothing is
  /// started there meanwhile.
  ObservedFlag lease_withheld{false, &this->number, &this->observer};
  /// When the worker stopped responding; valid while `unresponsive`.
  Instant silent_since;
  /// A connection to the worker broke at that time; valid while `unresponsive`.
  bool silence_exact = false;
  /// Earliest announced stop of the worker; valid while it drains.
  Instant leaves_at;
  /// Runs fail on this worker, and it is not used for a while.
  ObservedFlag ejected{false, &this->number, &this->observer};
  /// Runs on the worker, including all that were ordered by previous owners
  /// according to the store.
  std::map<RunRef, SessionRun> runs;

  /// Ends up to this number are fully processed and stored; the next hold
  /// acknowledges them.
  std::int64_t durable_end = 0;
  /// Highest end number that a hold has acknowledged to the worker.
  std::int64_t sent_acknowledged_end = 0;
  /// Ends up to this number were received.
  std::int64_t received_end = 0;
  /// Received ends that wait for writes, oldest first.
  std::deque<std::shared_ptr<EndBatch>> unstored_ends;
  /// When this incarnation last responded to a hold.
  Instant verified;
  /// A start waits for an answer of the worker.
  bool contact_wanted = false;
  bool hold_in_flight = false;
  Instant hold_sent;
  /// How long the hold in flight waits at the worker.
  Duration hold_wait{0};
  Instant next_hold;
  /// Earliest hold that is sent only because a late start may arrive.
  Instant next_poll;
  std::int32_t unanswered_holds = 0;

 private:
  Instant known_since;
  TeamUsage* usage;
  Resources used;
  /// Number of quarantined runs.
  std::size_t quarantined = 0;
  std::optional<ClockReading> clock;
  /// Latest lease end that was sent, in milliseconds on the worker's clock.
  std::int64_t lease_sent_ms = 0;
  /// Latest end of the leases that this owner has granted.
  Instant lease_expires_at;
  /// Latest end of the leases that previous owners have granted.
  Instant inherited_until;
  Instant late_starts_until;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_SESSION_H_
