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

void WriteGate::OnSent(Instant sent) { this->open.insert(sent); }

void WriteGate::OnAnswered(Instant sent, Instant now) {
  const auto found = this->open.find(sent);
  if (found != this->open.end()) this->open.erase(found);
  const Duration took = now - sent;
  const Duration fallen = this->typical_latency +
                          (took - this->typical_latency) / kLatencyDecayDivisor;
  this->typical_latency = std::max(took, fallen);
  this->NoteAlive(sent);
}

void WriteGate::OnUnanswered(Instant sent, Instant now) {
  const auto found = this->open.find(sent);
  if (found != this->open.end()) this->open.erase(found);
  this->failed_at = now;
}

void WriteGate::NoteAlive(Instant sent) {
  this->alive_at = std::max(this->alive_at, sent);
}

Duration WriteGate::OverdueAfter() const {
  return std::max(kMinOverdueTime, kOverdueFactor * this->typical_latency);
}

std::optional<Instant> WriteGate::UnresponsiveSince(Instant now) const {
  if (this->failed_at && *this->failed_at >= this->alive_at) {
    return this->failed_at;
  }
  // Writes sent before an answered call are no evidence of an outage: only
  // their responses were lost.
  const auto oldest = this->open.upper_bound(this->alive_at);
  if (oldest == this->open.end()) return std::nullopt;
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
