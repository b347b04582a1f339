#include "call_queue.h"

#include <iterator>
#include <utility>

namespace mustardproxy::http {
namespace {

/// Connections of a share that other calls leave to reserved ones.
constexpr std::size_t kReserved = 1;
/// Connections beyond the share while calls on the others are overdue, as a
/// part of it.
constexpr std::size_t kExtraDivisor = 2;

}  // namespace

std::vector<PendingCallPtr> CallQueue::Push(const PendingCallPtr& call,
                                            Instant now) {
  Address& entry = this->addresses[call->exchange.address];
  call->admitted = now;
  if (call->exchange.lane == Lane::kReserved) {
    ++entry.reserved;
    ++this->in_use;
    return {call};
  }
  const bool urgent = call->exchange.lane == Lane::kUrgent;
  (urgent ? entry.urgent : entry.usual).push_back(call);
  ++this->waiting;
  std::vector<PendingCallPtr> admitted;
  this->Admit(&entry, now, &admitted);
  return admitted;
}

bool CallQueue::MayAdmit(const Address& entry, Instant now) const {
  const auto overdue = entry.admitted.upper_bound(now - kOverdue);
  const auto recent =
      static_cast<std::size_t>(std::distance(overdue, entry.admitted.end()));
  return recent + kReserved < this->share &&
         entry.admitted.size() + kReserved <
             this->share + this->share / kExtraDivisor;
}

PendingCallPtr CallQueue::TakeFirst(Calls* calls) {
  PendingCallPtr call = std::move(calls->front());
  calls->pop_front();
  --this->waiting;
  return call;
}

void CallQueue::Admit(Address* entry, Instant now,
                      std::vector<PendingCallPtr>* taken) {
  for (Calls* calls : {&entry->urgent, &entry->usual}) {
    this->Expire(calls, now);
    while (!calls->empty() && this->MayAdmit(*entry, now)) {
      PendingCallPtr call = this->TakeFirst(calls);
      call->due += now - call->admitted;
      call->admitted = now;
      entry->admitted.insert(now);
      ++this->in_use;
      taken->push_back(std::move(call));
    }
  }
}

std::vector<PendingCallPtr> CallQueue::TakeAdmitted(const std::string& address,
                                                    Instant now) {
  std::vector<PendingCallPtr> taken;
  const auto found = this->addresses.find(address);
  if (found != this->addresses.end()) this->Admit(&found->second, now, &taken);
  return taken;
}

std::vector<PendingCallPtr> CallQueue::TakeAdmitted(Instant now) {
  std::vector<PendingCallPtr> taken;
  if (this->waiting == 0) return taken;
  for (auto& [address, entry] : this->addresses) {
    this->Admit(&entry, now, &taken);
  }
  return taken;
}

void CallQueue::Expire(Calls* calls, Instant now) {
  while (!calls->empty() && calls->front()->admitted + kMaxWait <= now) {
    this->expired.push_back(this->TakeFirst(calls));
  }
}

std::vector<PendingCallPtr> CallQueue::TakeExpired(Instant now) {
  if (this->waiting > 0) {
    for (auto& [address, entry] : this->addresses) {
      this->Expire(&entry.urgent, now);
      this->Expire(&entry.usual, now);
    }
  }
  return std::exchange(this->expired, {});
}

std::vector<PendingCallPtr> CallQueue::TakeWaiting() {
  std::vector<PendingCallPtr> taken;
  for (auto& [address, entry] : this->addresses) {
    for (Calls* calls : {&entry.urgent, &entry.usual}) {
      while (!calls->empty()) taken.push_back(this->TakeFirst(calls));
    }
  }
  return taken;
}

void CallQueue::NoteEnded(const PendingCall& call) {
  const auto found = this->addresses.find(call.exchange.address);
  if (found == this->addresses.end()) return;
  Address& entry = found->second;
  if (call.exchange.lane == Lane::kReserved) {
    --entry.reserved;
  } else {
    entry.admitted.erase(entry.admitted.find(call.admitted));
  }
  --this->in_use;
  const bool unused = entry.urgent.empty() && entry.usual.empty() &&
                      entry.admitted.empty() && entry.reserved == 0;
  if (unused) this->addresses.erase(found);
}

std::size_t CallQueue::MaxIdle(const std::string& address) const {
  const auto found = this->addresses.find(address);
  if (found == this->addresses.end()) return this->share;
  const std::size_t used =
      found->second.admitted.size() + found->second.reserved;
  return used < this->share ? this->share - used : 0;
}

}  // namespace mustardproxy::http
