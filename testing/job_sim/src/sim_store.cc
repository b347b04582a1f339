#include "job_sim/sim_store.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/error.h"

namespace job_sim {
namespace {

using jobs::CommitOutcome;
using jobs::CommitResult;
using jobs::Revision;
using jobs::StoreEvents;
using jobs::StoreItem;
using jobs::StoreLease;
using jobs::StoreLeaseId;
using jobs::StorePage;
using mustardproxy::Error;
using mustardproxy::make_error_code;
using mustardproxy::Result;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a client waits for an answer.
constexpr Duration kTimeout = milliseconds(1000);
constexpr std::size_t kPageItems = 500;

}  // namespace

/// One process's connection to the store.
class SimStoreClient final : public jobs::KeyValueStore {
 public:
  SimStoreClient(SimStore* store, Process* process)
      : store(store), process(process) {}

  void Read(std::string_view key, Done<StoreItem> done) override {
    this->Ask<StoreItem>(std::move(done), [this, key = std::string(key)] {
      const auto found = this->store->items.find(key);
      if (found == this->store->items.end()) {
        return Result<StoreItem>(make_error_code(Error::kUnknownRequest));
      }
      return Result<StoreItem>(found->second);
    });
  }

  void List(std::string_view prefix, std::string_view after,
            Done<StorePage> done) override {
    if (this->store->Silences(prefix)) {
      (void)this->Once<StorePage>(std::move(done), kTimeout);
      return;
    }
    this->Ask<StorePage>(std::move(done), [this, prefix = std::string(prefix),
                                           after = std::string(after)] {
      ++this->store->calls.reads;
      return Result<StorePage>(this->store->List(prefix, after));
    });
  }

  void Watch(std::string_view prefix, Revision revision, Duration wait,
             Done<StoreEvents> done) override {
    auto once = this->Once<StoreEvents>(std::move(done), wait + kTimeout);
    auto watch = std::make_shared<SimStore::Watch>();
    watch->prefix = prefix;
    watch->after = revision;
    watch->done = once;
    if (this->store->Silences(watch->prefix)) return;
    this->Reach([this, watch, wait] {
      ++this->store->calls.watches;
      this->store->watches.push_back(watch);
      this->store->WakeWatches();
      this->store->time->After(wait, [this, watch] {
        if (!watch->done) return;
        const auto answer = std::exchange(watch->done, {});
        this->store->watches.remove(watch);
        StoreEvents none;
        none.current = std::max(watch->after, this->store->revision);
        answer(none);
      });
    });
  }

  void Commit(jobs::Transaction transaction,
              std::function<void(CommitResult)> done) override {
    auto* time = this->store->time;
    auto shared =
        std::make_shared<std::function<void(CommitResult)>>(std::move(done));
    const auto answer = [this, shared](const CommitResult& result) {
      this->process->Post([shared, result] {
        const auto call = std::exchange(*shared, {});
        if (call) call(result);
      });
    };
    if (this->process->store_cut || this->store->refusing) {
      time->After(this->store->latency, [answer] {
        answer(CommitResult{CommitOutcome::kNotApplied, 0, {}});
      });
      return;
    }
    time->After(kTimeout, [answer] { answer(CommitResult{}); });
    if (time->Chance(this->store->late_writes)) {
      time->After(time->DrawBetween(seconds(1), seconds(6)),
                  [this, transaction] { this->store->Commit(transaction); });
      return;
    }
    const bool lost = time->Chance(this->store->lost_answers);
    time->After(this->store->latency, [this, transaction, answer, lost] {
      if (!this->store->Reaches(*this->process)) return;
      ++this->store->calls.writes;
      const CommitResult result = this->store->Commit(transaction);
      if (!lost) answer(result);
    });
  }

  void GrantLease(Duration ttl, Done<StoreLease> done) override {
    this->Ask<StoreLease>(std::move(done), [this, ttl] {
      return Result<StoreLease>(this->store->Grant(ttl));
    });
  }

  void RenewLease(StoreLeaseId lease, Done<StoreLease> done) override {
    this->Ask<StoreLease>(std::move(done), [this, lease] {
      ++this->store->calls.renewals;
      if (this->store->Renew(lease)) {
        return Result<StoreLease>(StoreLease{lease, Duration::zero()});
      }
      return Result<StoreLease>(make_error_code(Error::kUnknownRequest));
    });
  }

  void EndLease(StoreLeaseId lease) override {
    this->Reach([this, lease] { this->store->EndLease(lease); });
  }

 private:
  /// Runs `task` at the store after the way there, if it is reached.
  void Reach(std::function<void()> task) {
    this->store->time->After(this->store->latency,
                             [this, task = std::move(task)] {
                               if (this->store->Reaches(*this->process)) task();
                             });
  }

  /// @return a callback that may be called often and reaches `done` once; with
  ///   an error if it was not called in time
  template <typename T>
  std::function<void(Result<T>)> Once(Done<T> done, Duration limit) {
    auto shared = std::make_shared<Done<T>>(std::move(done));
    auto answer = [this, shared](const Result<T>& result) {
      this->process->Post([shared, result] {
        const auto call = std::exchange(*shared, {});
        if (call) call(result);
      });
    };
    this->store->time->After(limit, [answer] {
      answer(make_error_code(Error::kPlatformUnavailable));
    });
    return answer;
  }

  template <typename T, typename Task>
  void Ask(Done<T> done, Task task) {
    auto answer = this->Once<T>(std::move(done), kTimeout);
    if (this->store->refusing || this->process->store_cut) {
      this->store->time->After(this->store->latency, [answer] {
        answer(make_error_code(Error::kPlatformUnavailable));
      });
      return;
    }
    this->Reach([answer, task] { answer(task()); });
  }

