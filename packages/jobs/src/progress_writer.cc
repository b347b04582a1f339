#include "progress_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "keys.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {
namespace {

/// Maximum number of transaction entries of one row: a condition and a put, and
/// two removals for a final job.
constexpr std::size_t kMaxEntriesPerRow = 4;
/// Maximum number of transactions in flight. With the interval between writes,
/// enough to keep a slow store busy.
constexpr std::size_t kMaxInFlight = 10;
/// The same while more rows wait than one transaction holds.
constexpr std::size_t kMaxInFlightBacklogged = 40;
/// Rows that one transaction holds at least.
constexpr std::size_t kRowsPerTransaction =
    (kMaxTransactionEntries - 1) / kMaxEntriesPerRow;

StoreCondition OwnerCondition(FencingToken token) {
  return {keys::Owner(), token};
}

std::size_t CountEntries(const Transaction& transaction) {
  return transaction.conditions.size() + transaction.puts.size() +
         transaction.removals.size();
}

void AddRow(const JobEntry& entry, Transaction* transaction) {
  const JobId& id = entry.job.id;
  const std::string key = keys::OfProgress(id);
  transaction->conditions.push_back({key, entry.progress_revision});
  if (!IsFinal(entry.state)) {
    transaction->puts.push_back({key, EncodeProgress(entry), 0});
    return;
  }
  transaction->puts.push_back(
      {keys::OfEnded(id),
       EncodeEnd({entry.state, entry.failure, entry.job.access}), 0});
  transaction->removals.push_back(keys::OfJob(id));
  if (entry.progress_revision != 0) transaction->removals.push_back(key);
}

/// @return the interval between writes that keeps this writer within a share of
///   the store's rate
Duration IntervalFor(std::int64_t store_writes_per_second, double share) {
  const double rate = share * static_cast<double>(store_writes_per_second);
  const double micros =
      static_cast<double>(Duration(seconds(1)).count()) / std::max(rate, 1.0);
  return std::clamp(Duration(static_cast<std::int64_t>(micros)),
                    kMinProgressInterval, kMaxProgressInterval);
}

}  // namespace

ProgressWriter::ProgressWriter(const Parts& parts,
                               std::function<void()> on_fenced)
    : executor(parts.executor),
      store(parts.store),
      log(parts.log),
      jobs(parts.jobs),
      token(parts.token),
      latest(parts.token),
      interval(
          IntervalFor(parts.store_writes_per_second, kProgressShareOfWrites)),
      backlogged_interval(
          IntervalFor(parts.store_writes_per_second, kBackloggedShareOfWrites)),
      on_fenced(std::move(on_fenced)) {}

void ProgressWriter::Write(const JobId& job, std::function<void()> durable) {
  const auto [row, added] = this->rows.try_emplace(job);
  if (added) this->order.push_back(job);
  if (durable) row->second.push_back(std::move(durable));
  this->Flush();
}

bool ProgressWriter::HasPendingWrite(const JobId& job) const {
  return this->rows.contains(job) || this->jobs_in_flight.contains(job);
}

void ProgressWriter::FlushAt(Instant moment) {
  if (std::exchange(this->timer_set, true)) return;
  this->executor->After(moment - this->executor->Now(),
                        this->guard.Wrap([this] {
                          this->timer_set = false;
                          this->Flush();
                        }));
}

bool ProgressWriter::Backlogged() const {
  return this->order.size() > kRowsPerTransaction;
}

void ProgressWriter::Flush() {
  const std::size_t most =
      this->Backlogged() ? kMaxInFlightBacklogged : kMaxInFlight;
  if (this->in_flight >= most || this->order.empty()) return;
  const Instant now = this->executor->Now();
  if (now < this->next_write) {
    this->FlushAt(this->next_write);
    return;
  }
  Batch batch;
  Transaction transaction = this->BuildTransaction(&batch);
  if (batch.empty()) return;
  this->next_write =
      now + (this->Backlogged() ? this->backlogged_interval : this->interval);
  ++this->in_flight;
  this->store->Commit(std::move(transaction),
                      this->guard.Wrap([this, batch = std::move(batch)](
                                           const CommitResult& result) mutable {
                        --this->in_flight;
                        for (const SentRow& row : batch)
                          this->jobs_in_flight.erase(row.job);
                        this->OnWritten(std::move(batch), result);
                      }));
  if (!this->order.empty()) this->FlushAt(this->next_write);
}

