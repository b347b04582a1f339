#include "mustardproxy/core/deferred_store.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>

namespace mustardproxy {
namespace {

struct StoredEntry {
  DeferredEntry entry;
  /// Position in the order of acceptance; 0 while no accepted record was seen.
  /// A snapshot is written after records that were pending when it was taken,
  /// so the end of a request may be read before its acceptance. Keeping that
  /// end prevents finished work from returning as queued.
  std::uint64_t order = 0;
};

struct EndedRequest {
  RequestId request;
  Instant ended;
};

bool IsUnfinished(const StoredEntry& stored) {
  return stored.order != 0 && !stored.entry.ended;
}

}  // namespace

struct DeferredStore::State {
  StoredEntry& FindOrCreate(const RequestId& request, const JournalId& journal);
  void MarkEnded(Instant now, StoredEntry* stored, DeferredState end, bool ran);

  void Apply(Instant now, const JournalId& journal,
             const AcceptedRecord& record);
  void Apply(Instant now, const JournalId& journal,
             const StartedRecord& record);
  void Apply(Instant now, const JournalId& journal,
             const FinishedRecord& record);
  void Apply(Instant now, const JournalId& journal,
             const CancelledRecord& record);
  void Apply(Instant /*now*/, const JournalId& /*journal*/,
             const HandedOverRecord& /*record*/) {}
  void Apply(Instant /*now*/, const JournalId& /*journal*/,
             const AdoptedRecord& /*record*/) {}

