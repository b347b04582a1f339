#include <Poco/JSONString.h>

#include <string>
#include <utility>

#include "event_filter.h"
#include "http_get.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/timeline.h"
#include "parallel.h"
#include "reports.h"

namespace mustardproxy::ctl {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);

using Events = std::vector<StampedEvent>;
using Answers = std::vector<Answer<Events>>;

Result<Events> FetchEvents(const Entry& entry) {
  const Result<std::string> body =
      HttpGet(entry.address, "/v1/events?after=0", kTimeout);
  if (!body) return body.error();
  Events events = ParseEvents(body.value());
  // The parser gives no events for an empty array and for nonsense alike.
  const bool empty_array =
      body.value().find_first_not_of(" \r\n\t[]") == std::string::npos &&
      body.value().find('[') != std::string::npos;
  if (events.empty() && !empty_array) return Error::kMalformedReply;
  return events;
}

Answers FetchAll(const std::vector<Entry>& entries) {
  return AskInParallel<Events>(
      entries.size(), [&](std::size_t i) { return FetchEvents(entries[i]); });
}

/// What is missing from the time line.
struct Gaps {
  std::vector<Overflow> overflows;
  std::vector<std::string> unreachable;
};

void PrintGapsText(const Gaps& gaps, std::ostream& err) {
  for (const Overflow& overflow : gaps.overflows) {
    err << "overflowed: " << overflow.process << ": the oldest "
        << overflow.dropped << " events are gone\n";
  }
  for (const std::string& entry : gaps.unreachable) {
    err << "not reached: " << entry << '\n';
  }
}

void PrintJson(const Events& events, const Gaps& gaps, std::ostream& out) {
  out << "{\"events\": " << FormatEvents(events) << ",\n\"overflowed\": [";
  const char* separator = "";
  for (const Overflow& overflow : gaps.overflows) {
    out << separator
        << "{\"process\": " << Poco::toJSON(overflow.process.Text())
        << ", \"dropped\": " << overflow.dropped << '}';
    separator = ", ";
  }
  out << "],\n\"unreachable\": [";
  separator = "";
  for (const std::string& entry : gaps.unreachable) {
    out << separator << Poco::toJSON(entry);
    separator = ", ";
  }
  out << "]}\n";
}

}  // namespace

ExitCode ShowTimeline(const CommandLine& line,
                      const std::vector<Entry>& entries,
                      const Console& console) {
  Answers answers = FetchAll(entries);
  Gaps gaps;
  std::vector<Events> lists;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (answers[i].value) {
      lists.push_back(std::move(*answers[i].value));
    } else {
      gaps.unreachable.push_back(Describe(entries[i]) + ": " +
                                 answers[i].error.message());
    }
  }
  Events merged = Merge(std::move(lists));
  gaps.overflows = FindOverflows(merged);
  const Events shown = Filter(line, std::move(merged));
  if (line.json) {
    PrintJson(shown, gaps, console.out);
  } else {
    for (const StampedEvent& event : shown) {
      console.out << FormatEvent(event) << '\n';
    }
  }
  PrintGapsText(gaps, console.err);
  return gaps.unreachable.empty() ? ExitCode::kOk : ExitCode::kEntryUnreachable;
}

}  // namespace mustardproxy::ctl
