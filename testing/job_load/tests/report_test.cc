#include "job_load/report.h"

#include <boost/test/unit_test.hpp>

namespace job_load {
namespace {

using std::chrono::seconds;

/// Ten jobs of 1 to 10 core seconds; `served` tells of each whether it was done
/// in time.
ExperimentResult MakeResult(const std::vector<bool>& served) {
  ExperimentResult result;
  for (std::size_t i = 0; i < served.size(); ++i) {
    JobOutcome job;
    job.core_seconds = static_cast<double>(i + 1);
    job.objective = seconds(1);
    if (served[i]) job.done = seconds(1);
    result.jobs.push_back(job);
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report)

// Nine of ten jobs are served, and the one that is not is the largest.
BOOST_AUTO_TEST_CASE(the_largest_tenth_stands_by_itself) {
  Deployment deployment;
  deployment.queues.resize(1);
  std::vector<bool> served(10, true);
  served.back() = false;
  const auto rows = Summarize(deployment, MakeResult(served));
  BOOST_TEST(rows.at(0).all.served == 0.9);
  BOOST_TEST(rows.at(0).largest_tenth.jobs == 1U);
  BOOST_TEST(rows.at(0).largest_tenth.served == 0.0);
  BOOST_TEST(rows.at(0).next_fifth.jobs == 2U);
  BOOST_TEST(rows.at(0).next_fifth.served == 1.0);
  BOOST_TEST(rows.at(0).all.worth == 45.0 / 55.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace job_load
