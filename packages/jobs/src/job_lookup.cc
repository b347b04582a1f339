#include "job_lookup.h"

#include <utility>

#include "keys.h"
#include "mustardproxy/core/error.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

JobLookup::JobLookup(Executor* executor, KeyValueStore* store)
    : executor(executor), store(store) {}

void JobLookup::Find(const JobId& id, Duration timeout, Done done) {
  auto search = std::make_shared<Search>();
  search->id = id;
  search->deadline = this->executor->Now() + timeout;
  search->done = std::move(done);
  this->ReadJob(search);
}

bool JobLookup::HandleFailure(const SearchPtr& search,
                              const Result<StoreItem>& item) {
  const bool answered = item || item.error() == Error::kUnknownRequest;
  if (answered) return false;
  if (this->executor->Now() + kStoreRetryDelay >= search->deadline) {
    search->done(make_error_code(Error::kPlatformUnavailable));
    return true;
  }
  this->executor->After(kStoreRetryDelay, this->guard.Wrap([this, search] {
    this->ReadJob(search);
  }));
  return true;
}

void JobLookup::ReadJob(const SearchPtr& search) {
  this->store->Read(
      keys::OfJob(search->id),
      this->guard.Wrap([this, search](const Result<StoreItem>& item) {
        if (this->HandleFailure(search, item)) return;
        if (item) {
          search->access = DecodeAccess(item.value().value);
          this->ReadProgress(search);
        } else {
          this->ReadEnd(search, Error::kUnknownRequest);
        }
      }));
}

void JobLookup::ReadProgress(const SearchPtr& search) {
  this->store->Read(
      keys::OfProgress(search->id),
      this->guard.Wrap([this, search](const Result<StoreItem>& item) {
        if (this->HandleFailure(search, item)) return;
        const auto status = item ? DecodeStatus(item.value().value)
                                 : std::optional<JobStatus>();
        if (status) {
          this->ReadCancel(search,
                           {status->state, status->cause, search->access});
        } else if (item) {
          search->done(make_error_code(Error::kMalformedReply));
        } else {
          // Not started, or ended since its job was read.
          this->ReadEnd(search,
                        JobStatus{JobState::kQueued, {}, search->access});
        }
      }));
}

void JobLookup::ReadEnd(const SearchPtr& search,
                        const Result<JobStatus>& if_not_ended) {
  this->store->Read(keys::OfEnded(search->id),
                    this->guard.Wrap([this, search, if_not_ended](
                                         const Result<StoreItem>& item) {
                      if (this->HandleFailure(search, item)) return;
                      const auto status = item
                                              ? DecodeStatus(item.value().value)
                                              : std::optional<JobStatus>();
                      if (status) {
                        search->done(*status);
                      } else if (item) {
                        search->done(make_error_code(Error::kMalformedReply));
                      } else if (if_not_ended) {
                        this->ReadCancel(search, if_not_ended.value());
                      } else {
                        search->done(if_not_ended);
                      }
                    }));
}

void JobLookup::ReadCancel(const SearchPtr& search, const JobStatus& status) {
  this->store->Read(
      keys::OfCancel(search->id),
      this->guard.Wrap([this, search, status](const Result<StoreItem>& item) {
        if (this->HandleFailure(search, item)) return;
        search->done(item ? JobStatus{JobState::kCancelled, {}, status.access}
                          : status);
      }));
}

}  // namespace mustardproxy::jobs
