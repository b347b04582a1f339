#include "prefix_mirror.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "mustardproxy/core/error.h"
#include "options.h"

namespace mustardproxy::jobs {

PrefixMirror::PrefixMirror(Executor* executor, KeyValueStore* store,
                           EventLog* log, Options options, Handlers handlers)
    : executor(executor),
      store(store),
      log(log),
      options(std::move(options)),
      handlers(std::move(handlers)) {}

void PrefixMirror::Start() {
  this->listing = true;
  this->first_page = true;
  this->listing_since = this->executor->Now();
  this->ahead.reset();
  this->reading_revision = false;
  this->watching = false;
  this->seen.clear();
  this->ListFrom("");
}

void PrefixMirror::Refresh() {
  if (this->listing) return;
  // Discards the callback of the watch in flight.
  this->guard = CallbackGuard();
  this->Start();
}

void PrefixMirror::ListFrom(const std::string& after) {
  const Instant sent_at = this->executor->Now();
  this->store->List(
      this->options.prefix, after,
      this->guard.Wrap([this, sent_at](const Result<StorePage>& page) {
        this->OnPage(sent_at, page);
      }));
}

void PrefixMirror::OnPage(Instant sent_at, const Result<StorePage>& page) {
  if (!page) {
    this->Retry(/*anew=*/true);
    return;
  }
  this->reachable = true;
  this->last_answered_call_at = sent_at;
  // Pages are not a snapshot. The watch starts at the revision of the first
  // page, so changes between pages are not lost.
  if (std::exchange(this->first_page, false)) this->next = page.value().current;
  for (const StoreItem& item : page.value().items) {
    this->seen.insert(item.key);
    this->NotifyChanged(item);
  }
  if (page.value().truncated && !page.value().items.empty()) {
    this->ListFrom(page.value().items.back().key);
    return;
  }
  this->FinishList();
}

void PrefixMirror::FinishList() {
  std::vector<std::string> gone;
  for (const auto& [key, revision] : this->known) {
    if (!this->seen.contains(key)) gone.push_back(key);
  }
  for (const std::string& key : gone) this->NotifyDeleted(key, this->next);
  this->seen.clear();
  this->listing = false;
  this->confirmed_at = std::max(this->confirmed_at, this->listing_since);
  const bool first = !std::exchange(this->listed, true);
  if (first && this->handlers.on_listed) this->handlers.on_listed();
  this->Watch();
}

void PrefixMirror::Watch() {
  if (std::exchange(this->watching, true)) return;
  if (this->pause_timer) this->executor->Cancel(*this->pause_timer);
  this->pause_timer.reset();
  this->ReadRevision();
  const Instant sent_at = this->executor->Now();
  const Duration wait = this->options.wait;
  this->store->Watch(this->options.prefix, this->next, wait,
                     this->guard.Wrap([this, sent_at, wait](
                                          const Result<StoreEvents>& events) {
                       this->OnEvents(sent_at, wait, events);
                     }));
}

void PrefixMirror::OnEvents(Instant sent_at, Duration wait,
                            const Result<StoreEvents>& events) {
  this->watching = false;
  if (!events) {
    const bool forgotten = events.error() == Error::kHistoryLost;
    if (forgotten) {
      this->log->Write(
          "store", "history-lost",
          {{"prefix", this->options.prefix}, {"after", this->next}});
    }
    this->Retry(forgotten);
    return;
  }
  this->reachable = true;
  this->last_answered_call_at = sent_at;
  this->next = std::max(this->next, events.value().current);
  if (events.value().events.empty()) {
    // A watch without events was answered at its end.
    this->confirmed_at = std::max(this->confirmed_at, sent_at + wait);
  } else if (this->options.revision_key.empty()) {
    this->confirmed_at = std::max(this->confirmed_at, sent_at);
  }
  for (const StoreEvent& event : events.value().events) {
    if (event.deleted) {
      this->NotifyDeleted(event.item.key, event.item.revision);
    } else {
      this->NotifyChanged(event.item);
    }
  }
  this->ConfirmIfReached();
  // Failure: there are more changes than one answer holds, each watch is
  // followed by the pause, and the view falls behind by ever more.
  if (this->options.pause == Duration::zero() || this->ahead) {
    this->Watch();
  } else {
    this->pause_timer = this->executor->After(
        this->options.pause, this->guard.Wrap([this] { this->Watch(); }));
  }
}

void PrefixMirror::ReadRevision() {
  const bool wanted = !this->options.revision_key.empty() && !this->ahead;
  if (!wanted || std::exchange(this->reading_revision, true)) return;
  const Instant sent_at = this->executor->Now();
  this->store->List(
      this->options.revision_key, "",
      this->guard.Wrap([this, sent_at](const Result<StorePage>& page) {
        this->OnRevision(sent_at, page);
      }));
}

void PrefixMirror::OnRevision(Instant sent_at, const Result<StorePage>& page) {
  this->reading_revision = false;
  if (!page) return;
  this->ahead = {sent_at, page.value().current};
  this->ConfirmIfReached();
  if (this->ahead) this->Watch();
}

void PrefixMirror::ConfirmIfReached() {
  if (!this->ahead || this->next < this->ahead->revision) return;
  this->confirmed_at = std::max(this->confirmed_at, this->ahead->sent_at);
  this->ahead.reset();
}

void PrefixMirror::NotifyChanged(const StoreItem& item) {
  Revision& revision = this->known[item.key];
  if (revision >= item.revision) return;
  revision = item.revision;
  this->handlers.on_change({.item = item, .deleted = false});
}

void PrefixMirror::NotifyDeleted(const std::string& key, Revision revision) {
  const auto found = this->known.find(key);
  if (found == this->known.end() || found->second > revision) return;
  this->known.erase(found);
  StoreEvent event;
  event.item.key = key;
  event.item.revision = revision;
  event.deleted = true;
  this->handlers.on_change(event);
}

void PrefixMirror::Retry(bool anew) {
  if (std::exchange(this->reachable, false) && !anew) {
    this->log->Write("store", "watch-lost", {{"prefix", this->options.prefix}});
  }
  this->RunLater(kStoreRetryDelay, [this, anew] {
    if (anew) {
      this->Start();
    } else {
      this->Watch();
    }
  });
}

void PrefixMirror::RunLater(Duration delay, std::function<void()> task) {
  this->executor->After(delay, this->guard.Wrap(std::move(task)));
}

}  // namespace mustardproxy::jobs
