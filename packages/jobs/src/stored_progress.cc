#include "stored_progress.h"

#include <utility>

#include "keys.h"
#include "options.h"

namespace mustardproxy::jobs {

StoredProgress::StoredProgress(const Parts& parts,
                               std::function<void()> on_read)
    : parts(parts), on_read(std::move(on_read)) {}

void StoredProgress::Read() { this->ReadFrom(""); }

void StoredProgress::ReadFrom(const std::string& after) {
  this->parts.store->List(
      keys::kProgress, after,
      this->guard.Wrap(
          [this](const Result<StorePage>& page) { this->OnPage(page); }));
}

void StoredProgress::OnPage(const Result<StorePage>& page) {
  if (!page) {
    if (!std::exchange(this->failing, true)) {
      this->parts.log->Write("owner", "progress-not-read",
                             {{"reason", page.error().message()}});
    }
    this->items.clear();
    this->parts.executor->After(kStoreRetryDelay,
                                this->guard.Wrap([this] { this->Read(); }));
    return;
  }
  this->failing = false;
  for (const StoreItem& item : page.value().items) {
    this->items.emplace(item.key.substr(keys::kProgress.size()), item);
  }
  if (page.value().truncated && !page.value().items.empty()) {
    this->ReadFrom(page.value().items.back().key);
    return;
  }
  this->complete = true;
  this->completed_at = this->parts.executor->Now();
  this->on_read();
}

std::optional<StoreItem> StoredProgress::Claim(const JobId& id) {
  auto found = this->items.extract(id);
  if (found.empty()) return std::nullopt;
  return std::move(found.mapped());
}

void StoredProgress::RemoveUnclaimed() {
  const Instant now = this->parts.executor->Now();
  if (now < this->completed_at + kFinalStateRetention) return;
  for (const auto& [id, item] : std::exchange(this->items, {})) {
    this->Remove(id, item.revision);
  }
}

void StoredProgress::Remove(const JobId& id, Revision revision) {
  Transaction transaction;
  transaction.conditions.push_back({keys::Owner(), this->parts.token});
  transaction.conditions.push_back({keys::OfProgress(id), revision});
  transaction.removals.push_back(keys::OfProgress(id));
  this->parts.store->Commit(
      std::move(transaction),
      this->guard.Wrap([this, id](const CommitResult& result) {
        // The next owner reads a record that remains and removes it again.
        this->parts.log->Write(
            "jobs", "progress-removed",
            {{"job", id.Text()},
             {"done", result.end == CommitOutcome::kCommitted ? 1 : 0}});
      }));
}

}  // namespace mustardproxy::jobs
