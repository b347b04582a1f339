#include "lease_withholding.h"

#include <algorithm>
#include <utility>

#include "dispatcher.h"
#include "hold_loop.h"
#include "keys.h"
#include "mustardproxy/core/error.h"
#include "options.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// A record is written again if leases end this much earlier than it says.
constexpr Duration kWorthStoring = milliseconds(500);

}  // namespace

LeaseWithholding::LeaseWithholding(Parts parts, std::function<void()> on_read)
    : parts(std::move(parts)), on_read(std::move(on_read)) {}

void LeaseWithholding::Read() {
  this->parts.context->store->Read(
      keys::WithheldLeases(),
      this->guard.Wrap(
          [this](const Result<StoreItem>& item) { this->OnRead(item); }));
}

void LeaseWithholding::OnRead(const Result<StoreItem>& item) {
  OwnerContext& context = *this->parts.context;
  if (!item && item.error() != Error::kUnknownRequest) {
    context.executor->After(kStoreRetryDelay,
                            this->guard.Wrap([this] { this->Read(); }));
    return;
  }
  this->read_at = context.executor->Now();
  if (item) {
    this->revision = item.value().revision;
    const auto leases = DecodeWithheldLeases(item.value().value);
    for (const WithheldLease& lease :
         leases.value_or(std::vector<WithheldLease>())) {
      Entry& entry = this->entries[lease.worker];
      entry.lease = lease;
      entry.stored = true;
      this->inherited[lease.worker] = lease;
      entry.ends_at = *this->FindInheritedEnd(lease.worker);
      this->SetFlag(lease.worker, true);
    }
  }
  this->complete = true;
  this->on_read();
}

std::optional<Instant> LeaseWithholding::FindInheritedEnd(
    const WorkerId& worker) const {
  const auto found = this->inherited.find(worker);
  if (found == this->inherited.end()) return std::nullopt;
  return this->parts.seen_at(found->second, this->read_at) +
         found->second.remaining;
}

bool LeaseWithholding::Withholds(const WorkerId& worker) const {
  const auto found = this->entries.find(worker);
  return found != this->entries.end() && found->second.stored;
}

void LeaseWithholding::NoteSilent(const WorkerSession& session) {
  // Another incarnation with the same id may have been granted a lease by an
  // order that was sent to this one.
  if (session.Incarnation().start_unix_ms != 0) return;
  if (!session.unresponsive || session.gone || !session.HasOrdered()) return;
  const Instant now = this->parts.context->executor->Now();
  // A call that has timed out was long enough.
  const Duration silence =
      session.silence_exact ? kSilenceBeforeWithholding : Duration::zero();
  if (now < session.silent_since + silence) return;
  const WorkerId& worker = session.Incarnation().id;
  const auto found = this->entries.find(worker);
  if (found == this->entries.end()) {
    this->entries[worker];
    return;
  }
  Entry& entry = found->second;
  entry.wanted = true;
  // More has become known of former owners since the lease was withheld.
  entry.outdated =
      entry.stored && session.LeaseExpiresAt() + kWorthStoring < entry.ends_at;
}

void LeaseWithholding::Renew(Entry* entry, const WorkerSession& session) {
  const Instant now = this->parts.context->executor->Now();
  entry->ends_at = std::max(now, session.LeaseExpiresAt());
  entry->outdated = false;
  entry->lease = {session.Incarnation().id, this->parts.context->token,
                  this->next_number++, entry->ends_at - now};
}

void LeaseWithholding::NoteAnswer(const WorkerSession& session) {
  const auto found = this->entries.find(session.Incarnation().id);
  if (found == this->entries.end()) return;
  found->second.wanted = false;
  if (!found->second.stored) {
    this->entries.erase(found);
    return;
  }
  this->Flush();
}

bool LeaseWithholding::IsNeeded(const WorkerId& worker) const {
  const WorkerSession* session =
      this->parts.context->workers.FindLatest(worker);
  return session != nullptr && session->unresponsive && session->HasOrdered();
}

bool LeaseWithholding::HasChanges() const {
  if (this->uncertain) return true;
  return std::any_of(this->entries.begin(), this->entries.end(),
                     [](const auto& one) {
                       const Entry& entry = one.second;
                       return entry.wanted != entry.stored || entry.outdated;
                     });
}