Transaction ProgressWriter::BuildTransaction(Batch* batch) {
  Transaction transaction;
  transaction.conditions.push_back(OwnerCondition(this->token));
  std::deque<JobId> later;
  while (!this->order.empty() &&
         CountEntries(transaction) + kMaxEntriesPerRow <=
             kMaxTransactionEntries) {
    const JobId id = this->order.front();
    this->order.pop_front();
    if (this->jobs_in_flight.contains(id)) {
      // The revision is known only after the row in flight is acknowledged.
      later.push_back(id);
      continue;
    }
    Waiters waiters = std::move(this->rows[id]);
    this->rows.erase(id);
    const JobEntry* entry = this->jobs->Find(id);
    if (entry == nullptr) {
      // The job was removed in the meantime; there is nothing to store.
      for (auto& durable : waiters) this->executor->Post(std::move(durable));
      continue;
    }
    AddRow(*entry, &transaction);
    this->jobs_in_flight.insert(id);
    batch->push_back({id, std::move(waiters), IsFinal(entry->state)});
  }
  this->order.insert(this->order.begin(), later.begin(), later.end());
  return transaction;
}

void ProgressWriter::OnWritten(Batch batch, const CommitResult& result) {
  const bool answered = result.end == CommitOutcome::kCommitted ||
                        result.end == CommitOutcome::kConflict;
  if (answered != this->store_answers) {
    this->store_answers = answered;
    this->log->Write("store", answered ? "writes-regained" : "writes-lost",
                     {{"waiting", this->Backlog()}});
  }
  if (result.end == CommitOutcome::kConflict) {
    this->OnConflict(std::move(batch), result);
    return;
  }
  if (result.end != CommitOutcome::kCommitted) {
    this->Requeue(std::move(batch));
    this->next_write = this->executor->Now() + kStoreRetryDelay;
    this->Flush();
    return;
  }
  this->latest = std::max(this->latest, result.revision);
  for (const SentRow& row : batch) {
    JobEntry* entry = this->jobs->Find(row.job);
    if (entry == nullptr) continue;
    entry->progress_revision = row.final ? 0 : result.revision;
  }
  this->Flush();
  for (const SentRow& row : batch) {
    for (const auto& durable : row.waiters) durable();
  }
}

bool ProgressWriter::Fenced(const CommitResult& result) const {
  const std::string owner = keys::Owner();
  return std::none_of(
      result.found.begin(), result.found.end(), [&](const StoreItem& item) {
        return item.key == owner && item.revision == this->token;
      });
}

void ProgressWriter::OnConflict(Batch batch, const CommitResult& result) {
  if (this->Fenced(result)) {
    this->on_fenced();
    return;
  }
  // A row has an unexpected revision: an earlier write of this owner was
  // applied, but its response was lost. Nobody else writes rows under this
  // token.
  for (const SentRow& row : batch) {
    JobEntry* entry = this->jobs->Find(row.job);
    if (entry == nullptr) continue;
    entry->progress_revision = 0;
    const std::string key = keys::OfProgress(row.job);
    for (const StoreItem& item : result.found) {
      if (item.key == key) entry->progress_revision = item.revision;
    }
  }
  this->Requeue(std::move(batch));
  this->Flush();
}

void ProgressWriter::Requeue(Batch batch) {
  for (auto row = batch.rbegin(); row != batch.rend(); ++row) {
    Waiters& waiters = this->rows[row->job];
    if (std::find(this->order.begin(), this->order.end(), row->job) ==
        this->order.end()) {
      this->order.push_front(row->job);
    }
    waiters.insert(waiters.begin(),
                   std::make_move_iterator(row->waiters.begin()),
                   std::make_move_iterator(row->waiters.end()));
  }
}

}  // namespace mustardproxy::jobs
