#include "run_times.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QueueName kQueue("reviews");
constexpr int kManySteps = 300;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(run_times)

BOOST_AUTO_TEST_CASE(an_estimate_is_believed_until_something_is_learnt) {
  const RunTimes times;
  BOOST_TEST(Seconds(times.Expect(kQueue, seconds(3))) == 3.0);
}

BOOST_AUTO_TEST_CASE(estimates_that_are_right_stay_as_they_are) {
  RunTimes times;
  for (int i = 0; i < kManySteps; ++i) {
    const Duration length = milliseconds(500 + 40 * (i % 100));
    times.Learn(kQueue, length, length, 1);
  }
  BOOST_TEST(Seconds(times.Expect(kQueue, milliseconds(600))) == 0.6,
             boost::test_tools::tolerance(0.02));
  BOOST_TEST(Seconds(times.Expect(kQueue, seconds(4))) == 4.0,
             boost::test_tools::tolerance(0.02));
}

// Each run takes 4 s, and callers declare anything from a fifth to nearly twice
// of it. A job that declared 0.8 s was taken for hopeless after 7 s and never
// got room, though it had 25 s (three times 2.2 times 4 s and 1 s). It keeps at
// least half of that, and one that declared too much has its room held for at
// most half longer than it needs.
BOOST_AUTO_TEST_CASE(estimates_that_say_nothing_count_for_little) {
  RunTimes times;
  for (int i = 0; i < kManySteps; ++i) {
    const Duration declared = milliseconds(800 + 65 * (i % 100));
    times.Learn(kQueue, declared, seconds(4), 1);
  }
  const auto hopeless_after = [](double length) {
    return 3.0 * (2.2 * length + 1.0) - length;
  };
  const double expected = Seconds(times.Expect(kQueue, milliseconds(800)));
  BOOST_TEST(hopeless_after(expected) > hopeless_after(4.0) / 2.0);
  BOOST_TEST(Seconds(times.Expect(kQueue, seconds(7))) < 4.0 * 1.5);
}

// A gang of 100 tasks ends, and all of them took ten times what was declared.
// It is one step like the many before.
BOOST_AUTO_TEST_CASE(a_wide_step_counts_once) {
  RunTimes times;
  for (int i = 0; i < kManySteps; ++i) {
    times.Learn(kQueue, seconds(2), seconds(2), 1);
  }
  for (int i = 0; i < 100; ++i) {
    times.Learn(kQueue, seconds(2), seconds(20), 100);
  }
  BOOST_TEST(Seconds(times.Expect(kQueue, seconds(2))) < 2.2);
}

BOOST_AUTO_TEST_CASE(the_steps_of_a_chain_are_expected_one_by_one) {
  RunTimes times;
  for (int i = 0; i < kManySteps; ++i) {
    const Duration declared = milliseconds(800 + 65 * (i % 100));
    times.Learn(kQueue, declared, seconds(4), 1);
  }
  const Chain chain{.declared = seconds(8), .steps = 2};
  BOOST_TEST(times.Expect(kQueue, chain).count() ==
             2 * times.Expect(kQueue, seconds(4)).count());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
