#include "lifecycle/journals.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "lifecycle/request_name.h"

namespace mustardproxy::detail {
namespace {

/// An append pending for longer than this indicates that the platform is
/// unreachable.
constexpr Duration kMaxHealthyWait = std::chrono::seconds(2);
/// Number of batches after which a journal is compacted.
constexpr std::uint64_t kCompactionInterval = 256;
/// How long an adopted journal is kept: its fence must outlast any pause of the
/// former writer.
constexpr Duration kFenceRetention = std::chrono::hours(24);

}  // namespace

void Journals::Boot() { this->OpenOwn(); }

void Journals::OpenOwn() {
  const CoreOptions& options = this->parts->context.options;
  this->own = JournalName(options.self.process, options.incarnation,
                          this->opened_count++);
  this->Open(this->own, 1);
}

void Journals::Open(const JournalId& journal, std::uint64_t sequence) {
  this->open.erase(journal);
  Journal writer(journal, sequence, this->parts->context.options.journal,
                 this->parts->context.random());
  OpenJournal added{std::move(writer)};
  added.opened = this->parts->context.now;
  ++this->generation;
  this->open.emplace(journal, std::move(added));
}

Journals::OpenJournal* Journals::Find(const JournalId& journal) {
  const auto found = this->open.find(journal);
  return found == this->open.end() ? nullptr : &found->second;
}

std::vector<JournalId> Journals::Names() const {
  std::vector<JournalId> names;
  for (const auto& [name, journal] : this->open) {
    names.push_back(name);
  }
  return names;
}

bool Journals::IsUnused(const JournalId& journal) const {
  const auto found = this->open.find(journal);
  return found == this->open.end() ||
         (found->second.writer.LastSequence() == 0 &&
          found->second.writer.Idle() && found->second.overflow.empty());
}

bool Journals::IsClosing(const JournalId& journal) const {
  const auto found = this->open.find(journal);
  return found != this->open.end() && found->second.closing;
}

void Journals::EraseExpired() {
  std::vector<JournalId> old;
  for (const auto& [name, journal] : this->open) {
    const Duration age = this->parts->context.now - journal.opened;
    const bool needed = name == this->own || !journal.writer.Idle() ||
                        this->parts->deferred.SizeIn(name) > 0;
    if (!needed && age > kFenceRetention) {
      old.push_back(name);
    }
  }
  for (const JournalId& name : old) {
    this->Erase(name);
  }
}

bool Journals::Healthy() const {
  const OpenJournal& journal = this->open.at(this->own);
  const Instant now = this->parts->context.now;
  return this->parts->context.platform_reachable && journal.overflow.empty() &&
         journal.writer.OldestPending(now) < kMaxHealthyWait;
}

bool Journals::Write(OpenJournal* journal, const JournalRecord& record) {
  const std::uint64_t ticket = journal->writer.Append(record);
  if (ticket == 0) {
    return false;
  }
  journal->pending.emplace(ticket, record);
  return true;
}

bool Journals::TryAppend(const JournalId& journal,
                         const JournalRecord& record) {
  OpenJournal* found = this->Find(journal);
  return found != nullptr && found->overflow.empty() &&
         this->Write(found, record);
}

void Journals::Append(const JournalId& journal, JournalRecord record) {
  OpenJournal* found = this->Find(journal);
  if (found == nullptr) {
    return;
  }
  const bool taken = found->overflow.empty() && this->Write(found, record);
  if (!taken) {
    found->overflow.push_back(std::move(record));
  }
}

void Journals::Adopt(const JournalId& journal, std::uint64_t sequence) {
  this->Open(journal, sequence);
  AdoptedRecord record;
  record.by = this->parts->context.Self();
  record.incarnation = this->parts->context.options.incarnation;
  this->Append(journal, record);
}

void Journals::HandOver(const JournalId& journal) {
  OpenJournal* found = this->Find(journal);
  if (found == nullptr || found->closing) {
    return;
  }
  found->closing = true;
  this->Append(journal, HandedOverRecord{});
  if (journal == this->own) {
    this->OpenOwn();
  }
}

void Journals::Drop(const JournalId& journal) {
  this->open.erase(journal);
  ++this->generation;
  if (journal == this->own) {
    this->OpenOwn();
  }
}

void Journals::Erase(const JournalId& journal) {
  const OpenJournal* found = this->Find(journal);
  if (found == nullptr) {
    return;
  }
  this->parts->context.Emit(TrimJournal{journal, found->writer.LastSequence()});
  this->Drop(journal);
}

void Journals::On(const JournalAppended& event) {
  OpenJournal* journal = this->Find(event.journal);
  if (journal == nullptr) {
    return;
  }
  const Instant now = this->parts->context.now;
  const std::vector<std::uint64_t> durable =
      journal->writer.OnAppended(now, event.sequence);
  std::vector<JournalRecord> records;
  for (const std::uint64_t ticket : durable) {
    const auto found = journal->pending.find(ticket);
    if (found != journal->pending.end()) {
      records.push_back(std::move(found->second));
      journal->pending.erase(found);
    }
    this->FinishCompaction(journal, ticket);
  }
  TimelineEvent line =
      TextEvent(TimelineKind::kJournalAppended, event.journal.Text());
  this->parts->context.Record(std::move(line));
  // Applying the records may open or drop journals.
  for (const JournalRecord& record : records) {
    if (!this->Holds(event.journal)) {
      return;
    }
    this->parts->store.Apply(now, event.journal, record);
    this->parts->OnDurable(event.journal, record);
  }
}

void Journals::On(const JournalFenced& event) {
  OpenJournal* journal = this->Find(event.journal);
  if (journal == nullptr) {
    return;
  }
  journal->writer.OnFenced();
  this->parts->context.Record(
      TextEvent(TimelineKind::kJournalFenced, event.journal.Text()));
  this->parts->OnFenced(event.journal);
  this->Drop(event.journal);
}

void Journals::On(const JournalUncertain& event) {
  OpenJournal* journal = this->Find(event.journal);
  if (journal != nullptr) {
    journal->writer.OnUncertain(this->parts->context.now, event.sequence);
  }
}

void Journals::Tick() {
  CoreContext& context = this->parts->context;
  for (auto& [name, journal] : this->open) {
    while (!journal.overflow.empty() &&
           this->Write(&journal, journal.overflow.front())) {
      journal.overflow.pop_front();
    }
    this->Compact(&journal);
    journal.writer.Tick(context.now, context.actions);
  }
}

void Journals::Compact(OpenJournal* journal) {
  const std::uint64_t last = journal->writer.LastSequence();
  const bool due = last >= journal->compacted_at + kCompactionInterval;
  // An adopted journal must keep its fence, so it is not compacted; it gets no
  // new work and stays small.
  if (!due || journal->closing || journal->compaction ||
      journal->writer.Name() != this->own || !journal->writer.Idle()) {
    return;
  }
  // With nothing pending, the snapshot covers every batch up to `last`. It
  // becomes durable before anything is trimmed, so a crash in between loses no
  // records.
  std::uint64_t ticket = 0;
  for (JournalRecord& record : this->parts->store.Snapshot(this->own)) {
    ticket = journal->writer.Append(std::move(record));
    if (ticket == 0) {
      journal->compacted_at = last;
      return;
    }
  }
  journal->compacted_at = last;
  if (ticket == 0) {
    this->parts->context.Emit(TrimJournal{this->own, last - 1});
    return;
  }
  journal->compaction = Compaction{last, ticket};
}

void Journals::FinishCompaction(OpenJournal* journal, std::uint64_t durable) {
  if (journal->compaction && durable >= journal->compaction->ticket) {
    this->parts->context.Emit(
        TrimJournal{journal->writer.Name(), journal->compaction->covered});
    journal->compaction.reset();
  }
}

Instant Journals::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [name, journal] : this->open) {
    next = std::min(next, journal.writer.NextWakeup());
  }
  return next;
}

}  // namespace mustardproxy::detail
