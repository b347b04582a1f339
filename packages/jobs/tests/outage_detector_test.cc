#include "outage_detector.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow{seconds(1000)};
constexpr std::size_t kWorkers = 48;

std::string Numbered(std::string name, int number) {
  name += std::to_string(number);
  return name;
}

DownWorker Down(int number, Instant since, const JobId& job) {
  DownWorker down;
  down.worker = {WorkerId(Numbered("w", number)), 1};
  down.since = since;
  down.exact = true;
  down.jobs = {job};
  return down;
}

struct Fixture {
  /// Records the loss of the workers `first` to `last`, each running a
  /// different job.
  void Note(int first, int last, Instant since) {
    for (int i = first; i <= last; ++i) {
      this->detector.Note(Down(i, since, JobId(Numbered("job", i))));
    }
  }
  Outage FindOutage(const DownWorker& down) {
    return this->detector.FindOutage(down, {}, kWorkers);
  }

  OutageDetector detector;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(outage_detector, Fixture)

BOOST_AUTO_TEST_CASE(workers_lost_one_by_one_are_not_an_outage) {
  for (int i = 0; i < 20; ++i) Note(i, i, kNow + milliseconds(400) * i);
  const Outage outage = FindOutage(Down(30, kNow + seconds(2), JobId("j")));
  BOOST_TEST(!outage.RulesOutAsCause(JobId("j")));
}

BOOST_AUTO_TEST_CASE(many_simultaneous_losses_rule_out_a_job_as_cause) {
  Note(0, 7, kNow);
  const Outage outage =
      FindOutage(Down(30, kNow + milliseconds(20), JobId("j")));
  BOOST_TEST(outage.unexplained == 9U);
  BOOST_TEST(outage.RulesOutAsCause(JobId("j")));
}

// Failure: a wide job whose tasks crash all their workers at once is taken for
// an outage.
BOOST_AUTO_TEST_CASE(losses_of_a_jobs_own_workers_do_not_rule_it_out) {
  const JobId wide("wide");
  for (int i = 0; i < 20; ++i) detector.Note(Down(i, kNow, wide));
  const Outage outage = FindOutage(Down(30, kNow, wide));
  BOOST_TEST(!outage.RulesOutAsCause(wide));
  BOOST_TEST(outage.RulesOutAsCause(JobId("beside")));
}

// Failure: crashes of workers that are quarantined for different suspicious
// tasks discount each other.
BOOST_AUTO_TEST_CASE(quarantined_workers_do_not_count) {
  for (int i = 0; i < 20; ++i) {
    DownWorker down = Down(i, kNow, JobId(Numbered("job", i)));
    down.quarantined = true;
    detector.Note(down);
  }
  BOOST_TEST(
      !FindOutage(Down(30, kNow, JobId("j"))).RulesOutAsCause(JobId("j")));
}

BOOST_AUTO_TEST_CASE(inexact_loss_times_use_the_wider_window) {
  Note(0, 7, kNow);
  DownWorker late = Down(30, kNow + milliseconds(400), JobId("j"));
  BOOST_TEST(!FindOutage(late).RulesOutAsCause(JobId("j")));
  late.exact = false;
  BOOST_TEST(FindOutage(late).RulesOutAsCause(JobId("j")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
