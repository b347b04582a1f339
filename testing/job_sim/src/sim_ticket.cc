#include "job_sim/sim_ticket.h"

#include <charconv>

namespace job_sim {
namespace {

std::string Scope(const SimTicket& ticket) {
  return mustardproxy::jobs::Text(ticket.step) + "@" + ticket.worker.Text() +
         "@" + std::to_string(ticket.start_unix_ms) + "@";
}

}  // namespace

std::string SimTicket::Text() const {
  return Scope(*this) +
         std::to_string(this->expires.time_since_epoch().count());
}

bool SimTicket::Admits(std::string_view text) const {
  const std::string scope = Scope(*this);
  if (!text.starts_with(scope)) return false;
  text.remove_prefix(scope.size());
  std::int64_t expires = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), expires);
  return read.ec == std::errc() &&
         expires > this->expires.time_since_epoch().count();
}

}  // namespace job_sim
