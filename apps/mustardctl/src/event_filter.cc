#include "event_filter.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace mustardproxy::ctl {
namespace {

bool Concerns(const TimelineEvent& event, const RequestId& request) {
  if (event.request == request) return true;
  return event.task.Text().starts_with(request.Text() + "/");
}

/// @return wall time below which events are left out
std::uint64_t Begin(Duration since, const std::vector<StampedEvent>& events) {
  std::uint64_t newest = 0;
  for (const StampedEvent& event : events) {
    newest = std::max(newest, event.time.wall_micros);
  }
  const auto length = static_cast<std::uint64_t>(since.count());
  return newest - std::min(newest, length);
}

std::string FormatTime(const HybridTime& time) {
  constexpr std::uint64_t kLatest = 253'402'300'799'999'999;  // year 9999
  const auto micros = static_cast<Poco::Timestamp::TimeVal>(
      std::min(time.wall_micros, kLatest));
  return Poco::DateTimeFormatter::format(Poco::Timestamp(micros),
                                         "%Y-%m-%dT%H:%M:%s") +
         "Z+" + std::to_string(time.counter);
}

void Append(std::string_view name, const std::string& value,
            std::string* line) {
  if (value.empty()) return;
  *line += ' ';
  *line += name;
  *line += '=';
  *line += value;
}

/// @return the text without control characters, which a terminal would obey
std::string Printable(std::string text) {
  for (char& letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    constexpr unsigned char kDelete = 0x7f;
    if (byte < ' ' || byte == kDelete) letter = '?';
  }
  return text;
}

}  // namespace

std::vector<StampedEvent> Filter(const CommandLine& line,
                                 std::vector<StampedEvent> events) {
  const std::uint64_t begin = line.since ? Begin(*line.since, events) : 0;
  std::erase_if(events, [&](const StampedEvent& stamped) {
    if (stamped.time.wall_micros < begin) return true;
    if (!line.worker.Empty() && stamped.event.worker != line.worker) {
      return true;
    }
    return !line.request.Empty() && !Concerns(stamped.event, line.request);
  });
  return events;
}

std::vector<Overflow> FindOverflows(const std::vector<StampedEvent>& events) {
  std::map<std::pair<ProcessId, Incarnation>, std::uint64_t> firsts;
  for (const StampedEvent& event : events) {
    const auto [first, inserted] = firsts.emplace(
        std::pair(event.process, event.incarnation), event.sequence);
    if (!inserted) first->second = std::min(first->second, event.sequence);
  }
  std::vector<Overflow> overflows;
  for (const auto& [run, first] : firsts) {
    if (first > 1) overflows.push_back({run.first, run.second, first - 1});
  }
  return overflows;
}

std::string FormatEvent(const StampedEvent& stamped) {
  const TimelineEvent& event = stamped.event;
  std::string line = FormatTime(stamped.time) + " " + stamped.process.Text() +
                     "#" + std::to_string(stamped.sequence) + " ";
  line += Name(event.kind);
  Append("request", event.request.Text(), &line);
  Append("task", event.task.Text(), &line);
  Append("worker", event.worker.Text(), &line);
  Append("peer", event.peer.Text(), &line);
  if (event.epoch != 0) Append("epoch", std::to_string(event.epoch), &line);
  if (!event.detail.empty()) line += " (" + event.detail + ")";
  return Printable(std::move(line));
}

}  // namespace mustardproxy::ctl
