#include "load/sent_request.h"

namespace mustardproxy::load {

std::string ServiceOf(Kind kind) {
  switch (kind) {
    case Kind::kUrgent:
      return "screen";
    case Kind::kBooking:
    case Kind::kKeyedBooking:
      return "booking";
    case Kind::kGang:
      return "match";
    case Kind::kReview:
      return "review";
    case Kind::kDetainee:
      return "detainee";
  }
  return {};
}

std::int32_t TasksOf(Kind kind) {
  constexpr std::int32_t kGangTasks = 4;
  return kind == Kind::kGang ? kGangTasks : 1;
}

}  // namespace mustardproxy::load
