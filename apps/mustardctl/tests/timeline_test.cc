#include "mustardproxy/telemetry/timeline.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "bench.h"

namespace mustardproxy::testing {
namespace {

using ctl::ExitCode;

constexpr std::uint64_t kSecond = 1'000'000;
constexpr std::uint64_t kStart = 1'700'000'000 * kSecond;

/// An event so many seconds after the start.
StampedEvent At(std::uint64_t seconds, const std::string& process,
                std::uint64_t sequence, TimelineKind kind) {
  StampedEvent stamped;
  stamped.time = {kStart + seconds * kSecond, 0};
  stamped.process = ProcessId(process);
  stamped.incarnation = 9;
  stamped.sequence = sequence;
  stamped.event.kind = kind;
  return stamped;
}

StampedEvent About(StampedEvent stamped, const std::string& request,
                   const std::string& worker) {
  stamped.event.request = RequestId(request);
  stamped.event.worker = WorkerId(worker);
  return stamped;
}

/// Two processes: one forwards a request, the other runs it.
struct TwoProcesses {
  TwoProcesses() {
    this->first.SetEvents(FormatEvents(
        {About(At(1, "waw1-a", 1, TimelineKind::kRequestArrived), "a.9.1", ""),
         About(At(4, "waw1-a", 2, TimelineKind::kRequestAnswered), "a.9.1",
               "")}));
    StampedEvent task = At(3, "waw1-b", 8, TimelineKind::kTaskEnded);
    task.event.task = TaskId("a.9.1/0/1");
    this->second.SetEvents(FormatEvents(
        {About(At(2, "waw1-b", 7, TimelineKind::kTaskStarted), "a.9.1", "w1"),
         task,
         About(At(90, "waw1-b", 9, TimelineKind::kWorkerLost), "", "w2")}));
  }

  Outcome Timeline(const std::vector<std::string>& options) const {
    std::vector<std::string> arguments = {
        "timeline", "--entry", "http://" + this->first.Address(), "--entry",
        "http://" + this->second.Address()};
    arguments.insert(arguments.end(), options.begin(), options.end());
    return Bench::RunRaw(arguments);
  }

  FakeEntry first{"waw1-a", "waw1"};
  FakeEntry second{"waw1-b", "waw1"};
};

/// @return process and kind of each line
std::vector<std::string> Kinds(const std::string& text) {
  std::vector<std::string> kinds;
  std::istringstream in(text);
  std::string time;
  std::string process;
  std::string kind;
  while (in >> time >> process >> kind) {
    process += ' ';
    process += kind;
    kinds.push_back(process);
    std::getline(in, time);
  }
  return kinds;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(timeline)

BOOST_AUTO_TEST_CASE(events_of_all_processes_are_merged_in_causal_order) {
  const TwoProcesses processes;
  const Outcome outcome = processes.Timeline({});
  BOOST_TEST((outcome.exit == ExitCode::kOk));
  const std::vector<std::string> expected = {
      "waw1-a#1 request-arrived", "waw1-b#7 task-started",
      "waw1-b#8 task-ended", "waw1-a#2 request-answered",
      "waw1-b#9 worker-lost"};
  BOOST_TEST(Kinds(outcome.out) == expected, boost::test_tools::per_element());
  BOOST_TEST(Holds(outcome.out,
                   "2023-11-14T22:13:22.000000Z+0 waw1-b#7 task-started "
                   "request=a.9.1 worker=w1\n"));
}

BOOST_AUTO_TEST_CASE(events_are_filtered_by_request_worker_and_time) {
  const TwoProcesses processes;
  const auto request = Kinds(processes.Timeline({"--request", "a.9.1"}).out);
  BOOST_TEST(request.size() == 4U);
  const std::vector<std::string> started = {"waw1-b#7 task-started"};
  BOOST_TEST(Kinds(processes.Timeline({"--worker", "w1"}).out) == started,
             boost::test_tools::per_element());
  const std::vector<std::string> lost = {"waw1-b#9 worker-lost"};
  BOOST_TEST(Kinds(processes.Timeline({"--since", "10"}).out) == lost,
             boost::test_tools::per_element());
}

// The ring of one process holds its newest events only. A reader who is not
// told would take what is missing for what did not happen.
BOOST_AUTO_TEST_CASE(a_ring_that_has_overflowed_is_named) {
  const TwoProcesses processes;
  const Outcome outcome = processes.Timeline({"--worker", "w1"});
  BOOST_TEST(outcome.err ==
             "overflowed: waw1-b: the oldest 6 events are gone\n");
}

BOOST_AUTO_TEST_CASE(a_process_that_is_not_reached_or_understood_is_named) {
  TwoProcesses processes;
  processes.first.SetEvents("nonsense");
  std::string dead;
  { dead = FakeEntry("waw1-c", "waw1").Address(); }
  const Outcome outcome = processes.Timeline({"--entry", "http://" + dead});
  BOOST_TEST((outcome.exit == ExitCode::kEntryUnreachable));
  BOOST_TEST(Holds(outcome.err, "not reached: " + dead));
  BOOST_TEST(Holds(outcome.err, "not reached: " + processes.first.Address() +
                                    ": the reply can not be understood"));
  BOOST_TEST(Kinds(outcome.out).size() == 3U);
}

BOOST_AUTO_TEST_CASE(json_holds_events_and_gaps) {
  const TwoProcesses processes;
  const Outcome outcome = processes.Timeline({"--json", "--worker", "w1"});
  BOOST_TEST(Holds(outcome.out, "\"kind\":\"task-started\""));
  BOOST_TEST(Holds(outcome.out,
                   R"("overflowed": [{"process": "waw1-b", "dropped": 6}])"));
  BOOST_TEST(Holds(outcome.out, R"("unreachable": []})"));
}

BOOST_AUTO_TEST_CASE(control_characters_do_not_reach_the_terminal) {
  FakeEntry entry("waw1-a", "waw1");
  StampedEvent event = At(1, "waw1-a", 1, TimelineKind::kRequestRefused);
  event.event.detail = "red \x1b[31m\nline";
  entry.SetEvents(FormatEvents({event}));
  const Outcome outcome =
      Bench::RunRaw({"timeline", "--entry", "http://" + entry.Address()});
  BOOST_TEST(Holds(outcome.out, "(red ?[31m?line)\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
