#include "intake.h"

#include <algorithm>
#include <utility>

#include "keys.h"
#include "mustardproxy/core/error.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {
namespace {

/// Each entry takes two conditions and a put.
constexpr std::size_t kMaxBatch = kMaxTransactionEntries / 3;
/// Maximum number of concurrent transactions; a transaction without an answer
/// must not block all others.
constexpr std::size_t kMaxInFlight = 4;
/// A write that is unanswered for this long is also given to another process.
/// Exceeds the answer time of a store that is slow for all processes (0.4 s),
/// where another process would not help.
constexpr Duration kHedgeDelay = milliseconds(450);
/// From this answer time on, a job is placed while it is being stored. The
/// usual 4 ms are a tenth of the interval between two progress writes.
constexpr Duration kSlowAnswerThreshold = milliseconds(30);
/// Interval between checks of whether the store has answered.
constexpr Duration kGatePollInterval = milliseconds(20);
/// Maximum number of processes that are asked for one entry.
constexpr std::size_t kMaxHelpers = 2;
/// Timeout of a call to one of them.
constexpr Duration kHelperTimeout = milliseconds(600);
/// How long a process that did not answer is not asked.
constexpr Duration kHelperBackoff = seconds(1);
/// Retry delay for callers while the store is unavailable: outages last
/// seconds, and callers retry a submission for a few seconds only.
constexpr Duration kStoreRetryAfter = seconds(1);

const StoreItem* FindItem(const CommitResult& result, std::string_view key) {
  const auto found =
      std::find_if(result.found.begin(), result.found.end(),
                   [&](const StoreItem& item) { return item.key == key; });
  return found == result.found.end() ? nullptr : &*found;
}

/// @return true if the job that is stored under the id of a request is that of
///   another team
bool IsOfOtherTeam(const CreateRequest& request, const JobAccess& stored) {
  return request.key == keys::OfJob(request.job) &&
         !MayAccess(DecodeAccess(request.value), stored);
}

}  // namespace

Intake::Intake(Parts parts) : parts(std::move(parts)) {}

void Intake::Create(CreateRequest request, Done done) {
  std::vector<std::string> helpers = this->parts.helpers();
  if (helpers.size() > kMaxHelpers) helpers.resize(kMaxHelpers);
  this->ScheduleHedge(
      this->Begin(std::move(request), std::move(helpers), std::move(done)));
}

void Intake::CreateForPeer(CreateRequest request, Done done) {
  (void)this->Begin(std::move(request), {}, std::move(done));
}

Intake::EntryPtr Intake::Begin(CreateRequest request,
                               std::vector<std::string> helpers, Done done) {
  auto entry = std::make_shared<Entry>();
  entry->deadline = this->parts.executor->Now() + request.timeout;
  entry->request = std::move(request);
  entry->helpers = std::move(helpers);
  entry->done = std::move(done);
  this->parts.executor->After(entry->request.timeout,
                              this->guard.Wrap([this, entry] {
                                this->GiveUp(entry, Error::kDeadlineExceeded);
                              }));
  this->TryCreate(entry);
  return entry;
}

void Intake::TryCreate(const EntryPtr& entry) {
  // Failure: while the store is unavailable, every write to it ends uncertain,
  // and callers receive an unknown outcome instead of a refusal after which
  // they could retry.
  if (this->CheckGate() == WriteGate::Answer::kRefuse) {
    this->Continue(entry);
    return;
  }
  this->waiting.push_back(entry);
  this->Flush();
}

WriteGate::Answer Intake::CheckGate() {
  if (!this->parts.store_answers()) return WriteGate::Answer::kRefuse;
  this->gate.NoteAlive(this->parts.store_alive_at());
  return this->gate.At(this->parts.executor->Now());
}

void Intake::ScheduleHedge(const EntryPtr& entry) {
  if (entry->helpers.empty() || !entry->done) return;
  this->parts.executor->After(kHedgeDelay, this->guard.Wrap([this, entry] {
    if (entry->done) (void)this->AskHelper(entry);
  }));
}

