#include "claim_sweeper.h"

#include <set>
#include <utility>

namespace mustardproxy::platform_detail {
namespace {

/// Pause between two calls, so that a round leaves the platform's rates to what
/// callers wait for.
constexpr Duration kStepPause = std::chrono::milliseconds(100);
/// Claims watched at a time; bounds the memory. The others are watched once
/// these are gone.
constexpr std::size_t kMostWatched = 50'000;

}  // namespace

std::optional<Duration> ClaimSweeper::Step(KeyValueClient* client, Instant now,
                                           Duration retention) {
  if (this->round.empty()) {
    return this->Begin(client, now, retention);
  }
  const std::string key = std::move(this->round.back());
  this->round.pop_back();
  const bool known = this->seen.contains(key);
  const bool answered =
      known ? this->Remove(client, key, now) : this->Look(client, key, now);
  if (!answered) {
    this->round.clear();
  }
  return this->round.empty() ? std::nullopt : std::optional(kStepPause);
}

std::optional<Duration> ClaimSweeper::Begin(KeyValueClient* client, Instant now,
                                            Duration retention) {
  const auto keys = client->Keys(kClaimPrefix);
  if (!keys) {
    return std::nullopt;
  }
  const std::set<std::string> present(keys.value().begin(), keys.value().end());
  std::erase_if(this->seen, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
  std::size_t room = kMostWatched - this->seen.size();
  for (const std::string& key : present) {
    const bool known = this->seen.contains(key);
    if (known && this->IsDue(key, now, retention)) {
      this->round.push_back(key);
    }
    if (!known && room > 0) {
      this->round.push_back(key);
      --room;
    }
  }
  return this->round.empty() ? std::nullopt : std::optional(kStepPause);
}

bool ClaimSweeper::IsDue(const std::string& key, Instant now,
                         Duration retention) const {
  return now - this->seen.at(key).since >= retention;
}

bool ClaimSweeper::Look(KeyValueClient* client, const std::string& key,
                        Instant now) {
  const auto found = client->Get(key);
  if (!found) {
    return false;
  }
  if (found.value()) {
    this->seen[key] = Seen{found.value()->modify_index, now};
  }
  return true;
}

bool ClaimSweeper::Remove(KeyValueClient* client, const std::string& key,
                          Instant now) {
  // Failure: the claim is answered, or the key is taken by a new request,
  // between the look and the removal. A plain removal would let a repeat run
  // the request a second time. The platform compares the index and refuses.
  const SwapEnd end = client->RemoveIf(key, this->seen.at(key).index);
  if (end == SwapEnd::kUncertain) {
    return false;
  }
  if (end == SwapEnd::kSwapped) {
    this->seen.erase(key);
    return true;
  }
  return this->Look(client, key, now);
}

}  // namespace mustardproxy::platform_detail
