#include "event_log.h"

#include <chrono>
#include <utility>

#include "json.h"

namespace mustardproxy::standin {
namespace {

constexpr std::size_t kMaxEntries = 500'000;

}  // namespace

void EventLog::Add(LogEntry entry) {
  if (this->entries.size() >= kMaxEntries) {
    this->overflow = true;
    return;
  }
  this->entries.push_back(std::move(entry));
}

std::string EventLog::Format() const {
  std::string out = "[";
  for (const LogEntry& entry : this->entries) {
    if (out.size() > 1) out += ",\n";
    JsonWriter json(&out);
    json.Text("event", entry.event);
    if (!entry.reason.empty()) json.Text("reason", entry.reason);
    json.Text("task", entry.task);
    json.Text("request", entry.request);
    json.Text("service", entry.service);
    json.Text("body_hash", Hex(entry.body_hash));
    json.Number("epoch", entry.epoch);
    json.Text("holder", entry.holder);
    json.Number("at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             entry.at.time_since_epoch())
                             .count());
    json.Amount("peak_usage", entry.peak_usage);
    json.Number("running", entry.running);
    json.Amount("used", entry.used);
    json.Close();
  }
  if (this->overflow) out += ",\n{\"event\":\"overflow\"}";
  return out + "]";
}

}  // namespace mustardproxy::standin
