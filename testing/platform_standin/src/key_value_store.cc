#include "key_value_store.h"

#include <utility>

namespace mustardproxy::standin {

std::optional<StoredValue> KeyValueStore::Get(const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  return this->Find(key);
}

std::optional<StoredValue> KeyValueStore::Wait(
    const std::string& key, std::uint64_t index,
    std::chrono::milliseconds limit) {
  std::unique_lock lock(this->mutex);
  const std::uint64_t interrupts_before = this->interrupts;
  const auto deadline = std::chrono::steady_clock::now() + limit;
  if (index != 0) {
    this->changed.wait_until(lock, deadline, [&] {
      return this->stopped || this->interrupts != interrupts_before ||
             this->IndexOf(key) > index;
    });
  }
  return this->Find(key);
}

std::vector<StoredValue> KeyValueStore::List(std::string_view prefix) const {
  const std::lock_guard lock(this->mutex);
  std::vector<StoredValue> found;
  for (auto each = this->cells.lower_bound(prefix);
       each != this->cells.end() && each->first.starts_with(prefix); ++each) {
    if (!each->second.removed) {
      found.push_back(
          {each->first, each->second.value, each->second.modify_index});
    }
  }
  return found;
}

bool KeyValueStore::Put(const std::string& key, std::string value,
                        std::optional<std::uint64_t> index) {
  const std::lock_guard lock(this->mutex);
  if (index) {
    const std::optional<StoredValue> found = this->Find(key);
    if ((found ? found->modify_index : 0) != *index) {
      return false;
    }
  }
  this->cells[key] = {std::move(value), ++this->last_index, false};
  this->changed.notify_all();
  return true;
}

void KeyValueStore::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->cells.find(key);
  if (found != this->cells.end() && !found->second.removed) {
    found->second = {std::string(), ++this->last_index, true};
    this->changed.notify_all();
  }
}

std::uint64_t KeyValueStore::LastIndex() const {
  const std::lock_guard lock(this->mutex);
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

std::optional<StoredValue> KeyValueStore::Find(const std::string& key) const {
  const auto found = this->cells.find(key);
  if (found == this->cells.end() || found->second.removed) {
    return std::nullopt;
  }
  return StoredValue{key, found->second.value, found->second.modify_index};
}

std::uint64_t KeyValueStore::IndexOf(const std::string& key) const {
  const auto found = this->cells.find(key);
  return found == this->cells.end() ? 0 : found->second.modify_index;
}

}  // namespace mustardproxy::standin