void Intake::Flush() {
  const WriteGate::Answer answer = this->CheckGate();
  const bool holds = answer != WriteGate::Answer::kSend;
  if (holds != std::exchange(this->holding, holds)) {
    this->parts.log->Write(
        "intake", holds ? "store-overdue" : "store-answers",
        {{"waiting", this->waiting.size()}, {"in_flight", this->in_flight}});
  }
  if (answer == WriteGate::Answer::kRefuse) {
    this->RejectWaiting();
    return;
  }
  if (answer == WriteGate::Answer::kHold) {
    this->ScheduleFlush();
    return;
  }
  while (!this->waiting.empty() && this->in_flight < kMaxInFlight) {
    std::vector<EntryPtr> batch;
    Transaction transaction = this->TakeBatch(&batch);
    if (batch.empty()) return;
    ++this->in_flight;
    const Instant sent = this->parts.executor->Now();
    this->gate.OnSent(sent);
    this->parts.store->Commit(
        std::move(transaction),
        this->guard.Wrap([this, batch, sent](const CommitResult& result) {
          this->OnTransactionEnd(batch, sent, result);
        }));
    if (this->gate.TypicalLatency() < kSlowAnswerThreshold) continue;
    for (const EntryPtr& entry : batch) this->parts.on_sent(entry->request);
  }
}

Transaction Intake::TakeBatch(std::vector<EntryPtr>* batch) {
  Transaction transaction;
  while (!this->waiting.empty() && batch->size() < kMaxBatch) {
    EntryPtr entry = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (!entry->done) continue;
    ++entry->in_flight;
    transaction.conditions.push_back({entry->request.key, 0});
    // The end of a job replaces its key.
    transaction.conditions.push_back({keys::OfEnded(entry->request.job), 0});
    transaction.puts.push_back({entry->request.key, entry->request.value, 0});
    batch->push_back(std::move(entry));
  }
  return transaction;
}

void Intake::ScheduleFlush() {
  if (this->waiting.empty() || std::exchange(this->flush_due, true)) return;
  this->parts.executor->After(kGatePollInterval, this->guard.Wrap([this] {
    this->flush_due = false;
    this->Flush();
  }));
}

void Intake::RejectWaiting() {
  for (const EntryPtr& entry : std::exchange(this->waiting, {})) {
    this->Continue(entry);
  }
}

void Intake::OnTransactionEnd(const std::vector<EntryPtr>& batch, Instant sent,
                              const CommitResult& result) {
  --this->in_flight;
  const Instant now = this->parts.executor->Now();
  if (result.end == CommitOutcome::kUncertain) {
    this->gate.OnUnanswered(sent, now);
  } else {
    this->gate.OnAnswered(sent, now);
  }
  for (const EntryPtr& entry : batch) --entry->in_flight;
  this->OnCommitted(batch, result);
  this->Flush();
}

void Intake::OnCommitted(const std::vector<EntryPtr>& batch,
                         const CommitResult& result) {
  if (result.end == CommitOutcome::kConflict) {
    this->OnConflict(batch, result);
    return;
  }
  for (const EntryPtr& entry : batch) {
    if (result.end == CommitOutcome::kCommitted) {
      this->Accept(entry, "created", result.revision);
      continue;
    }
    if (result.end == CommitOutcome::kUncertain) entry->uncertain = true;
    this->Continue(entry);
  }
}

void Intake::OnConflict(const std::vector<EntryPtr>& batch,
                        const CommitResult& result) {
  for (const EntryPtr& entry : batch) {
    const StoreItem* item = FindItem(result, entry->request.key);
    const StoreItem* end = FindItem(result, keys::OfEnded(entry->request.job));
    if (item != nullptr) {
      if (IsOfOtherTeam(entry->request, DecodeAccess(item->value))) {
        this->Deny(entry);
      } else {
        this->Accept(entry, "existed", item->revision);
      }
    } else if (end != nullptr) {
      const JobStatus ended = DecodeStatus(end->value).value_or(JobStatus{});
      if (IsOfOtherTeam(entry->request, ended.access)) {
        this->Deny(entry);
      } else {
        this->Accept(entry, "ended", std::nullopt);
      }
    } else {
      // Nothing was written because of another entry of the batch.
      this->waiting.push_back(entry);
    }
  }
}

void Intake::Continue(const EntryPtr& entry) {
  if (!entry->done) return;
  ++entry->tries;
  if (this->AskHelper(entry) || entry->in_flight > 0) return;
  const bool store_unavailable =
      this->CheckGate() == WriteGate::Answer::kRefuse;
  // "Not accepted" would be wrong if an earlier write may still be applied. The
  // caller is then answered at its deadline, or once the outcome is known.
  if (!entry->uncertain && (store_unavailable || entry->helpers.empty())) {
    this->GiveUp(entry, Error::kStoreUnavailable);
    return;
  }
  this->parts.executor->After(kStoreRetryDelay, this->guard.Wrap([this, entry] {
    if (entry->done) this->TryCreate(entry);
  }));
}

