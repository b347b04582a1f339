#include "write_gate.h"

#include <algorithm>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// A write is overdue after this multiple of the typical response time, but not
/// before the minimum, which is 25 times the usual 4 ms of a store response. A
/// process receives seven requests per second, so that one or two more writes
/// are sent in the meantime.
constexpr std::int64_t kOverdueFactor = 3;
constexpr Duration kMinOverdueTime = milliseconds(100);
/// Maximum time for which writes are held: the next renewal of the lease is
/// sent within 0.3 s, and its response shows whether the store responds.
constexpr Duration kMaxHoldTime = kStoreLeaseRenewal + milliseconds(100);
/// A shorter response time lowers the typical one by this fraction of the
/// difference.
constexpr std::int64_t kLatencyDecayDivisor = 8;

}  // namespace

void WriteGate::OnSent(Instant sent) { this->unanswered.insert(sent); }

void WriteGate::OnAnswered(Instant sent, Instant now) {
  const auto found = this->unanswered.find(sent);
  if (found != this->unanswered.end()) this->unanswered.erase(found);
  const Duration took = now - sent;
  const Duration fallen = this->typical_latency +
                          (took - this->typical_latency) / kLatencyDecayDivisor;
  this->typical_latency = std::max(took, fallen);
  this->NoteAlive(sent);
}

void WriteGate::OnUnanswered(Instant sent, Instant now) {
  const auto found = this->unanswered.find(sent);
  if (found != this->unanswered.end()) this->unanswered.erase(found);
  this->last_failure = now;
}

void WriteGate::NoteAlive(Instant sent) {
  this->last_answered_send = std::max(this->last_answered_send, sent);
}

Duration WriteGate::OverdueAfter() const {
  return std::max(kMinOverdueTime, kOverdueFactor * this->typical_latency);
}

std::optional<Instant> WriteGate::UnresponsiveSince(Instant now) const {
  if (this->last_failure && *this->last_failure >= this->last_answered_send) {
    return this->last_failure;
  }
  // Writes sent before an answered call are no evidence of an outage: only
  // their responses were lost.
  const auto oldest = this->unanswered.upper_bound(this->last_answered_send);
  if (oldest == this->unanswered.end()) return std::nullopt;
  const Instant overdue = *oldest + this->OverdueAfter();
  if (now < overdue) return std::nullopt;
  return overdue;
}

WriteGate::Answer WriteGate::At(Instant now) const {
  const auto since = this->UnresponsiveSince(now);
  if (!since) return Answer::kSend;
  return now - *since < kMaxHoldTime ? Answer::kHold : Answer::kRefuse;
}

}  // namespace mustardproxy::jobs
