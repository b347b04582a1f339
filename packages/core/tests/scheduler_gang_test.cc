#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::Numbered;
using test::TestCell;

struct Cell : TestCell {
  Cell() : TestCell(2) {
    this->AddProfile("work", 1);
    this->AddService("small", "work", kSmallTask).expected_run =
        std::chrono::seconds(10);
    this->AddService("short", "work", kSmallTask).expected_run =
        std::chrono::milliseconds(100);
    this->AddService("long", "work", kSmallTask).expected_run =
        std::chrono::seconds(60);
    this->AddService("gang", "work", kSmallTask, 12);
    this->AddService("whole", "work", {8000, 8000, 0, 1});
    this->AddTeam("a");
    this->Configure();
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_gang, Cell)

// Failure: a gang starves while tasks keep ending, because each gap goes to the
// next small task before enough capacity for the gang is free. Small tasks of
// 16 s end one by one, and new ones arrive immediately.
BOOST_AUTO_TEST_CASE(small_tasks_do_not_starve_a_gang) {
  constexpr int kRunSeconds = 16;
  constexpr int kGangArrives = 40;
  int gang_started = 0;
  std::map<int, TaskId> ends;
  for (int i = 0; i < 80; ++i) {
    this->now += std::chrono::seconds(1);
    if (ends.contains(i)) this->EndTask(ends[i]);
    (void)this->Enqueue(Numbered("s", i), "small");
    if (i == kGangArrives) (void)this->Enqueue("gang", "gang");
    for (const Placement& placed : this->Schedule()) {
      if (placed.request == RequestId("gang")) {
        gang_started = i;
        continue;
      }
      ends[i + kRunSeconds] = placed.task;
    }
    if (gang_started != 0) break;
  }
  // Twelve tasks must end, one per second; run time estimates have a resolution
  // of 19 %.
  BOOST_TEST(gang_started >= kGangArrives + 11);
  BOOST_TEST(gang_started <= kGangArrives + 16);
}

BOOST_AUTO_TEST_CASE(work_that_ends_before_the_gang_starts_is_backfilled) {
  this->EnqueueMany("s", 8, "small");
  BOOST_TEST(this->Schedule().size() == 8);
  (void)this->Enqueue("gang", "gang");
  BOOST_TEST(this->Schedule().empty());
  (void)this->Enqueue("long", "long");
  BOOST_TEST(this->Schedule().empty());
  this->EnqueueMany("quick", 3, "short");
  BOOST_TEST(this->Schedule().size() == 3);
}

BOOST_AUTO_TEST_CASE(a_cancelled_gang_releases_its_reservation) {
  this->EnqueueMany("s", 12, "small");
  (void)this->Schedule();
  (void)this->Enqueue("gang", "gang");
  (void)this->Schedule();
  BOOST_TEST(this->scheduler.Cancel(RequestId("gang")));
  this->EnqueueMany("t", 4, "small");
  BOOST_TEST(this->Schedule().size() == 4);
}

BOOST_AUTO_TEST_CASE(a_task_as_large_as_a_worker_does_not_starve) {
  this->EnqueueMany("s", 16, "small");
  (void)this->Schedule();
  (void)this->Enqueue("whole", "whole");
  bool started = false;
  for (int i = 0; i < 200 && !started; ++i) {
    this->now += std::chrono::milliseconds(500);
    (void)this->Enqueue(Numbered("t", i), "small");
    this->EndTask(TaskId(i < 16 ? Numbered("s", i) + "/0/1"
                                : Numbered("t", i - 16) + "/0/1"));
    for (const Placement& placed : this->Schedule()) {
      started = started || placed.request == RequestId("whole");
    }
  }
  BOOST_TEST(started);
}

BOOST_AUTO_TEST_CASE(a_gang_larger_than_the_limit_is_placed_completely) {
  (void)this->Enqueue("gang", "gang");
  BOOST_TEST(this->Schedule(4).size() == 12);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