  std::unordered_map<RequestId, StoredEntry> entries;
  std::unordered_map<JournalId, std::size_t> unfinished;
  /// In order of their end, because time never decreases.
  std::deque<EndedRequest> ended;
  std::uint64_t last_order = 0;
  std::size_t bytes = 0;
};

StoredEntry& DeferredStore::State::FindOrCreate(const RequestId& request,
                                                const JournalId& journal) {
  const auto [place, added] = this->entries.try_emplace(request);
  if (added) {
    place->second.entry.request.id = request;
    place->second.entry.journal = journal;
  }
  return place->second;
}

void DeferredStore::State::MarkEnded(Instant now, StoredEntry* stored,
                                     DeferredState end, bool ran) {
  DeferredEntry& entry = stored->entry;
  if (IsUnfinished(*stored)) {
    --this->unfinished[entry.journal];
  }
  entry.state = end;
  entry.ran = ran;
  entry.ended = now;
  this->bytes -= View(entry.request.body).size();
  entry.request.body.reset();
  this->ended.push_back({entry.request.id, now});
}

void DeferredStore::State::Apply(Instant /*now*/, const JournalId& journal,
                                 const AcceptedRecord& record) {
  StoredEntry& stored = this->FindOrCreate(record.request.id, journal);
  if (stored.order != 0) {
    return;
  }
  stored.order = ++this->last_order;
  stored.entry.request = record.request;
  if (stored.entry.ended) {
    stored.entry.request.body.reset();
    return;
  }
  this->bytes += View(record.request.body).size();
  ++this->unfinished[stored.entry.journal];
}

void DeferredStore::State::Apply(Instant /*now*/, const JournalId& journal,
                                 const StartedRecord& record) {
  DeferredEntry& entry = this->FindOrCreate(record.request, journal).entry;
  if (entry.ended || record.attempt < entry.attempt) {
    return;
  }
  if (record.attempt > entry.attempt) {
    entry.attempt = record.attempt;
    entry.started.clear();
  }
  const bool known = std::any_of(
      entry.started.begin(), entry.started.end(),
      [&](const StartedRecord& each) { return each.task == record.task; });
  if (!known) {
    entry.started.push_back(record);
  }
  entry.state = DeferredState::kRunning;
}

void DeferredStore::State::Apply(Instant now, const JournalId& journal,
                                 const FinishedRecord& record) {
  StoredEntry& stored = this->FindOrCreate(record.request, journal);
  if (stored.entry.ended) {
    return;
  }
  stored.entry.result = record.answer;
  this->bytes += View(record.answer.body).size();
  this->MarkEnded(now, &stored, record.state,
                  record.answer.outcome != Outcome::kNotRun);
}

void DeferredStore::State::Apply(Instant now, const JournalId& journal,
                                 const CancelledRecord& record) {
  StoredEntry& stored = this->FindOrCreate(record.request, journal);
  if (!stored.entry.ended) {
    this->MarkEnded(now, &stored, DeferredState::kCancelled, record.ran);
  }
}

DeferredStore::DeferredStore() : state(std::make_unique<State>()) {}
DeferredStore::~DeferredStore() = default;
DeferredStore::DeferredStore(DeferredStore&&) noexcept = default;
DeferredStore& DeferredStore::operator=(DeferredStore&&) noexcept = default;

void DeferredStore::Apply(Instant now, const JournalId& journal,
                          const JournalRecord& record) {
  std::visit(
      [&](const auto& typed) { this->state->Apply(now, journal, typed); },
      record);
}

std::vector<DeferredEntry> DeferredStore::Recover(
    Instant now, const JournalId& journal,
    std::span<const JournalBatch> batches) {
  std::vector<RequestId> accepted;
  std::unordered_set<RequestId> seen;
  for (const JournalBatch& batch : batches) {
    for (const JournalRecord& record : batch.records) {
      this->Apply(now, journal, record);
      const auto* first = std::get_if<AcceptedRecord>(&record);
      if (first != nullptr && seen.insert(first->request.id).second) {
        accepted.push_back(first->request.id);
      }
    }
  }
  std::vector<DeferredEntry> left;
  for (const RequestId& request : accepted) {
    const DeferredEntry* entry = this->Find(request);
    if (entry != nullptr && !entry->ended) {
      left.push_back(*entry);
    }
  }
  return left;
}

const DeferredEntry* DeferredStore::Find(const RequestId& request) const {
  const auto found = this->state->entries.find(request);
  const bool known =
      found != this->state->entries.end() && found->second.order != 0;
  return known ? &found->second.entry : nullptr;
}

std::vector<RequestId> DeferredStore::Expire(Instant now, Duration retention) {
  std::vector<RequestId> expired;
  std::deque<EndedRequest>& ended = this->state->ended;
  while (!ended.empty() && now - ended.front().ended > retention) {
    const auto found = this->state->entries.find(ended.front().request);
    this->state->bytes -= View(found->second.entry.result.body).size();
    this->state->entries.erase(found);
    expired.push_back(std::move(ended.front().request));
    ended.pop_front();
  }
  return expired;
}

std::vector<JournalRecord> DeferredStore::Snapshot(
    const JournalId& journal) const {
  std::vector<const StoredEntry*> chosen;
  for (const auto& [request, stored] : this->state->entries) {
    if (stored.order != 0 && stored.entry.journal == journal) {
      chosen.push_back(&stored);
    }
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const StoredEntry* a, const StoredEntry* b) {
              return a->order < b->order;
            });
  std::vector<JournalRecord> records;
  for (const StoredEntry* stored : chosen) {
    const DeferredEntry& entry = stored->entry;
    records.emplace_back(AcceptedRecord{entry.request});
    records.insert(records.end(), entry.started.begin(), entry.started.end());
    if (entry.state == DeferredState::kCancelled) {
      records.emplace_back(CancelledRecord{entry.request.id, entry.ran});
    } else if (entry.ended) {
      records.emplace_back(
          FinishedRecord{entry.request.id, entry.state, entry.result});
    }
  }
  return records;
}

std::size_t DeferredStore::Size() const { return this->state->entries.size(); }

std::size_t DeferredStore::Bytes() const { return this->state->bytes; }

std::size_t DeferredStore::UnfinishedCount(const JournalId& journal) const {
  const auto found = this->state->unfinished.find(journal);
  return found == this->state->unfinished.end() ? 0 : found->second;
}

}  // namespace mustardproxy
