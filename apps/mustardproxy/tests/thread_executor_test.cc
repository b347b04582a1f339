#include "thread_executor.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "mustardproxy/jobs/waitable_value.h"

namespace mustardproxy::testing {
namespace {

using std::chrono::milliseconds;

constexpr auto kLimit = std::chrono::seconds(20);

}  // namespace

BOOST_AUTO_TEST_SUITE(thread_executor)

BOOST_AUTO_TEST_CASE(tasks_run_in_the_order_in_which_they_were_posted) {
  ThreadExecutor executor;
  jobs::WaitableValue<std::string> whole;
  std::string order;
  for (const char* letter : {"a", "b", "c"}) {
    executor.Post([&order, letter] { order += letter; });
  }
  executor.Post([&] { whole.Set(order); });
  BOOST_TEST(whole.Wait(kLimit).value() == "abc");
}

BOOST_AUTO_TEST_CASE(timers_run_by_time_and_not_once_cancelled) {
  ThreadExecutor executor;
  jobs::WaitableValue<std::string> whole;
  std::string order;
  executor.Post([&] {
    executor.After(milliseconds(60), [&] { whole.Set(order); });
    executor.After(milliseconds(20), [&order] { order += "late "; });
    executor.After(milliseconds(1), [&order] { order += "early "; });
    executor.Cancel(
        executor.After(milliseconds(10), [&order] { order += "never "; }));
  });
  BOOST_TEST(whole.Wait(kLimit).value() == "early late ");
}

// Guards against timers that never fire while tasks arrive faster than they are
// run.
BOOST_AUTO_TEST_CASE(timers_run_between_tasks_that_keep_arriving) {
  ThreadExecutor executor;
  jobs::WaitableValue<bool> fired;
  std::function<void()> again;
  bool stop = false;
  again = [&] {
    // Two for each that ran, so that one is always due.
    if (stop) return;
    executor.Post([] { std::this_thread::sleep_for(milliseconds(1)); });
    executor.Post(again);
  };
  executor.Post([&] {
    executor.After(milliseconds(20), [&] {
      stop = true;
      fired.Set(true);
    });
    again();
  });
  BOOST_TEST(fired.Wait(kLimit).value_or(false));
}

// Guards against a backlog that delays the renewal of a lease.
BOOST_AUTO_TEST_CASE(urgent_tasks_precede_a_backlog) {
  ThreadExecutor executor;
  jobs::WaitableValue<std::string> whole;
  std::string order;
  executor.Post([&] {
    executor.AfterUrgent(milliseconds(5), [&order] { order += "timer "; });
    executor.After(milliseconds(1), [&order] { order += "usual "; });
    executor.Post([&order] { order += "posted "; });
    executor.PostUrgent([&order] { order += "urgent "; });
    std::this_thread::sleep_for(milliseconds(30));
  });
  executor.Post(
      [&] { executor.After(milliseconds(40), [&] { whole.Set(order); }); });
  BOOST_TEST(whole.Wait(kLimit).value() == "urgent timer posted usual ");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
