#include "task_table.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace {

using mustardproxy::Instant;
using mustardproxy::Resources;
using mustardproxy::TaskEnd;
using mustardproxy::TaskId;
using mustardproxy::standin::EndedEntry;
using mustardproxy::standin::EndObserver;
using mustardproxy::standin::RefusalReason;
using mustardproxy::standin::TaskStart;
using mustardproxy::standin::TaskTable;
using std::chrono::seconds;

Instant At(std::int64_t second) { return Instant(seconds(second)); }

class Ends : public EndObserver {
 public:
  void OnEnded(Instant /*now*/, const EndedEntry& entry) override {
    this->tasks.push_back(entry.ended->task.Text());
  }
  std::vector<std::string> tasks;
};

TaskStart Make(const std::string& id, seconds run) {
  TaskStart start;
  start.task = TaskId(id);
  start.resources = {1000, 100, 0, 1};
  start.lease = seconds(10);
  start.plan.run = run;
  start.plan.uses = {500, 50, 0, 1};
  return start;
}

struct Fixture {
  Ends ends;
  TaskTable table{Resources{2000, 1000, 0, 8}, &ends};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(task_table, Fixture)

BOOST_AUTO_TEST_CASE(a_start_past_the_capacity_is_refused) {
  BOOST_TEST(!table.Start(At(0), Make("a", seconds(5))));
  BOOST_TEST(!table.Start(At(0), Make("b", seconds(5))));
  BOOST_TEST(
      (table.Start(At(0), Make("c", seconds(5))) == RefusalReason::kNoRoom));
  BOOST_TEST(table.Used().cpu_milli == 2000);
  table.Advance(At(5));
  BOOST_TEST(table.Used().cpu_milli == 0);
  BOOST_TEST(!table.Start(At(5), Make("c", seconds(5))));
}

BOOST_AUTO_TEST_CASE(an_id_is_taken_once_also_after_its_end) {
  BOOST_TEST(!table.Start(At(0), Make("a", seconds(1))));
  BOOST_TEST((table.Start(At(0), Make("a", seconds(1))) ==
              RefusalReason::kDuplicateTask));
  table.Advance(At(1));
  BOOST_TEST((table.Start(At(2), Make("a", seconds(1))) ==
              RefusalReason::kDuplicateTask));
}

// An entry process asks for the fate of a start and hears that it never
// started; it tells the caller "not run". The start was only delayed on its
// way and comes in afterwards. It must not run.
BOOST_AUTO_TEST_CASE(a_start_after_the_answer_never_started_is_refused) {
  BOOST_TEST(table.Fence(TaskId("a")));
  BOOST_TEST((table.Start(At(0), Make("a", seconds(1))) ==
              RefusalReason::kDuplicateTask));
  BOOST_TEST(table.Fenced(TaskId("a")));
}

BOOST_AUTO_TEST_CASE(a_task_is_stopped_when_its_lease_lapses) {
  BOOST_TEST(!table.Start(At(0), Make("a", seconds(60))));
  table.RenewLeases(At(8));
  table.Advance(At(17));
  BOOST_TEST(table.Running().size() == 1);
  table.Advance(At(18));
  BOOST_TEST(table.Running().empty());
  BOOST_TEST((table.FindEnded(TaskId("a"))->end == TaskEnd::kStopped));
}

BOOST_AUTO_TEST_CASE(a_task_is_stopped_at_its_time_limit) {
  TaskStart start = Make("a", seconds(9));
  start.max_run = seconds(2);
  BOOST_TEST(!table.Start(At(0), start));
  BOOST_TEST((table.NextDue() == At(2)));
  table.Advance(At(2));
  BOOST_TEST((table.FindEnded(TaskId("a"))->end == TaskEnd::kStopped));
}

BOOST_AUTO_TEST_CASE(a_throttled_task_takes_longer) {
  BOOST_TEST(!table.Start(At(0), Make("a", seconds(4))));
  BOOST_TEST(table.Throttle(At(2), TaskId("a"), 500));
  BOOST_TEST((table.NextDue() == At(6)));
}

BOOST_AUTO_TEST_CASE(a_renewal_goes_on_behind_the_last_number) {
  BOOST_TEST(!table.Start(At(0), Make("a", seconds(1))));
  BOOST_TEST(!table.Start(At(0), Make("b", seconds(2))));
  table.Advance(At(1));
  BOOST_TEST(table.EndedAfter(0).size() == 1);
  table.Advance(At(2));
  const auto ended = table.EndedAfter(1);
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST(ended.front()->ended->task.Text() == "b");
  BOOST_TEST((ends.tasks == std::vector<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(a_checkpoint_is_told_from_a_stop) {
  BOOST_TEST(!table.Start(At(0), Make("a", seconds(9))));
  BOOST_TEST(!table.Start(At(0), Make("b", seconds(9))));
  BOOST_TEST(table.Stop(At(1), TaskId("a"), true));
  BOOST_TEST(table.Stop(At(1), TaskId("b"), false));
  BOOST_TEST(!table.Stop(At(1), TaskId("b"), false));
  BOOST_TEST((table.FindEnded(TaskId("a"))->end == TaskEnd::kCheckpointed));
  BOOST_TEST((table.FindEnded(TaskId("b"))->end == TaskEnd::kStopped));
}

BOOST_AUTO_TEST_SUITE_END()
