#include "refusal.h"

namespace mustardproxy::standin {

std::string_view NameOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kStaleEpoch:
      return "stale-epoch";
    case RefusalReason::kLeaseHeld:
      return "lease-held";
    case RefusalReason::kUnknownTask:
      return "unknown-task";
    case RefusalReason::kDuplicateTask:
      return "duplicate-task";
    case RefusalReason::kNoRoom:
      return "no-room";
    case RefusalReason::kLeaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace mustardproxy::standin
