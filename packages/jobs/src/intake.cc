#include "intake.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/error.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Each entry takes a condition and a put.
constexpr std::size_t kMaxBatch = kMaxTransactionEntries / 2;
/// Transactions under way at once: one that gets no answer must not hold up
/// all others.
constexpr std::size_t kMaxInFlight = 4;
/// Tries after which a store that refuses is believed to be away; with the
/// pause between them, a quarter of a second.
constexpr std::int32_t kMaxRefusals = 3;
/// Left of the caller's time for the answer to reach it.
constexpr Duration kAnswerMargin = milliseconds(150);
/// When to come back while the store is away: outages last seconds.
constexpr Duration kStoreRetryAfter = seconds(1);

}  // namespace

Intake::Intake(Executor* executor, KeyValueStore* store, EventLog* log)
    : executor(executor), store(store), log(log) {}

void Intake::Create(std::string_view kind, const JobId& id, std::string key,
                    std::string value, Duration timeout, Done done) {
  auto entry = std::make_shared<Entry>();
  entry->kind = kind;
  entry->id = id;
  entry->key = std::move(key);
  entry->value = std::move(value);
  entry->deadline = this->executor->Now() + timeout - kAnswerMargin;
  entry->done = std::move(done);
  if (this->stopped) {
    this->GiveUp(entry, Error::kShuttingDown);
    return;
  }
  this->executor->After(timeout - kAnswerMargin,
                        this->guard.Wrap([this, entry] {
                          this->GiveUp(entry, Error::kDeadlineExceeded);
                        }));
  this->waiting.push_back(std::move(entry));
  this->Flush();
}

void Intake::Flush() {
  while (!this->waiting.empty() && this->in_flight < kMaxInFlight) {
    std::vector<EntryPtr> batch;
    Transaction transaction;
    while (!this->waiting.empty() && batch.size() < kMaxBatch) {
      EntryPtr entry = std::move(this->waiting.front());
      this->waiting.pop_front();
      if (!entry->done) continue;
      transaction.conditions.push_back({entry->key, 0});
      transaction.puts.push_back({entry->key, entry->value, 0});
      batch.push_back(std::move(entry));
    }
    if (batch.empty()) return;
    ++this->in_flight;
    this->store->Commit(
        std::move(transaction),
        this->guard.Wrap([this, batch](const CommitResult& result) {
          --this->in_flight;
          this->OnCommitted(batch, result);
          this->Flush();
        }));
  }
}

void Intake::OnCommitted(const std::vector<EntryPtr>& batch,
                         const CommitResult& result) {
  switch (result.end) {
    case CommitEnd::kCommitted:
      for (const EntryPtr& entry : batch) this->Accept(entry, false);
      return;
    case CommitEnd::kConflict:
      this->OnConflict(batch, result);
      return;
    case CommitEnd::kUncertain:
      // Sent again, it either creates the key or finds it created.
      for (const EntryPtr& entry : batch) entry->uncertain = true;
      break;
    case CommitEnd::kLeaseGone:
    case CommitEnd::kNotDone:
      for (const EntryPtr& entry : batch) ++entry->tries;
      break;
  }
  for (const EntryPtr& entry : batch) this->Again(entry);
}

void Intake::OnConflict(const std::vector<EntryPtr>& batch,
                        const CommitResult& result) {
  for (const EntryPtr& entry : batch) {
    const bool exists = std::any_of(
        result.found.begin(), result.found.end(),
        [&](const StoreItem& item) { return item.key == entry->key; });
    if (exists) {
      this->Accept(entry, true);
    } else {
      // Nothing was written because of another one of the batch.
      this->waiting.push_back(entry);
    }
  }
}

void Intake::Again(const EntryPtr& entry) {
  const Instant now = this->executor->Now();
  // "Not accepted" would be untrue if an earlier write may still be done.
  if (!entry->uncertain && entry->tries >= kMaxRefusals) {
    this->GiveUp(entry, Error::kStoreUnavailable);
    return;
  }
  if (now + kStoreRetry >= entry->deadline) return;  // Its timer answers.
  this->executor->After(kStoreRetry, this->guard.Wrap([this, entry] {
    if (!entry->done) return;
    this->waiting.push_back(entry);
    this->Flush();
  }));
}

void Intake::Accept(const EntryPtr& entry, bool existed) {
  if (!entry->done) return;
  this->log->Write("intake", "stored",
                   {{"kind", entry->kind},
                    {"job", entry->id.Text()},
                    {"existed", existed ? 1 : 0},
                    {"tries", entry->tries}});
  this->Settle(entry, {.end = SubmitEnd::kAccepted,
                       .reason = {},
                       .detail = {},
                       .retry_after = Duration::zero()});
}

void Intake::GiveUp(const EntryPtr& entry, std::error_code reason) {
  if (!entry->done) return;
  const SubmitEnd end =
      entry->uncertain ? SubmitEnd::kUnknown : SubmitEnd::kNotAccepted;
  // What still waits here or is on its way might be written later.
  const bool on_its_way = reason == Error::kDeadlineExceeded;
  this->log->Write("intake", "not-stored",
                   {{"kind", entry->kind},
                    {"job", entry->id.Text()},
                    {"uncertain", entry->uncertain ? 1 : 0},
                    {"tries", entry->tries},
                    {"reason", reason.message()}});
  this->Settle(entry, {.end = on_its_way ? SubmitEnd::kUnknown : end,
                       .reason = reason,
                       .detail = {},
                       .retry_after = kStoreRetryAfter});
}

void Intake::Settle(const EntryPtr& entry, const SubmitResult& result) {
  const Done done = std::exchange(entry->done, {});
  done(result);
}

void Intake::Stop() {
  this->stopped = true;
  for (const EntryPtr& entry : std::exchange(this->waiting, {})) {
    this->GiveUp(entry, Error::kShuttingDown);
  }
}

}  // namespace mustardproxy::jobs
