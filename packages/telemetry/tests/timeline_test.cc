#include "mustardproxy/telemetry/timeline.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>
#include <vector>

using mustardproxy::FormatEvents;
using mustardproxy::HybridClock;
using mustardproxy::Incarnation;
using mustardproxy::Merge;
using mustardproxy::Name;
using mustardproxy::ParseEvents;
using mustardproxy::ProcessId;
using mustardproxy::RequestId;
using mustardproxy::StampedEvent;
using mustardproxy::TaskId;
using mustardproxy::Timeline;
using mustardproxy::TimelineEvent;
using mustardproxy::TimelineKind;
using mustardproxy::WorkerId;

namespace {

constexpr Incarnation kIncarnation = 0xfedcba9876543210;
constexpr std::uint64_t kStart = 1'700'000'000'000'000;

TimelineEvent MakeEvent(TimelineKind kind, std::string detail = {}) {
  TimelineEvent event;
  event.kind = kind;
  event.detail = std::move(detail);
  return event;
}

std::vector<std::string> Details(const std::vector<StampedEvent>& events) {
  std::vector<std::string> details;
  details.reserve(events.size());
  for (const StampedEvent& stamped : events) {
    details.push_back(stamped.event.detail);
  }
  return details;
}

std::string WithField(const std::string& name, const std::string& value) {
  std::string json = FormatEvents(ParseEvents(
      R"([{"wall_us":5,"counter":0,"process":"e1","incarnation":"1",)"
      R"("sequence":1,"kind":"task-ended"}])"));
  const std::string field = "\"" + name + "\":";
  const std::size_t start = json.find(field);
  BOOST_REQUIRE(start != std::string::npos);
  const std::size_t value_at = start + field.size();
  const std::size_t end = json.find_first_of(",}", value_at);
  return json.replace(value_at, end - value_at, value);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(timeline)

// An operator reads that a task was started before its request had arrived.
// The request arrives at a process whose wall clock is 30 s ahead and is
// forwarded to one whose clock is right. Cause: the events were put in the
// order of wall clocks.
BOOST_AUTO_TEST_CASE(cause_comes_before_effect_over_skewed_wall_clocks) {
  HybridClock fast([] { return kStart + 30'000'000; });
  HybridClock right([] { return kStart; });
  Timeline first(ProcessId("e1"), kIncarnation, 10, &fast);
  Timeline second(ProcessId("e2"), kIncarnation, 10, &right);

  first.Record(MakeEvent(TimelineKind::kRequestForwarded, "forwarded"));
  right.Observe(fast.Now());
  second.Record(MakeEvent(TimelineKind::kTaskStarted, "started"));
  fast.Observe(right.Now());
  first.Record(MakeEvent(TimelineKind::kRequestAnswered, "answered"));

  const auto merged = Merge({second.Read(0), first.Read(0)});
  const std::vector<std::string> expected{"forwarded", "started", "answered"};
  BOOST_TEST(Details(merged) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(equal_times_are_ordered_by_process_and_sequence) {
  const auto make = [](const char* process, std::uint64_t sequence) {
    StampedEvent stamped;
    stamped.process = ProcessId(process);
    stamped.sequence = sequence;
    stamped.event.detail = process + std::to_string(sequence);
    return stamped;
  };
  const auto merged = Merge({{make("b", 1), make("b", 2)}, {make("a", 9)}});
  const std::vector<std::string> expected{"a9", "b1", "b2"};
  BOOST_TEST(Details(merged) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_overflowed_ring_shows_a_gap_at_its_front) {
  HybridClock clock;
  Timeline ring(ProcessId("e1"), kIncarnation, 3, &clock);
  for (int i = 0; i < 5; ++i) ring.Record(MakeEvent(TimelineKind::kTaskEnded));
  const std::vector<StampedEvent> held = ring.Read(0);
  BOOST_REQUIRE(held.size() == 3);
  BOOST_TEST(held.front().sequence == 3);
  BOOST_TEST(held.back().sequence == 5);
  BOOST_TEST(ring.Read(4).size() == 1);
  BOOST_TEST(ring.Read(5).empty());
}

BOOST_AUTO_TEST_CASE(events_survive_a_round_trip) {
  HybridClock clock;
  Timeline ring(ProcessId("e1"), kIncarnation, 3, &clock);
  TimelineEvent event =
      MakeEvent(TimelineKind::kTaskStarted, "quote \" break \n Dłonie \x01");
  event.request = RequestId("e1.ab.1");
  event.task = TaskId("e1.ab.1/0/1");
  event.worker = WorkerId("w1");
  event.peer = ProcessId("e2");
  event.epoch = 0xffffffffffffffff;
  ring.Record(event);
  ring.Record(MakeEvent(TimelineKind::kPlatformLost));

  const std::vector<StampedEvent> sent = ring.Read(0);
  const std::vector<StampedEvent> read = ParseEvents(FormatEvents(sent));
  BOOST_REQUIRE(read.size() == 2);
  BOOST_TEST((read[0].time == sent[0].time));
  BOOST_TEST(read[0].process == sent[0].process);
  BOOST_TEST(read[0].incarnation == kIncarnation);
  BOOST_TEST(read[0].sequence == 1);
  BOOST_TEST((read[0].event.kind == event.kind));
  BOOST_TEST(read[0].event.request == event.request);
  BOOST_TEST(read[0].event.task == event.task);
  BOOST_TEST(read[0].event.worker == event.worker);
  BOOST_TEST(read[0].event.peer == event.peer);
  BOOST_TEST(read[0].event.epoch == event.epoch);
  BOOST_TEST(read[0].event.detail == event.detail);
  BOOST_TEST((read[1].event.kind == TimelineKind::kPlatformLost));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_utf8_leave_the_array_readable) {
  HybridClock clock;
  Timeline ring(ProcessId("e1"), kIncarnation, 3, &clock);
  ring.Record(MakeEvent(TimelineKind::kTaskEnded, "cut \xc5"));
  ring.Record(MakeEvent(TimelineKind::kTaskEnded, "\xff\xfe bad"));
  const auto read = ParseEvents(FormatEvents(ring.Read(0)));
  const std::vector<std::string> expected{"cut \xef\xbf\xbd",
                                          "\xef\xbf\xbd\xef\xbf\xbd bad"};
  BOOST_TEST(Details(read) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(every_kind_has_a_name_of_its_own) {
  for (int i = 0; i <= static_cast<int>(TimelineKind::kPlatformBack); ++i) {
    for (int j = 0; j < i; ++j) {
      BOOST_TEST(Name(TimelineKind{i}) != Name(TimelineKind{j}));
    }
    BOOST_TEST(Name(TimelineKind{i}) != "unknown");
  }
}

BOOST_AUTO_TEST_CASE(malformed_arrays_give_nothing) {
  BOOST_TEST(ParseEvents(WithField("sequence", "7")).size() == 1);
  BOOST_TEST(ParseEvents("").empty());
  BOOST_TEST(ParseEvents("{}").empty());
  BOOST_TEST(ParseEvents("[1]").empty());
  BOOST_TEST(ParseEvents("[{}]").empty());
  BOOST_TEST(ParseEvents(std::string(100'000, '[')).empty());
  BOOST_TEST(ParseEvents(WithField("sequence", "-7")).empty());
  BOOST_TEST(ParseEvents(WithField("sequence", "1e99")).empty());
  BOOST_TEST(ParseEvents(WithField("counter", "\"x\"")).empty());
  BOOST_TEST(ParseEvents(WithField("process", "7")).empty());
  BOOST_TEST(ParseEvents(WithField("process", "\"\"")).empty());
  BOOST_TEST(ParseEvents(WithField("incarnation", "\"xyz\"")).empty());
  BOOST_TEST(ParseEvents(WithField("kind", "\"no-such-kind\"")).empty());
}

BOOST_AUTO_TEST_SUITE_END()
