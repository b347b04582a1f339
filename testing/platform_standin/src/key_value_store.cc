#include "key_value_store.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::standin {

KeyValueStore::KeyValueStore(Clock clock) : clock(std::move(clock)) {}

std::optional<StoredValue> KeyValueStore::Get(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  return this->Find(key);
}

std::optional<StoredValue> KeyValueStore::Wait(
    const std::string& key, std::uint64_t index,
    std::chrono::milliseconds limit) {
  std::unique_lock lock(this->mutex);
  const std::uint64_t interrupts_before = this->interrupts;
  const auto deadline = this->clock() + limit;
  this->RemoveLapsed();
  while (index != 0 && this->IndexOf(key) <= index && !this->stopped &&
         this->interrupts == interrupts_before && this->clock() < deadline) {
    this->changed.wait_until(lock,
                             std::min(deadline, this->sessions.NextLapse()));
    this->RemoveLapsed();
  }
  return this->Find(key);
}

std::vector<StoredValue> KeyValueStore::List(std::string_view prefix) {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  std::vector<StoredValue> found;
  for (auto each = this->cells.lower_bound(prefix);
       each != this->cells.end() && each->first.starts_with(prefix); ++each) {
    const Cell& cell = each->second;
    if (!cell.removed) {
      found.push_back(
          {each->first, cell.value, cell.modify_index, cell.session});
    }
  }
  return found;
}

bool KeyValueStore::Put(const std::string& key, std::string value,
                        std::optional<std::uint64_t> index) {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  if (index) {
    const std::optional<StoredValue> found = this->Find(key);
    if ((found ? found->modify_index : 0) != *index) {
      return false;
    }
  }
  this->Write(key, std::move(value));
  return true;
}

AcquireEnd KeyValueStore::Acquire(const std::string& key, std::string value,
                                  const std::string& session) {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  if (!this->sessions.Alive(session)) {
    return AcquireEnd::kNoSuchSession;
  }
  const std::optional<StoredValue> found = this->Find(key);
  if (found && !found->session.empty() && found->session != session) {
    return AcquireEnd::kHeldByAnother;
  }
  this->Write(key, std::move(value));
  this->cells[key].session = session;
  return AcquireEnd::kAcquired;
}

bool KeyValueStore::Remove(const std::string& key,
                           std::optional<std::uint64_t> index) {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  const auto found = this->cells.find(key);
  if (found == this->cells.end() || found->second.removed) {
    return true;
  }
  if (index && found->second.modify_index != *index) {
    return false;
  }
  this->MarkRemoved(&found->second);
  return true;
}

std::string KeyValueStore::CreateSession(std::chrono::milliseconds ttl) {
  const std::lock_guard lock(this->mutex);
  std::string id = this->sessions.Create(this->clock(), ttl);
  // A waiting read has to wake up earlier now.
  this->changed.notify_all();
  return id;
}

std::optional<std::chrono::milliseconds> KeyValueStore::RenewSession(
    const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  return this->sessions.Renew(id, this->clock());
}

void KeyValueStore::DestroySession(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  if (this->sessions.Destroy(id)) {
    this->RemoveHeldBy(id);
  }
}

std::uint64_t KeyValueStore::LastIndex() {
  const std::lock_guard lock(this->mutex);
  this->RemoveLapsed();
  return this->last_index;
}

void KeyValueStore::Stop() {
  const std::lock_guard lock(this->mutex);
  this->stopped = true;
  this->changed.notify_all();
}

void KeyValueStore::Interrupt() {
  const std::lock_guard lock(this->mutex);
  ++this->interrupts;
  this->changed.notify_all();
}

void KeyValueStore::RemoveLapsed() {
  for (const std::string& id : this->sessions.TakeLapsed(this->clock())) {
    this->RemoveHeldBy(id);
  }
}

void KeyValueStore::RemoveHeldBy(const std::string& session) {
  for (auto& [key, cell] : this->cells) {
    if (!cell.removed && cell.session == session) {
      this->MarkRemoved(&cell);
    }
  }
}

void KeyValueStore::MarkRemoved(Cell* cell) {
  *cell = {std::string(), ++this->last_index, true, std::string()};
  this->changed.notify_all();
}

void KeyValueStore::Write(const std::string& key, std::string value) {
  Cell& cell = this->cells[key];
  cell.value = std::move(value);
  cell.modify_index = ++this->last_index;
  cell.removed = false;
  this->changed.notify_all();
}

std::optional<StoredValue> KeyValueStore::Find(const std::string& key) const {
  const auto found = this->cells.find(key);
  if (found == this->cells.end() || found->second.removed) {
    return std::nullopt;
  }
  const Cell& cell = found->second;
  return StoredValue{key, cell.value, cell.modify_index, cell.session};
}

std::uint64_t KeyValueStore::IndexOf(const std::string& key) const {
  const auto found = this->cells.find(key);
  return found == this->cells.end() ? 0 : found->second.modify_index;
}

}  // namespace mustardproxy::standin
