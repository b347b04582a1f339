#include "pass_pacer.h"

#include <boost/test/unit_test.hpp>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

constexpr Instant kStart{seconds(1000)};

}  // namespace

BOOST_AUTO_TEST_SUITE(pass_pacer)

BOOST_AUTO_TEST_CASE(short_passes_keep_the_usual_interval) {
  PassPacer pacer;
  BOOST_TEST((pacer.NextAt() <= kStart));
  pacer.Note(kStart, Duration(200));
  BOOST_TEST((pacer.NextAt() == kStart + kPassInterval));
}

// Guards against passes that leave no time for the answers of workers.
BOOST_AUTO_TEST_CASE(long_passes_leave_most_of_the_time_to_other_work) {
  PassPacer pacer;
  pacer.Note(kStart, milliseconds(30));
  BOOST_TEST((pacer.NextAt() >= kStart + milliseconds(90)));
  BOOST_TEST((pacer.NextAt() <= kStart + milliseconds(120)));
}

BOOST_AUTO_TEST_CASE(the_interval_is_bounded) {
  PassPacer pacer;
  pacer.Note(kStart, milliseconds(200));
  BOOST_TEST((pacer.NextAt() == kStart + milliseconds(250)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
