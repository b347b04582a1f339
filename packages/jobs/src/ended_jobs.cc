#include "ended_jobs.h"

#include <utility>

#include "keys.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

EndedJobs::EndedJobs(const Parts& parts) : parts(parts) {}

void EndedJobs::Note(const JobId& id, JobStatus status) {
  if (!this->ends.emplace(id, std::move(status)).second) return;
  this->order.push_back({id, this->parts.executor->Now()});
}

std::optional<JobStatus> EndedJobs::Find(const JobId& id) const {
  const auto found = this->ends.find(id);
  if (found == this->ends.end()) return std::nullopt;
  return found->second;
}

void EndedJobs::Read() { this->ReadFrom(""); }

void EndedJobs::ReadFrom(const std::string& after) {
  this->parts.store->List(
      keys::kEnded, after,
      this->guard.Wrap([this, after](const Result<StorePage>& page) {
        this->OnPage(after, page);
      }));
}

void EndedJobs::OnPage(const std::string& after,
                       const Result<StorePage>& page) {
  if (!page) {
    this->parts.log->Write("jobs", "ended-not-read",
                           {{"reason", page.error().message()}});
    this->parts.executor->After(
        kStoreRetryDelay,
        this->guard.Wrap([this, after] { this->ReadFrom(after); }));
    return;
  }
  for (const StoreItem& item : page.value().items) {
    const JobId id(item.key.substr(keys::kEnded.size()));
    auto status = DecodeStatus(item.value);
    if (status) {
      this->Note(id, std::move(*status));
    } else {
      this->parts.log->Write("jobs", "ended-broken", {{"job", id.Text()}});
    }
  }
  if (page.value().truncated && !page.value().items.empty()) {
    this->ReadFrom(page.value().items.back().key);
  }
}

void EndedJobs::RemoveExpired() {
  if (this->removing) return;
  const Instant old = this->parts.executor->Now() - kFinalStateRetention;
  std::vector<JobId> removed;
  for (const Ended& ended : this->order) {
    if (ended.noted > old || removed.size() == kRetentionBatch) break;
    removed.push_back(ended.id);
  }
  if (removed.empty()) return;
  Transaction transaction;
  transaction.conditions.push_back({keys::Owner(), this->parts.token});
  for (const JobId& id : removed) {
    transaction.removals.push_back(keys::OfEnded(id));
    // The cancellation is kept until now: a reader that reads the keys of a job
    // one by one must not find its cancellation removed before its final state.
    transaction.removals.push_back(keys::OfCancel(id));
  }
  this->removing = true;
  this->parts.store->Commit(
      std::move(transaction),
      this->guard.Wrap(
          [this, removed = std::move(removed)](const CommitResult& result) {
            this->removing = false;
            this->OnRemoved(removed, result);
          }));
}

void EndedJobs::OnRemoved(const std::vector<JobId>& removed,
                          const CommitResult& result) {
  // On failure the next call tries again.
  if (result.end != CommitOutcome::kCommitted) return;
  for (const JobId& id : removed) {
    this->ends.erase(id);
    this->order.pop_front();
  }
  this->parts.log->Write("jobs", "jobs-forgotten", {{"jobs", removed.size()}});
}

}  // namespace mustardproxy::jobs
