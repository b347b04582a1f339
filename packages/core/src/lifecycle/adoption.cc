#include "lifecycle/adoption.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "lifecycle/parts.h"
#include "lifecycle/request_name.h"

namespace mustardproxy::detail {
namespace {

constexpr Duration kListInterval = std::chrono::seconds(5);
constexpr Duration kReadDelay = std::chrono::milliseconds(500);
/// Delay after another process fenced the journal first.
constexpr Duration kFencedDelay = std::chrono::seconds(10);

/// How long a journal must be without a live holder before a process adopts it,
/// by the rank of that process. The delay covers a late heartbeat; an adoption
/// that was not needed costs only a fence.
struct AdoptionDelays {
  Duration preferred;
  /// For processes other than the preferred adopter, which may have no
  /// connection to the platform.
  Duration other;
  /// For processes that own no worker and therefore can't run the work.
  Duration without_workers;
};
constexpr AdoptionDelays kAfterLoss = {std::chrono::seconds(3),
                                       std::chrono::seconds(12),
                                       std::chrono::seconds(20)};
constexpr AdoptionDelays kAfterHandOver = {Duration{0}, std::chrono::seconds(2),
                                           std::chrono::seconds(10)};

bool HandedOver(const std::vector<JournalBatch>& batches) {
  return !batches.empty() && !batches.back().records.empty() &&
         std::holds_alternative<HandedOverRecord>(
             batches.back().records.back());
}

}  // namespace

void Adoption::ScheduleList() {
  const Instant soon = this->parts->context.now + kReadDelay;
  this->next_list = std::min(this->next_list, soon);
}

void Adoption::Tick() {
  const CoreContext& context = this->parts->context;
  if (context.now < this->next_list || context.stopping) {
    return;
  }
  this->next_list = context.now + kListInterval;
  if (context.platform_reachable) {
    this->parts->context.Emit(ListJournals{});
  }
}

bool Adoption::IsFree(const JournalId& journal) const {
  if (this->parts->journals.Holds(journal) || this->parts->context.stopping) {
    return false;
  }
  const std::optional<NamedProcess> writer = WriterOf(journal);
  // Only workers of the own data centre can be queried for their tasks, and
  // another data centre that is unreachable from here may still be running the
  // work.
  if (!writer || !this->parts->IsLocal(writer->process)) {
    return false;
  }
  const std::optional<ProcessId> holder =
      this->parts->membership.JournalHolder(journal);
  return !holder || *holder == this->parts->context.Self();
}

Instant Adoption::DueAt(const JournalId& journal, const Orphan& orphan) const {
  const AdoptionDelays& delays =
      orphan.handed_over ? kAfterHandOver : kAfterLoss;
  if (this->parts->ledger.WorkerCount() == 0) {
    return orphan.free_since + delays.without_workers;
  }
  const bool mine = this->parts->membership.PreferredAdopter(journal) ==
                    this->parts->context.Self();
  const bool preferred = mine || this->PreferredHasNoWorkers(journal);
  return orphan.free_since + (preferred ? delays.preferred : delays.other);
}

bool Adoption::PreferredHasNoWorkers(const JournalId& journal) const {
  const auto digest = this->parts->membership.LastDigest(
      this->parts->membership.PreferredAdopter(journal));
  return digest && digest->owned_workers == 0;
}

void Adoption::On(const JournalsListed& event) {
  const Instant now = this->parts->context.now;
  std::set<JournalId> listed(event.journals.begin(), event.journals.end());
  std::erase_if(this->orphans, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  for (const JournalId& journal : listed) {
    if (!this->IsFree(journal)) {
      this->orphans.erase(journal);
      continue;
    }
    this->orphans.emplace(journal, Orphan{now, now, false, false});
    this->ReadIfDue(journal);
  }
}

void Adoption::ReadIfDue(const JournalId& journal) {
  const Instant now = this->parts->context.now;
  Orphan& orphan = this->orphans.at(journal);
  if (now < orphan.next_read || this->unfenced_batches.contains(journal)) {
    return;
  }
  // The first read shows whether the journal was handed over.
  const Instant due = orphan.read ? this->DueAt(journal, orphan) : now;
  if (now < due) {
    this->next_list = std::min(this->next_list, due);
    return;
  }
  orphan.next_read = now + kReadDelay;
  this->parts->context.Emit(ReadJournal{journal});
}

void Adoption::On(const JournalRead& event) {
  const auto found = this->orphans.find(event.journal);
  if (found == this->orphans.end() || !this->IsFree(event.journal) ||
      event.batches.empty() || this->unfenced_batches.contains(event.journal)) {
    return;
  }
  Orphan& orphan = found->second;
  orphan.read = true;
  orphan.handed_over = HandedOver(event.batches);
  const Instant due = this->DueAt(event.journal, orphan);
  if (this->parts->context.now < due) {
    this->next_list = std::min(this->next_list, due);
    return;
  }
  this->orphans.erase(found);
  this->unfenced_batches[event.journal] = event.batches;
  this->parts->journals.Adopt(event.journal, event.batches.back().sequence + 1);
}

void Adoption::OnAdopted(const JournalId& journal,
                         const AdoptedRecord& record) {
  const CoreContext& context = this->parts->context;
  const bool ours = record.by == context.Self() &&
                    record.incarnation == context.options.incarnation;
  const auto found = this->unfenced_batches.find(journal);
  if (!ours || found == this->unfenced_batches.end()) {
    return;
  }
  const std::vector<DeferredEntry> entries =
      this->parts->store.Recover(context.now, journal, found->second);
  this->unfenced_batches.erase(found);
  this->parts->context.Record(
      TextEvent(TimelineKind::kJournalAdopted, journal.Text()));
  // Failure: this process lost its workers while the record was being written,
  // and has already handed the journal over. Work resumed now could never be
  // completed and would be reported as running. The next adopter reads it from
  // the journal.
  if (this->parts->journals.IsClosing(journal)) {
    return;
  }
  for (const DeferredEntry& entry : entries) {
    this->parts->deferred.Resume(entry);
  }
}

void Adoption::OnFenced(const JournalId& journal) {
  this->unfenced_batches.erase(journal);
  const Instant now = this->parts->context.now;
  this->orphans[journal] = Orphan{now, now + kFencedDelay, false, false};
}

}  // namespace mustardproxy::detail
