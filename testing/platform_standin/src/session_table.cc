#include "session_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace mustardproxy::standin {
namespace {

constexpr int kLastGroupDigits = 12;

/// Has the form of a UUID, as clients of the interface may expect.
std::string FormatId(std::uint64_t number) {
  std::ostringstream text;
  text << "00000000-0000-4000-8000-" << std::hex << std::setfill('0')
       << std::setw(kLastGroupDigits) << number;
  return std::move(text).str();
}

}  // namespace

std::string SessionTable::Create(Instant now, std::chrono::milliseconds ttl) {
  std::string id = FormatId(++this->created);
  this->sessions[id] = {ttl, now + ttl};
  return id;
}

std::optional<std::chrono::milliseconds> SessionTable::Renew(
    std::string_view id, Instant now) {
  const auto found = this->sessions.find(id);
  if (found == this->sessions.end()) {
    return std::nullopt;
  }
  found->second.lapses = now + found->second.ttl;
  return found->second.ttl;
}

bool SessionTable::Destroy(std::string_view id) {
  const auto found = this->sessions.find(id);
  if (found == this->sessions.end()) {
    return false;
  }
  this->sessions.erase(found);
  return true;
}

bool SessionTable::Alive(std::string_view id) const {
  return this->sessions.find(id) != this->sessions.end();
}

std::vector<std::string> SessionTable::TakeLapsed(Instant now) {
  std::vector<std::string> lapsed;
  for (const auto& [id, session] : this->sessions) {
    if (session.lapses <= now) {
      lapsed.push_back(id);
    }
  }
  for (const std::string& id : lapsed) {
    this->Destroy(id);
  }
  return lapsed;
}

SessionTable::Instant SessionTable::NextLapse() const {
  Instant next = Instant::max();
  for (const auto& [id, session] : this->sessions) {
    next = std::min(next, session.lapses);
  }
  return next;
}

}  // namespace mustardproxy::standin