void LeaseWithholding::Flush() {
  const bool may = this->complete && !this->writing && this->HasChanges() &&
                   this->parts.store_answers();
  if (!may) return;
  OwnerContext& context = *this->parts.context;
  std::vector<WithheldLease> leases;
  std::vector<WorkerId> written;
  std::vector<WorkerId> added;
  for (auto& [worker, entry] : this->entries) {
    entry.wanted = entry.wanted && this->IsNeeded(worker);
    if (!entry.wanted) continue;
    const bool is_new = !std::exchange(entry.stored, true);
    if (is_new || entry.outdated) {
      this->Renew(&entry, *context.workers.FindLatest(worker));
    }
    leases.push_back(entry.lease);
    written.push_back(worker);
    if (!is_new) continue;
    added.push_back(worker);
    this->SetFlag(worker, true);
  }
  std::erase_if(this->entries, [](const auto& one) {
    return !one.second.wanted && !one.second.stored;
  });
  this->writing = true;
  context.metrics->Count("withheld_lease_writes", "");
  Transaction transaction;
  transaction.conditions.push_back({keys::Owner(), context.token});
  transaction.conditions.push_back({keys::WithheldLeases(), this->revision});
  transaction.puts.push_back(
      {keys::WithheldLeases(), EncodeWithheldLeases(leases), 0});
  context.store->Commit(
      std::move(transaction),
      this->guard.Wrap([this, written = std::move(written),
                        added = std::move(added)](const CommitResult& result) {
        this->OnWritten(written, added, result);
      }));
}

void LeaseWithholding::OnWritten(const std::vector<WorkerId>& written,
                                 const std::vector<WorkerId>& added,
                                 const CommitResult& result) {
  this->writing = false;
  switch (result.end) {
    case CommitOutcome::kCommitted:
      this->uncertain = false;
      this->revision = result.revision;
      this->OnCommitted(written);
      return;
    case CommitOutcome::kConflict:
      this->OnConflict(result);
      return;
    case CommitOutcome::kUncertain:
      this->uncertain = true;
      return;
    case CommitOutcome::kLeaseNotFound:
    case CommitOutcome::kNotApplied:
      break;
  }
  // Nothing was written, so what is not in the store was not withheld.
  for (const WorkerId& worker : added) {
    const auto found = this->entries.find(worker);
    if (found == this->entries.end()) continue;
    found->second.stored = false;
    this->Release(worker);
  }
}

void LeaseWithholding::OnCommitted(const std::vector<WorkerId>& written) {
  std::vector<WorkerId> released;
  for (const auto& [worker, entry] : this->entries) {
    const bool kept =
        std::binary_search(written.begin(), written.end(), worker);
    if (!kept && entry.stored) released.push_back(worker);
  }
  this->parts.context->log->Write("workers", "leases-withheld",
                                  {{"withheld", written.size()},
                                   {"released", released.size()},
                                   {"revision", this->revision}});
  // One that has fallen silent again is withheld anew, under another number.
  for (const WorkerId& worker : released) this->entries.erase(worker);
  for (const WorkerId& worker : released) this->Release(worker);
}

void LeaseWithholding::OnConflict(const CommitResult& result) {
  Revision owner = 0;
  Revision stored = 0;
  for (const StoreItem& item : result.found) {
    if (item.key == keys::Owner()) owner = item.revision;
    if (item.key == keys::WithheldLeases()) stored = item.revision;
  }
  if (owner != this->parts.context->token) {
    this->parts.context->step_down("the store has a newer owner");
    return;
  }
  // An earlier write without an answer was applied. Whatever it said, all that
  // it may have said counts as stored until the next write is confirmed.
  this->revision = stored;
  this->uncertain = true;
}

void LeaseWithholding::Release(const WorkerId& worker) {
  if (this->Withholds(worker)) return;
  this->SetFlag(worker, false);
  OwnerContext& context = *this->parts.context;
  WorkerSession* session = context.workers.FindLatest(worker);
  if (session == nullptr || session->unresponsive) return;
  context.holds->SendIfDue(session);
  context.runs->SendContacted(session);
  context.dispatcher->SchedulePass();
}

void LeaseWithholding::SetFlag(const WorkerId& worker, bool withheld) {
  WorkerSession* session = this->parts.context->workers.FindLatest(worker);
  if (session != nullptr) session->lease_withheld = withheld;
}

}  // namespace mustardproxy::jobs
