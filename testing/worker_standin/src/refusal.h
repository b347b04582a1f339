#ifndef MUSTARDPROXY_STANDIN_REFUSAL_H_
#define MUSTARDPROXY_STANDIN_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::standin {

/// Why an order was refused.
enum class RefusalReason {
  kStaleEpoch,
  kLeaseHeld,
  kUnknownTask,
  kDuplicateTask,
  kNoRoom,
  kLeaving,
};

/// @return the reason as the protocol spells it
std::string_view NameOf(RefusalReason reason);

/// Body of a 409 answer.
struct Refusal {
  RefusalReason reason = RefusalReason::kStaleEpoch;
  Epoch highest_epoch = 0;
  std::string holder;
  Duration lease_left{0};
  /// Task of the refused start; empty for other orders.
  std::string task;
};

/// Empty when the order was accepted.
using MaybeRefusal = std::optional<Refusal>;

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_REFUSAL_H_
