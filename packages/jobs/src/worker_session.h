#ifndef MUSTARDPROXY_JOBS_WORKER_SESSION_H_
#define MUSTARDPROXY_JOBS_WORKER_SESSION_H_

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

namespace mustardproxy::jobs {

/// Counts the sessions of one ownership from 0; what is kept for each worker is
/// found by it in a vector.
using SessionNumber = std::uint32_t;

/// How far the order to start a run has come.
enum class RunPhase {
  /// Room is taken; the start is being written down and was not sent.
  kPlanned,
  /// Sent, and not answered yet or not for certain.
  kOrdered,
  /// The worker has said that it is, or was, there.
  kStarted,
};

/// A run that takes room on a worker, from its placement until its end is known
/// for certain.
struct SessionRun {
  Resources resources;
  RunPhase phase = RunPhase::kPlanned;
  /// It is to be stopped.
  bool stopping = false;
  /// It has been counted as lost, and is only kept from starting late.
  bool blocked = false;
  /// The worker has acknowledged the stop.
  bool stop_acknowledged = false;
  /// An order about it is on its way.
  bool order_in_flight = false;
  /// From here on a hold's answer that does not list it proves that it is gone;
  /// not set while an order for it is on its way.
  std::optional<Instant> expected_listed_from;
  /// When an answer to a hold last listed it as running.
  std::optional<Instant> seen_running;
  /// Workers have gone down under its task, and nothing else starts beside it
  /// until it has been at work for `probation_period`.
  bool quarantined = false;
  Duration probation_period{0};
  /// All else on the worker was proven when it was quarantined.
  bool alone = false;
  Instant started_at;
  /// The worker has acknowledged the start, or has gone while it took it.
  bool reached = false;
  /// When its first start was sent; nothing before, and for a run that a former
  /// owner ordered.
  std::optional<Instant> ordered_at;
  /// When its start was last sent.
  Instant start_sent;
  /// One of the starts got no answer, and may still be carried out.
  bool start_unanswered = false;
  /// When it should end, by what its queue's runs took of their estimates.
  Instant expected_end;
  std::int32_t percent = 0;
  /// When `percent` last changed.
  Instant last_progress_at;

  /// @return how long it is known to have been at work
  [[nodiscard]] Duration Survived() const;
  /// @return true unless all starts of it were taken in by the life that they
  ///   were meant for
  [[nodiscard]] bool MayStartLate() const;
};

/// Ends of one answer of a worker.
struct EndBatch {
  std::int64_t last_number = 0;
  /// Writes that are not stored yet.
  std::size_t open_writes = 0;
};

/// A worker's clock, read at some moment between two of ours.
struct ClockReading {
  std::int64_t clock_ms = 0;
  /// When the order was sent …
  Instant asked;
  /// … and when its answer came.
  Instant answered;
};

/// One life of one worker as the owner sees it: what it holds, until when it
/// may hold it, and what the owner may do there.
class WorkerSession {
 public:
  /// @param inherited_until runs that a former owner ordered may last until
  ///   then, however unreachable the worker is
  WorkerSession(SessionNumber number, WorkerInfo info, Instant known_since,
                Instant inherited_until);

  [[nodiscard]] SessionNumber Number() const { return this->number; }
  [[nodiscard]] const WorkerIncarnation& Incarnation() const {
    return this->info.incarnation;
  }
  /// @return since when this life is known
  [[nodiscard]] Instant KnownSince() const { return this->known_since; }
  /// Takes note of when the life began, if that was not known.
  void SetStartTimeIfUnknown(std::int64_t start_unix_ms);

