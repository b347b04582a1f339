#include "mustardproxy/core/journal.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <utility>
#include <variant>

#include "journal_pacer.h"
#include "journal_size.h"

namespace mustardproxy {
namespace {

/// Records about work accepted earlier may use this multiple of the limit at
/// which new work is refused: discarding one of them would lose an end or a
/// start, which costs more than memory.
constexpr std::size_t kFollowUpLimitFactor = 2;

struct PendingRecord {
  std::uint64_t ticket = 0;
  std::size_t bytes = 0;
  /// Time of the first tick after the record was added.
  std::optional<Instant> since;
  JournalRecord record;
};

/// The batch that was sent and whose result is not known yet.
struct SentBatch {
  JournalBatch batch;
  std::vector<std::uint64_t> tickets;
  std::size_t bytes = 0;
  Instant since;
  /// Set while the batch waits to be sent again.
  std::optional<Instant> retry_at;
};

}  // namespace

struct Journal::State {
  State(JournalId id, std::uint64_t first_sequence,
        const JournalOptions& limits, std::uint64_t seed)
      : name(std::move(id)),
        options(limits),
        pacer(limits.appends_per_second, limits.burst),
        random(seed),
        next_sequence(first_sequence) {}

  [[nodiscard]] std::size_t ByteLimit(const JournalRecord& record) const;
  void StampPending(Instant now);
  void FillBatch();
  void MoveFrontInto(SentBatch* target);
  void Send(Instant now, Actions* actions);

  JournalId name;
  JournalOptions options;
  detail::JournalPacer pacer;
  std::mt19937_64 random;
  std::uint64_t next_sequence;
  std::uint64_t last_ticket = 0;
  std::deque<PendingRecord> pending;
  /// Bytes of the pending records and of the batch in flight.
  std::size_t held_bytes = 0;
  std::optional<SentBatch> sent_batch;
  bool fenced = false;
};

std::size_t Journal::State::ByteLimit(const JournalRecord& record) const {
  const bool new_work = std::holds_alternative<AcceptedRecord>(record);
  const std::size_t limit = this->options.max_pending_bytes;
  return new_work ? limit : kFollowUpLimitFactor * limit;
}

void Journal::State::StampPending(Instant now) {
  for (auto each = this->pending.rbegin(); each != this->pending.rend();
       ++each) {
    if (each->since) {
      return;
    }
    each->since = now;
  }
}

void Journal::State::FillBatch() {
  SentBatch next;
  next.batch.journal = this->name;
  next.batch.sequence = this->next_sequence;
  next.batch.batch_id = this->random();
  next.since = *this->pending.front().since;
  while (!this->pending.empty()) {
    const std::size_t bytes = next.bytes + this->pending.front().bytes;
    const bool full =
        next.batch.records.size() >=
            std::max<std::size_t>(this->options.max_batch_records, 1) ||
        bytes > this->options.max_batch_bytes;
    if (full) {
      break;
    }
    this->MoveFrontInto(&next);
  }
  this->sent_batch = std::move(next);
}

void Journal::State::MoveFrontInto(SentBatch* target) {
  PendingRecord& front = this->pending.front();
  target->bytes += front.bytes;
  target->tickets.push_back(front.ticket);
  target->batch.records.push_back(std::move(front.record));
  this->pending.pop_front();
}

void Journal::State::Send(Instant now, Actions* actions) {
  this->pacer.Take(now);
  this->sent_batch->retry_at.reset();
  actions->push_back(AppendJournal{this->sent_batch->batch});
}

Journal::Journal(JournalId id, std::uint64_t first_sequence,
                 JournalOptions options, std::uint64_t seed)
    : state(std::make_unique<State>(std::move(id), first_sequence, options,
                                    seed)) {}
Journal::~Journal() = default;
Journal::Journal(Journal&&) noexcept = default;
Journal& Journal::operator=(Journal&&) noexcept = default;

std::uint64_t Journal::Append(JournalRecord record) {
  if (this->state->fenced) {
    return 0;
  }
  const std::size_t bytes = detail::EncodedSizeBound(record);
  if (bytes > this->state->options.max_batch_bytes ||
      this->state->held_bytes + bytes > this->state->ByteLimit(record)) {
    return 0;
  }
  const std::uint64_t ticket = ++this->state->last_ticket;
  this->state->held_bytes += bytes;
  this->state->pending.push_back(
      {ticket, bytes, std::nullopt, std::move(record)});
  return ticket;
}

void Journal::Tick(Instant now, Actions* actions) {
  this->state->StampPending(now);
  if (this->state->fenced || now < this->state->pacer.ReadyAt()) {
    return;
  }
  if (this->state->sent_batch) {
    const std::optional<Instant> retry_at = this->state->sent_batch->retry_at;
    if (retry_at && now >= *retry_at) {
      this->state->Send(now, actions);
    }
    return;
  }
  if (!this->state->pending.empty()) {
    this->state->FillBatch();
    this->state->Send(now, actions);
  }
}

std::vector<std::uint64_t> Journal::OnAppended(Instant now,
                                               std::uint64_t sequence) {
  this->state->StampPending(now);
  // A duplicate report, or one that arrives after the journal was fenced, must
  // not mark the records of a later batch as durable.
  if (!this->state->sent_batch ||
      this->state->sent_batch->batch.sequence != sequence) {
    return {};
  }
  std::vector<std::uint64_t> durable =
      std::move(this->state->sent_batch->tickets);
  this->state->held_bytes -= this->state->sent_batch->bytes;
  this->state->sent_batch.reset();
  this->state->next_sequence = sequence + 1;
  return durable;
}

void Journal::OnFenced() {
  this->state->fenced = true;
  this->state->pending.clear();
  this->state->sent_batch.reset();
  this->state->held_bytes = 0;
}

void Journal::OnUncertain(Instant now, std::uint64_t sequence) {
  if (this->state->sent_batch &&
      this->state->sent_batch->batch.sequence == sequence) {
    this->state->sent_batch->retry_at =
        now + this->state->options.retry_interval;
  }
}

const JournalId& Journal::Name() const { return this->state->name; }

bool Journal::Fenced() const { return this->state->fenced; }

bool Journal::Idle() const {
  return this->state->pending.empty() && !this->state->sent_batch;
}

Duration Journal::OldestPending(Instant now) const {
  if (this->state->sent_batch) {
    return now - this->state->sent_batch->since;
  }
  if (this->state->pending.empty()) {
    return Duration{0};
  }
  return now - this->state->pending.front().since.value_or(now);
}

std::uint64_t Journal::LastSequence() const {
  return this->state->next_sequence - 1;
}

Instant Journal::NextWakeup() const {
  if (this->state->sent_batch) {
    const std::optional<Instant> retry_at = this->state->sent_batch->retry_at;
    return retry_at ? std::max(*retry_at, this->state->pacer.ReadyAt())
                    : Instant::max();
  }
  return this->state->pending.empty() ? Instant::max()
                                      : this->state->pacer.ReadyAt();
}

}  // namespace mustardproxy
