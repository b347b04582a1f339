#include "mustardproxy/http/connection_pool.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::http {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(2);
/// Longer than any request is in flight.
constexpr Duration kRetirementKept = std::chrono::hours(1);

}  // namespace

Result<std::unique_ptr<ClientConnection>> ConnectionPool::Acquire(
    const std::string& address, Duration timeout) {
  if (auto connection = this->TakeOpen(address)) return connection;
  return ClientConnection::Open(address, timeout);
}

std::unique_ptr<ClientConnection> ConnectionPool::TakeOpen(
    const std::string& address) {
  while (auto connection = this->TakeIdle(address)) {
    // Failure: the other end closed the idle connection, or sent on it unasked.
    // Either shows as input before a request is sent. A close that comes later
    // makes the request uncertain, since bytes of it were written.
    if (!connection->HasInput()) return connection;
  }
  return nullptr;
}

std::unique_ptr<ClientConnection> ConnectionPool::TakeIdle(
    const std::string& address) {
  Connections dropped;
  const std::lock_guard lock(this->mutex);
  const auto entry = this->entries.find(address);
  if (entry == this->entries.end()) return nullptr;
  Connections& idle = entry->second.idle;
  if (idle.empty()) return nullptr;
  if (idle.back()->LastUsed() + this->max_idle < SteadyNow()) {
    dropped = std::move(idle);
    idle.clear();
    return nullptr;
  }
  std::unique_ptr<ClientConnection> connection = std::move(idle.back());
  idle.pop_back();
  return connection;
}

void ConnectionPool::Put(std::unique_ptr<ClientConnection> connection,
                         std::size_t most) {
  if (!connection || !connection->Reusable()) return;
  Connections dropped;
  // A connection that may be used again has just been used.
  const Instant now = connection->LastUsed();
  const std::lock_guard lock(this->mutex);
  Entry& entry = this->entries[connection->Address()];
  const bool retired = connection->OpenedAt() <
                       std::max(entry.retired_before, this->all_retired_before);
  if (retired || entry.idle.size() >= most) {
    dropped.push_back(std::move(connection));
  } else {
    entry.idle.push_back(std::move(connection));
  }
  this->Sweep(now, &dropped);
}

void ConnectionPool::Sweep(Instant now, Connections* dropped) {
  if (now < this->swept + kSweepInterval) return;
  this->swept = now;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    Connections& idle = entry->second.idle;
    const auto fresh =
        std::find_if(idle.begin(), idle.end(),
                     [&](const std::unique_ptr<ClientConnection>& one) {
                       return one->LastUsed() + this->max_idle >= now;
                     });
    dropped->insert(dropped->end(), std::make_move_iterator(idle.begin()),
                    std::make_move_iterator(fresh));
    idle.erase(idle.begin(), fresh);
    const bool forget =
        idle.empty() && entry->second.retired_before + kRetirementKept < now;
    entry = forget ? this->entries.erase(entry) : std::next(entry);
  }
}

void ConnectionPool::CloseExpired() {
  Connections dropped;
  const Instant now = SteadyNow();
  const std::lock_guard lock(this->mutex);
  this->Sweep(now, &dropped);
}

void ConnectionPool::Trim(std::size_t most) {
  Connections dropped;
  const std::lock_guard lock(this->mutex);
  for (auto& [address, entry] : this->entries) {
    if (entry.idle.size() <= most) continue;
    const auto kept =
        std::prev(entry.idle.end(), static_cast<std::ptrdiff_t>(most));
    dropped.insert(dropped.end(), std::make_move_iterator(entry.idle.begin()),
                   std::make_move_iterator(kept));
    entry.idle.erase(entry.idle.begin(), kept);
  }
}

void ConnectionPool::RetireAll() {
  Connections dropped;
  const std::lock_guard lock(this->mutex);
  this->all_retired_before = SteadyNow();
  for (auto& [address, entry] : this->entries) {
    dropped.insert(dropped.end(), std::make_move_iterator(entry.idle.begin()),
                   std::make_move_iterator(entry.idle.end()));
    entry.idle.clear();
  }
}

void ConnectionPool::RetireOlder(const std::string& address, Instant moment) {
  Connections dropped;
  const std::lock_guard lock(this->mutex);
  Entry& entry = this->entries[address];
  entry.retired_before = std::max(entry.retired_before, moment);
  const auto older =
      std::stable_partition(entry.idle.begin(), entry.idle.end(),
                            [&](const std::unique_ptr<ClientConnection>& one) {
                              return one->OpenedAt() >= moment;
                            });
  dropped.insert(dropped.end(), std::make_move_iterator(older),
                 std::make_move_iterator(entry.idle.end()));
  entry.idle.erase(older, entry.idle.end());
}

std::size_t ConnectionPool::IdleCount(const std::string& address) const {
  const std::lock_guard lock(this->mutex);
  const auto entry = this->entries.find(address);
  return entry == this->entries.end() ? 0 : entry->second.idle.size();
}

std::size_t ConnectionPool::IdleCount() const {
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [address, entry] : this->entries) {
    count += entry.idle.size();
  }
  return count;
}

}  // namespace mustardproxy::http