  /// @return a worker's time, on its clock, at which a lease given now ends
  /// @param now sending time of the order
  [[nodiscard]] std::int64_t LeaseUntilMs(Instant now, Duration lease) const;
  /// @return the latest end of lease that was ever sent; an order that repeats
  ///   it changes nothing about when the lease lapses
  [[nodiscard]] std::int64_t LeaseSentMs() const { return this->lease_sent_ms; }
  /// Takes note that an order with this lease is being sent: the worker may
  /// act on it at any time before the lease ends.
  void NoteLeaseSent(std::int64_t until_ms);
  void NoteClock(ClockReading reading);
  /// Takes note that an order was not answered.
  /// @param exact its connection broke just now
  /// @return true if it was not silent before
  bool MarkSilent(Instant now, bool exact);
  /// @return true if it drained and has most likely left, rather than crashed
  [[nodiscard]] bool HasLeft() const;
  /// @return when it last answered an order
  [[nodiscard]] Instant LastAnswer() const;
  /// @return when everything there must have been killed, if nothing more is
  ///   sent
  [[nodiscard]] Instant LapsesAt() const { return this->lapses_at; }

  void AddRun(const RunRef& run, SessionRun record);
  void RemoveRun(const RunRef& run);
  [[nodiscard]] SessionRun* FindRun(const RunRef& run);
  /// @return true if a start was sent of any run that is wanted and whose end
  /// is
  ///   not known
  [[nodiscard]] bool HasOrdered() const;
  /// @return how many runs have not been at work for long, and may yet take the
  ///   worker down
  [[nodiscard]] std::size_t CountUnproven() const;
  /// Keeps other tasks away until the run has been at work for this long.
  void Quarantine(const RunRef& run, Duration probation_period);
  /// Lets other tasks start beside it again.
  void EndQuarantine(const RunRef& run);
  /// @return true while the worker is kept for a suspicious task
  [[nodiscard]] bool Quarantined() const { return this->quarantined > 0; }
  [[nodiscard]] Resources Free() const;
  /// @return true if what was placed takes more than the worker has now
  [[nodiscard]] bool Overcommitted() const;
  /// @param free what is free now
  /// @return that, and what runs take that should end by `moment`
  [[nodiscard]] Resources ExpectedFreeAt(Instant now, Instant moment,
                                         Resources free) const;
  [[nodiscard]] bool HasLabel(const std::string& label) const;
  [[nodiscard]] WorkerTarget Target() const;

  WorkerInfo info;
  /// What orders to it carry. Orders for its former life carry a lower one.
  FencingToken token = 0;
  /// Its entry is in the store.
  bool listed = true;
  /// `info` is what this life says of itself. Until then nothing starts there.
  bool described = true;
  /// It has obeyed our token, so that no order of a former owner is obeyed any
  /// more, and what runs there is known.
  bool fenced = false;
  /// Another life of the worker has answered: this one is over.
  bool gone = false;
  /// Its last hold or order was not answered.
  bool suspect = false;
  /// Since when; only while `suspect`.
  Instant silent_since;
  /// A call to it broke at that moment; only while `suspect`.
  bool silence_exact = false;
  /// When it may be gone if all goes as it says; only while it drains.
  Instant leaves_at;
  /// It fails what it runs, and is left alone for a while.
  bool ejected = false;
  /// Every run that was ordered by a former owner, as the store tells, is
  /// entered here.
  std::map<RunRef, SessionRun> runs;

  /// Ends up to this number are dealt with for good; the next hold says so.
  std::int64_t durable_end = 0;
  /// The highest number that a hold has told the worker.
  std::int64_t sent_acknowledged_end = 0;
  /// Ends up to this number have been taken in.
  std::int64_t received_end = 0;
  /// Ends that were taken in and wait for writes, oldest first.
  std::deque<std::shared_ptr<EndBatch>> unstored_ends;
  /// When this life last answered a hold.
  Instant verified;
  bool hold_in_flight = false;
  Instant hold_sent;
  Instant next_hold;
  std::int32_t unanswered_holds = 0;

 private:
  SessionNumber number;
  Instant known_since;
  Resources used;
  /// Runs that are quarantined.
  std::size_t quarantined = 0;
  std::optional<ClockReading> clock;
  /// Latest end of lease ever sent, on the worker's clock.
  std::int64_t lease_sent_ms = 0;
  Instant lapses_at;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_SESSION_H_
