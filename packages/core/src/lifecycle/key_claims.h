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

/// Claims on idempotency keys: nothing starts under a key before the claim is
/// in the platform, and the answer is kept beside it for repeats.
class KeyClaims {
 public:
  explicit KeyClaims(Parts* parts) : parts(parts) {}

  /// Asks for the claim; ends in one of the three events.
  void Begin(const ActiveRequest& entry);
  void On(const KeyClaimed& event);
  void On(const KeyTaken& event);
  void On(const KeyUnavailable& event);
  /// Keeps the final answer, or drops the claim if the request did not run.
  void Settle(const ActiveRequest& entry, const Answer& answer);
  /// The claim may stand though the request ended before anything started: it
  /// is dropped again, several times, so that repeats are not blocked for good.
  void Abandon(const Request& request);
  /// The end of a request that was answered "unknown" became known after all.
  void SettleUnknown(const RequestId& request, const Answer& answer);
  /// No more news of the request can come.
  void ForgetUnknown(const RequestId& request) {
    this->unknown_claims.erase(request);
  }
  /// A key of adopted or accepted deferred work.
  void SettleAccepted(const Request& request);
  void OnPlatformBack();
  void Tick();
  /// Has old claims removed from time to time, by one process of the cell.
  void SweepExpired();
  [[nodiscard]] Instant NextWakeup() const { return this->drop_timers.Next(); }

 private:
  [[nodiscard]] bool IsCellSweeper() const;

  struct Claim {
    TeamId team;
    std::string key;
    std::uint64_t body_hash = 0;
    /// Drops still to be sent.
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
