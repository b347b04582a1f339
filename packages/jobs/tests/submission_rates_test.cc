#include "submission_rates.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::jobs {

BOOST_AUTO_TEST_SUITE(submission_rates)

BOOST_AUTO_TEST_CASE(jobs_beyond_the_weight_of_a_second_are_in_excess) {
  SubmissionRates rates;
  const TeamId team("a");
  const TeamId other("b");
  BOOST_TEST(!rates.NoteAndCheckExcess(team, 5000, 2));
  BOOST_TEST(!rates.NoteAndCheckExcess(team, 5999, 2));
  BOOST_TEST(rates.NoteAndCheckExcess(team, 5500, 2));
  BOOST_TEST(!rates.NoteAndCheckExcess(other, 5500, 2));
  BOOST_TEST(!rates.NoteAndCheckExcess(team, 6000, 2));
  // A job of an earlier second that is read late.
  BOOST_TEST(rates.NoteAndCheckExcess(team, 5100, 2));
  BOOST_TEST(!rates.NoteAndCheckExcess(team, 4100, 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
