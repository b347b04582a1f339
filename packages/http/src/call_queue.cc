#include "call_queue.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::http {
namespace {

/// Connections of a share that other calls leave to reserved ones.
constexpr std::size_t kReserved = 1;
/// Connections beyond the share while calls on the others are overdue, as a
/// part of it.
constexpr std::size_t kExtraDivisor = 2;

}  // namespace

void CallQueue::SetShare(std::size_t share) {
  const std::lock_guard lock(this->mutex);
  this->share = share;
}

bool CallQueue::Push(const PendingCallPtr& call, Instant now) {
  const std::lock_guard lock(this->mutex);
  AddressCalls& entry = this->addresses[call->exchange.address];
  call->address_calls = &entry;
  call->admitted = now;
  if (call->exchange.lane == Lane::kReserved) {
    ++entry.reserved;
    ++this->in_use;
    return true;
  }
  if (!entry.HasWaiting()) {
    if (this->MayAdmit(entry, now)) {
      entry.admitted.push_back(now);
      ++this->in_use;
      return true;
    }
    this->waited_for.push_back(&entry);
  }
  const bool urgent = call->exchange.lane == Lane::kUrgent;
  (urgent ? entry.urgent : entry.usual).push_back(call);
  ++this->pending;
  ++this->waited;
  return false;
}

bool CallQueue::MayAdmit(const AddressCalls& entry, Instant now) const {
  const std::size_t used = entry.admitted.size() + kReserved;
  if (used < this->share) return true;
  if (used >= this->share + this->share / kExtraDivisor) return false;
  const auto overdue = std::ranges::count_if(
      entry.admitted, [&](Instant one) { return one + kOverdue <= now; });
  return used - static_cast<std::size_t>(overdue) < this->share;
}

void CallQueue::Admit(AddressCalls* entry, Instant now, Calls* taken) {
  for (Waiting* calls : {&entry->urgent, &entry->usual}) {
    this->Expire(calls, now);
    while (!calls->empty() && this->MayAdmit(*entry, now)) {
      PendingCallPtr call = std::move(calls->front());
      calls->pop_front();
      --this->pending;
      call->due += now - call->admitted;
      call->admitted = now;
      entry->admitted.push_back(now);
      ++this->in_use;
      taken->push_back(std::move(call));
    }
  }
}

void CallQueue::MoveFirstToUnsent(Waiting* calls) {
  this->unsent.push_back(std::move(calls->front()));
  calls->pop_front();
  ++this->not_sent;
}

void CallQueue::Expire(Waiting* calls, Instant now) {
  while (!calls->empty() && calls->front()->admitted + kMaxWait <= now) {
    this->MoveFirstToUnsent(calls);
  }
}

CallQueue::Succession CallQueue::End(const PendingCall& call, Instant now) {
  const std::lock_guard lock(this->mutex);
  AddressCalls* entry = call.address_calls;
  if (call.exchange.lane == Lane::kReserved) {
    --entry->reserved;
  } else {
    const auto found = std::ranges::find(entry->admitted, call.admitted);
    *found = entry->admitted.back();
    entry->admitted.pop_back();
  }
  --this->in_use;
  Succession succession;
  if (entry->HasWaiting()) this->Admit(entry, now, &succession.admitted);
  const std::size_t used = entry->InUse();
  // Each of the admitted calls takes one of the idle connections.
  succession.max_idle = (used < this->share ? this->share - used : 0) +
                        succession.admitted.size();
  return succession;
}

CallQueue::Calls CallQueue::TakeAdmitted(Instant now) {
  Calls taken;
  if (!this->HasWaiting()) return taken;
  const std::lock_guard lock(this->mutex);
  for (AddressCalls* entry : this->waited_for) {
    this->Admit(entry, now, &taken);
  }
  std::erase_if(this->waited_for,
                [](const AddressCalls* entry) { return !entry->HasWaiting(); });
  return taken;
}

CallQueue::Calls CallQueue::TakeUnsent() {
  if (!this->HasWaiting()) return {};
  const std::lock_guard lock(this->mutex);
  this->pending -= this->unsent.size();
  return std::exchange(this->unsent, {});
}

void CallQueue::CancelWaiting() {
  const std::lock_guard lock(this->mutex);
  for (AddressCalls* entry : this->waited_for) {
    for (Waiting* calls : {&entry->urgent, &entry->usual}) {
      while (!calls->empty()) this->MoveFirstToUnsent(calls);
    }
  }
  this->waited_for.clear();
}

void CallQueue::RemoveUnused() {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->waited_for,
                [](const AddressCalls* entry) { return !entry->HasWaiting(); });
  std::erase_if(this->addresses, [](const auto& item) {
    return !item.second.HasWaiting() && item.second.InUse() == 0;
  });
}

CallQueue::Counts CallQueue::GetCounts() const {
  const std::lock_guard lock(this->mutex);
  return {.in_use = this->in_use,
          .waiting = this->pending,
          .waited = this->waited,
          .not_sent = this->not_sent};
}

}  // namespace mustardproxy::http
