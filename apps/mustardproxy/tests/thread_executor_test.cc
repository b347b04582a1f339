#include "thread_executor.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