std::optional<std::string> Intake::NextHelper(const EntryPtr& entry) {
  const Instant now = this->parts.executor->Now();
  while (!entry->helpers.empty()) {
    std::string helper = entry->helpers.front();
    entry->helpers.erase(entry->helpers.begin());
    const auto out = this->unavailable_helpers.find(helper);
    if (out == this->unavailable_helpers.end() || out->second <= now)
      return helper;
  }
  return std::nullopt;
}

bool Intake::AskHelper(const EntryPtr& entry) {
  const auto helper = this->NextHelper(entry);
  if (!helper) return false;
  // Failure: a data centre is cut off, the helper is on the other side, and a
  // caller that could retry elsewhere receives an unknown outcome. So the key
  // is sent only to a helper that has just answered a query.
  ++entry->in_flight;
  this->parts.peers->QueryJob(
      *helper, entry->request.job,
      this->guard.Wrap(
          [this, entry, helper = *helper](const Result<JobAnswer>& answer) {
            --entry->in_flight;
            const bool lost = !answer && answer.error() == Error::kPeerLost;
            if (lost) {
              this->SuspendHelper(helper);
              this->Continue(entry);
            } else {
              this->CreateAt(helper, entry);
            }
          }));
  return true;
}

void Intake::SuspendHelper(const std::string& helper) {
  const Instant until = this->parts.executor->Now() + kHelperBackoff;
  const bool added =
      this->unavailable_helpers.insert_or_assign(helper, until).second;
  if (!added) return;
  this->parts.log->Write("intake", "helper-lost", {{"helper", helper}});
}

void Intake::CreateAt(const std::string& helper, const EntryPtr& entry) {
  if (!entry->done) return;
  if (this->unavailable_helpers.erase(helper) > 0) {
    this->parts.log->Write("intake", "helper-back", {{"helper", helper}});
  }
  CreateRequest request = entry->request;
  request.timeout = std::min<Duration>(
      kHelperTimeout, entry->deadline - this->parts.executor->Now());
  if (request.timeout <= Duration::zero()) return;
  ++entry->in_flight;
  this->parts.peers->Create(
      helper, request,
      this->guard.Wrap([this, entry](const Result<CreateOutcome>& end) {
        --entry->in_flight;
        this->OnHelperAnswer(entry, end);
      }));
}

void Intake::OnHelperAnswer(const EntryPtr& entry,
                            const Result<CreateOutcome>& end) {
  if (end && end.value() == CreateOutcome::kExists) {
    this->Accept(entry, "by a peer", std::nullopt);
    return;
  }
  // A peer without an answer may have sent the write.
  if (!end || end.value() == CreateOutcome::kUncertain) entry->uncertain = true;
  this->Continue(entry);
}

void Intake::Accept(const EntryPtr& entry, std::string_view how,
                    std::optional<Revision> revision) {
  if (!entry->done) return;
  if (revision) this->parts.on_exists(entry->request, *revision);
  this->parts.log->Write("intake", "stored",
                         {{"kind", entry->request.kind},
                          {"job", entry->request.job.Text()},
                          {"how", how},
                          {"tries", entry->tries}});
  this->Complete(entry, {.end = SubmitOutcome::kAccepted,
                         .reason = {},
                         .detail = {},
                         .retry_after = Duration::zero()});
}

void Intake::Deny(const EntryPtr& entry) {
  if (!entry->done) return;
  const std::error_code reason = Error::kJobOfOtherTeam;
  this->parts.log->Write("intake", "denied",
                         {{"kind", entry->request.kind},
                          {"job", entry->request.job.Text()},
                          {"reason", reason.message()}});
  this->Complete(entry, {.end = SubmitOutcome::kNotAccepted,
                         .reason = reason,
                         .detail = {},
                         .retry_after = Duration::zero()});
}

void Intake::GiveUp(const EntryPtr& entry, std::error_code reason) {
  if (!entry->done) return;
  // A write in flight may still be applied.
  const bool unknown = entry->uncertain || entry->in_flight > 0;
  this->parts.log->Write(
      "intake", "not-stored",
      {{"kind", entry->request.kind},
       {"job", entry->request.job.Text()},
       {"unknown", unknown ? 1 : 0},
       {"tries", entry->tries},
       {"timeout_ms", WholeMilliseconds(entry->request.timeout)},
       {"reason", reason.message()}});
  this->Complete(entry, {.end = unknown ? SubmitOutcome::kUnknown
                                        : SubmitOutcome::kNotAccepted,
                         .reason = reason,
                         .detail = {},
                         .retry_after = kStoreRetryAfter});
}

void Intake::Complete(const EntryPtr& entry, const SubmitResult& result) {
  const Done done = std::exchange(entry->done, {});
  done(result);
}

}  // namespace mustardproxy::jobs
