#include "crash_history.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxLosses = 3;

WorkerLoss Loss(const std::string& worker, Duration survived) {
  return {.worker = {WorkerId(worker)}, .certain = true, .survived = survived};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_history)

BOOST_AUTO_TEST_CASE(a_worker_incarnation_counts_once) {
  CrashHistory history;
  history.Note(Loss("a", seconds(1)));
  history.Note(Loss("a", seconds(1)));
  BOOST_TEST(history.Losses().size() == 1U);
  history.NoteAlive({WorkerId("a")});
  BOOST_TEST(history.Empty());
}

BOOST_AUTO_TEST_CASE(only_the_newest_losses_are_kept) {
  CrashHistory history;
  for (const char* worker : {"a", "b", "c"}) {
    history.Note(Loss(worker, seconds(1)));
  }
  history.KeepNewest(2);
  BOOST_TEST(history.Text() == "b c");
  history.KeepNewest(2);
  BOOST_TEST(history.Losses().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_single_loss_is_suspicious_only_at_task_start) {
  CrashHistory late;
  late.Note(Loss("a", seconds(1)));
  BOOST_TEST(!late.Suspicious());
  CrashHistory at_start;
  WorkerLoss loss = Loss("a", Duration::zero());
  loss.at_start = true;
  at_start.Note(loss);
  BOOST_TEST(at_start.Suspicious());
  late.Note(Loss("b", seconds(1)));
  BOOST_TEST(late.Suspicious());
}

BOOST_AUTO_TEST_CASE(probation_outlasts_the_longest_previous_run) {
  CrashHistory history;
  history.Note(Loss("a", milliseconds(300)));
  BOOST_TEST((history.ProbationPeriod() > milliseconds(300)));
  BOOST_TEST((history.ProbationPeriod() < seconds(1)));
  history.Note(Loss("b", milliseconds(300)));
  BOOST_TEST((history.ProbationPeriod() >= seconds(5)));
}

BOOST_AUTO_TEST_CASE(third_loss_is_decisive_only_for_a_task_that_ran_alone) {
  CrashHistory history;
  history.Note(Loss("a", seconds(1)));
  history.Note(Loss("b", seconds(1)));
  BOOST_TEST(!history.AtLimit(kMaxLosses));
  CrashHistory beside = history;
  beside.Note(Loss("c", seconds(1)));
  BOOST_TEST(beside.AtLimit(kMaxLosses));
  BOOST_TEST(!beside.Unsafe(kMaxLosses));
  beside.Note(Loss("d", seconds(1)));
  BOOST_TEST(beside.Unsafe(kMaxLosses));
  WorkerLoss last = Loss("c", seconds(1));
  last.alone = true;
  history.Note(last);
  BOOST_TEST(history.Unsafe(kMaxLosses));
}

BOOST_AUTO_TEST_CASE(silent_worker_counts_only_after_its_loss_is_confirmed) {
  CrashHistory history;
  history.Note(Loss("a", seconds(1)));
  history.Note(Loss("b", seconds(1)));
  WorkerLoss silent = Loss("c", seconds(1));
  silent.certain = false;
  silent.alone = true;
  history.Note(silent);
  BOOST_TEST(!history.Unsafe(kMaxLosses));
  BOOST_TEST(history.AtLimit(kMaxLosses));
  BOOST_TEST(history.Confirm({WorkerId("c")}));
  BOOST_TEST(!history.Confirm({WorkerId("c")}));
  BOOST_TEST(history.Unsafe(kMaxLosses));
}

// Failure: healthy tasks are failed after outages of many workers.
// Failure: losses of workers that had gone down before the start order was sent
// fail a sound job.
BOOST_AUTO_TEST_CASE(one_loss_without_a_response_to_the_start_does_not_count) {
  WorkerLoss unanswered = Loss("a", Duration::zero());
  unanswered.unanswered = true;
  CrashHistory history;
  history.Note(unanswered);
  BOOST_TEST(!history.Suspicious());
  history.Note(Loss("b", seconds(1)));
  history.Note(Loss("c", seconds(1)));
  BOOST_TEST(!history.AtLimit(kMaxLosses));
  unanswered.worker = {WorkerId("d")};
  history.Note(unanswered);
  BOOST_TEST(history.AtLimit(kMaxLosses));
}

BOOST_AUTO_TEST_CASE(long_runs_lost_in_outages_do_not_count) {
  CrashHistory history;
  std::set<WorkerIncarnation> workers;
  for (const char* worker : {"a", "b", "c", "d", "e"}) {
    history.Note(Loss(worker, seconds(2)));
    workers.insert({WorkerId(worker)});
  }
  BOOST_TEST(history.AtLimit(3));
  BOOST_TEST(history.Discount(workers));
  BOOST_TEST(!history.Discount(workers));
  BOOST_TEST(!history.Suspicious());
  BOOST_TEST(!history.Unsafe(3));
  BOOST_TEST(!history.AtLimit(3));
}

// Failure: a task that crashes its workers is never failed because other
// workers are lost at the same times.
BOOST_AUTO_TEST_CASE(loss_at_task_start_is_discounted_once) {
  CrashHistory history;
  std::set<WorkerIncarnation> workers;
  for (const char* worker : {"a", "b", "c"}) {
    history.Note(Loss(worker, milliseconds(10)));
    workers.insert({WorkerId(worker)});
  }
  history.Discount(workers);
  BOOST_TEST(history.Suspicious());
  BOOST_TEST(!history.AtLimit(3));
  BOOST_TEST(history.AtLimit(2));
}

// Failure: an incarnation is mistaken for the previous one with the same id.
BOOST_AUTO_TEST_CASE(each_incarnation_of_a_worker_id_counts) {
  CrashHistory history;
  for (std::int64_t start = 1; start <= 3; ++start) {
    WorkerLoss loss;
    loss.worker = {WorkerId("a"), start};
    history.Note(loss);
  }
  BOOST_TEST(history.Losses().size() == 3U);
  history.NoteAlive({WorkerId("a"), 3});
  BOOST_TEST(history.Losses().size() == 2U);
  BOOST_TEST(history.Losses().front().certain);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
