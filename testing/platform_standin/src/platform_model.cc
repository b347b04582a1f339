#include "platform_model.h"

#include <utility>

namespace mustardproxy::standin {

void PlatformModel::Switch(const PlatformSwitches& next) {
  {
    const std::lock_guard lock(this->mutex);
    if (next.reads_per_second != this->switches.reads_per_second) {
      this->reads.SetRate(next.reads_per_second);
    }
    if (next.writes_per_second != this->switches.writes_per_second) {
      this->writes.SetRate(next.writes_per_second);
    }
    this->switches = next;
    this->woken.notify_all();
  }
  if (next.down) {
    this->store.Interrupt();
  }
}

PlatformSwitches PlatformModel::Switches() const {
  const std::lock_guard lock(this->mutex);
  return this->switches;
}

void PlatformModel::Delay() {
  std::unique_lock lock(this->mutex);
  const std::chrono::milliseconds delay(this->switches.delay_ms);
  this->woken.wait_for(lock, delay, [&] {
    return this->stopped || this->switches.delay_ms != delay.count();
  });
}

bool PlatformModel::LoseReply() {
  const std::lock_guard lock(this->mutex);
  if (this->switches.lose_replies == 0) {
    return false;
  }
  if (this->switches.lose_replies > 0) {
    --this->switches.lose_replies;
  }
  return true;
}

bool PlatformModel::TryRead() {
  const std::lock_guard lock(this->mutex);
  return this->reads.TryTake();
}

bool PlatformModel::TryWrite() {
  const std::lock_guard lock(this->mutex);
  return this->writes.TryTake();
}

void PlatformModel::SetHosts(std::string json) {
  const std::lock_guard lock(this->mutex);
  const std::chrono::milliseconds lag(this->switches.host_list_lag_ms);
  this->pending_hosts.push_back(
      {std::chrono::steady_clock::now() + lag, std::move(json)});
}

std::string PlatformModel::Hosts() {
  const std::lock_guard lock(this->mutex);
  const auto now = std::chrono::steady_clock::now();
  while (!this->pending_hosts.empty() &&
         this->pending_hosts.front().shows <= now) {
    this->hosts = std::move(this->pending_hosts.front().json);
    this->pending_hosts.pop_front();
  }
  return this->hosts;
}

void PlatformModel::Count(std::string_view kind) {
  const std::lock_guard lock(this->mutex);
  ++this->counters[std::string(kind)];
}

std::map<std::string, std::int64_t> PlatformModel::Counters() const {
  const std::lock_guard lock(this->mutex);
  return this->counters;
}

void PlatformModel::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    this->woken.notify_all();
  }
  this->store.Stop();
}

}  // namespace mustardproxy::standin
