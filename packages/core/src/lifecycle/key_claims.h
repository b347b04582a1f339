#ifndef MUSTARDPROXY_CORE_LIFECYCLE_KEY_CLAIMS_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_KEY_CLAIMS_H_

#include <cstdint>
#include <map>
#include <string>

#include "lifecycle/request_table.h"
#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/request.h"

namespace mustardproxy::detail {

struct Parts;

/// Claims on idempotency keys. No request with a key starts before its claim is
/// durable in the platform; the answer is stored with the claim for repeats.
class KeyClaims {
 public:
  explicit KeyClaims(Parts* parts) : parts(parts) {}

  /// Requests the claim; the result is one of the three events below.
  void Begin(const ActiveRequest& entry);
  void On(const KeyClaimed& event);
  void On(const KeyTaken& event);
  void On(const KeyUnavailable& event);
  /// Stores the final answer, or drops the claim if the request did not run.
  void Settle(const ActiveRequest& entry, const Answer& answer);
  /// Drops a claim that may have been granted although the request ended before
  /// anything started. The drop is sent several times, so that repeats of the
  /// request are not blocked permanently.
  void Abandon(const Request& request);
  /// Stores the answer of a request that was already answered "unknown".
  void SettleUnknown(const RequestId& request, const Answer& answer);
  /// Discards the claim of a request whose result can no longer be determined.
  void ForgetUnknown(const RequestId& request) {
    this->unknown_claims.erase(request);
  }
  /// Stores the "accepted" answer under the key of accepted or adopted deferred
  /// work.
  void SettleAccepted(const Request& request);
  void OnPlatformBack();
  void Tick();
  /// Periodically requests the removal of old claims; only one process of the
  /// cell does this.
  void SweepExpired();
  [[nodiscard]] Instant NextWakeup() const { return this->drop_timers.Next(); }

 private:
  [[nodiscard]] bool IsCellSweeper() const;

  struct Claim {
    TeamId team;
    std::string key;
    std::uint64_t body_hash = 0;
    /// Number of drops still to be sent.
    std::int32_t drops_left = 0;
  };

  void AnswerRepeat(ActiveRequest* entry, const KeyClaim& claim);
  [[nodiscard]] bool IsHolderGone(const RequestId& holder) const;
  void EmitSettle(const RequestId& request, const Claim& claim,
                  const Answer& answer, bool drop);

  Parts* parts;
  std::map<RequestId, Claim> abandoned;
  std::map<RequestId, Claim> unknown_claims;
  TimerQueue<RequestId> drop_timers;
  Instant next_sweep;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_KEY_CLAIMS_H_