  SimStore* store;
  Process* process;
};

std::unique_ptr<jobs::KeyValueStore> SimStore::Connect(Process* process) {
  return std::make_unique<SimStoreClient>(this, process);
}

bool SimStore::Reaches(const Process& process) const {
  return !this->silent && !this->refusing && !process.store_cut;
}

void SimStore::Change(const std::string& key, const std::string* value,
                      StoreLeaseId lease) {
  jobs::StoreEvent event;
  event.item.key = key;
  event.item.revision = this->revision;
  event.deleted = value == nullptr;
  if (value != nullptr) {
    event.item.value = *value;
    event.item.lease = lease;
    this->items[key] = event.item;
  } else {
    this->items.erase(key);
  }
  this->history.push_back(event);
}

void SimStore::Put(const std::string& key, const std::string& value) {
  ++this->revision;
  this->Change(key, &value, 0);
  this->WakeWatches();
}

void SimStore::Remove(const std::string& key) {
  if (!this->items.contains(key)) return;
  ++this->revision;
  this->Change(key, nullptr, 0);
  this->WakeWatches();
}

const std::string* SimStore::Get(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? nullptr : &found->second.value;
}

CommitResult SimStore::Commit(const jobs::Transaction& transaction) {
  CommitResult result;
  bool holds = true;
  for (const jobs::StoreCondition& condition : transaction.conditions) {
    const auto found = this->items.find(condition.key);
    const bool present = found != this->items.end();
    if (present) result.found.push_back(found->second);
    const Revision actual = present ? found->second.revision : 0;
    holds = holds && actual == condition.revision;
  }
  if (!holds) {
    result.end = CommitOutcome::kConflict;
    return result;
  }
  for (const jobs::StorePut& put : transaction.puts) {
    if (put.lease != 0 && !this->leases.contains(put.lease)) {
      result.end = CommitOutcome::kLeaseNotFound;
      return result;
    }
  }
  ++this->revision;
  for (const jobs::StorePut& put : transaction.puts) {
    this->Change(put.key, &put.value, put.lease);
  }
  for (const std::string& key : transaction.removals) {
    if (this->items.contains(key)) this->Change(key, nullptr, 0);
  }
  this->WakeWatches();
  return {CommitOutcome::kCommitted, this->revision, {}};
}

StorePage SimStore::List(const std::string& prefix, const std::string& after) {
  StorePage page;
  page.current = this->revision;
  const std::string from = after.empty() ? prefix : after;
  for (auto item = this->items.lower_bound(from); item != this->items.end();
       ++item) {
    if (!item->first.starts_with(prefix)) break;
    if (item->first == after) continue;
    if (page.items.size() == kPageItems) {
      page.truncated = true;
      break;
    }
    page.items.push_back(item->second);
  }
  return page;
}

Result<StoreEvents> SimStore::EventsAfter(const std::string& prefix,
                                          Revision after) const {
  if (after < this->compacted) return make_error_code(Error::kHistoryLost);
  StoreEvents events;
  events.current = this->revision;
  auto event =
      std::upper_bound(this->history.begin(), this->history.end(), after,
                       [](Revision revision, const jobs::StoreEvent& one) {
                         return revision < one.item.revision;
                       });
  for (; event != this->history.end(); ++event) {
    if (!event->item.key.starts_with(prefix)) continue;
    if (events.events.size() == this->max_events) {
      events.current = events.events.back().item.revision;
      break;
    }
    events.events.push_back(*event);
  }
  return events;
}

void SimStore::WakeWatches() {
  for (auto next = this->watches.begin(); next != this->watches.end();) {
    const auto watch = *next;
    const auto events = this->EventsAfter(watch->prefix, watch->after);
    if (events && events.value().events.empty()) {
      ++next;
      continue;
    }
    next = this->watches.erase(next);
    if (events) this->watched_events += std::ssize(events.value().events);
    std::exchange(watch->done, {})(events);
  }
}

void SimStore::Compact() {
  this->compacted = this->revision;
  this->history.clear();
  this->WakeWatches();
}

StoreLease SimStore::Grant(Duration ttl) {
  const StoreLeaseId id = this->next_lease++;
  this->leases[id] = {ttl, this->time->Now() + ttl};
  this->CheckLease(id);
  return {id, ttl};
}

bool SimStore::Renew(StoreLeaseId id) {
  const auto lease = this->leases.find(id);
  if (lease == this->leases.end()) return false;
  lease->second.until = this->time->Now() + lease->second.ttl;
  return true;
}

void SimStore::CheckLease(StoreLeaseId id) {
  const auto lease = this->leases.find(id);
  if (lease == this->leases.end()) return;
  const bool away = this->silent || this->refusing;
  if (away && !this->leases_run_on) {
    lease->second.until = this->time->Now() + lease->second.ttl;
  }
  const Duration left = lease->second.until - this->time->Now();
  if (left <= Duration::zero()) {
    this->EndLease(id);
    return;
  }
  this->time->After(left, [this, id] { this->CheckLease(id); });
}

void SimStore::EndLease(StoreLeaseId id) {
  if (this->leases.erase(id) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == id) keys.push_back(key);
  }
  for (const std::string& key : keys) this->Remove(key);
}

void SimStore::RevokeLeases() {
  std::vector<StoreLeaseId> ids;
  for (const auto& [id, lease] : this->leases) ids.push_back(id);
  for (const StoreLeaseId id : ids) this->EndLease(id);
}

}  // namespace job_sim
