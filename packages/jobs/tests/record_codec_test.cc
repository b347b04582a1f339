#include "record_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow{seconds(100)};

Job MakeJob() {
  Job job;
  job.id = JobId("5c0e7a21d94b36f8");
  job.queue.name = QueueName("reviews");
  job.queue.host = "one.example";
  job.queue.path_prefix = "/reviews/";
  job.queue.service = ServiceId("service");
  job.queue.priority = 2;
  job.queue.max_attempts = 4;
  job.queue.stretch = 2.5;
  job.queue.target = milliseconds(250);
  job.queue.advice =
      AdvicePolicy{milliseconds(380), Duration(5400), milliseconds(2000)};
  job.spec = MakeSpec({MakeStep(3, 4500, seconds(5))});
  Step second = MakeStep(10, 980, seconds(3));
  second.after = {0};
  second.checkpointing = true;
  second.gang = true;
  second.same_rack = true;
  second.speculative = true;
  second.required_label = std::string("a");
  second.near_rack = std::string("r1-3");
  second.max_per_worker = 2;
  second.image = std::string("image");
  second.response_target = milliseconds(40);
  second.max_unavailable = 1;
  second.each.accelerators = 1;
  job.spec.steps.push_back(second);
  job.spec.schedule = {.first_unix_ms = 7, .interval_ms = 8, .occurrences = 2};
  job.accepted_unix_ms = 1'700'000'000'123;
  return job;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(record_codec)

BOOST_AUTO_TEST_CASE(job_round_trips) {
  const Job job = MakeJob();
  const auto read = DecodeJob(EncodeJob(job));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->id == job.id);
  BOOST_TEST((read->queue == job.queue));
  BOOST_TEST((read->spec == job.spec));
  BOOST_TEST(read->accepted_unix_ms == job.accepted_unix_ms);
}

BOOST_AUTO_TEST_CASE(invalid_bytes_are_rejected) {
  BOOST_TEST(!DecodeJob("").has_value());
  BOOST_TEST(!DecodeJob("\xff\xff\xff").has_value());
  const std::string whole = EncodeJob(MakeJob());
  BOOST_TEST(!DecodeJob(whole.substr(0, whole.size() / 2)).has_value());
  BOOST_TEST(!DecodeStatus("\x08\x63").has_value());
}

BOOST_AUTO_TEST_CASE(progress_round_trips) {
  Job job = MakeJob();
  job.spec.schedule = {};
  JobTable table;
  JobEntry* entry = table.Add(job, kNow);
  const std::vector<std::int32_t> tasks{0, 1, 2};
  const std::vector<WorkerIncarnation> workers{
      {WorkerId("a"), 1}, {WorkerId("b"), 2}, {WorkerId("c"), 3}};
  const auto runs = table.Begin(entry, {job.id, 0, 0}, tasks, workers);
  table.End(runs[0], RunEnd::kDone, "", kNow);
  table.End(runs[1], RunEnd::kFailed, "1500", kNow);
  const std::string bytes = EncodeProgress(*entry);

  JobTable other;
  JobEntry* read = other.Add(job, kNow);
  BOOST_REQUIRE(ApplyProgress(&other, read, bytes));
  const StepEntry& step = read->occurrences.at(0).steps[0];
  BOOST_TEST(step.done == 1);
  BOOST_TEST(step.open == 1);
  BOOST_TEST(step.tasks[0].done);
  BOOST_TEST(!step.tasks[1].open);
  BOOST_TEST(step.tasks[1].failed_runs == 1);
  BOOST_TEST(step.tasks[1].counted_run == 1);
  BOOST_TEST(step.tasks[1].checkpoint == "1500");
  BOOST_TEST(step.tasks[2].open);
  BOOST_TEST((step.tasks[2].worker == workers[2]));
  BOOST_TEST(step.tasks[2].last_run == 1);
  BOOST_TEST((read->state == JobState::kRunning));
}

BOOST_AUTO_TEST_CASE(only_the_final_state_of_a_final_job_is_kept) {
  JobTable table;
  Job job = MakeJob();
  JobEntry* entry = table.Add(job, kNow);
  table.Cancel(entry);
  const std::string bytes = EncodeProgress(*entry);
  BOOST_TEST(bytes.size() < 8U);
  BOOST_TEST((DecodeStatus(bytes)->state == JobState::kCancelled));
}

BOOST_AUTO_TEST_CASE(node_record_round_trips) {
  const NodeRecord node{
      ProcessId("p"), DataCenterId("d"), "10.0.0.1:7720", 9, 250, 260};
  BOOST_TEST((DecodeNode(EncodeNode(node)) == node));
  BOOST_TEST(!DecodeNode("").has_value());
}

BOOST_AUTO_TEST_CASE(final_status_round_trips) {
  const JobStatus failed{JobState::kFailed, "task a.0.0.1 failed 3 times"};
  BOOST_TEST((DecodeStatus(EncodeEnd(failed)) == failed));
}

BOOST_AUTO_TEST_CASE(worker_losses_round_trip) {
  Job job = MakeJob();
  job.spec.schedule = {};
  JobTable table;
  JobEntry* entry = table.Add(job, kNow);
  const std::vector<std::int32_t> tasks{1};
  const WorkerIncarnation worker{WorkerId("a"), 1'768'177'255'714};
  const std::vector<WorkerIncarnation> workers{worker};
  const StepRef step{job.id, 0, 0};
  const RunRef run = table.Begin(entry, step, tasks, workers).front();
  table.NoteLoss(run, {.worker = worker,
                       .certain = true,
                       .survived = milliseconds(40),
                       .at_start = true,
                       .alone = true,
                       .unanswered = true});
  JobTable other;
  JobEntry* read = other.Add(job, kNow);
  BOOST_REQUIRE(ApplyProgress(&other, read, EncodeProgress(*entry)));
  const CrashHistory* crashes = other.FindCrashes(run.task);
  BOOST_REQUIRE(crashes != nullptr);
  BOOST_REQUIRE(crashes->Losses().size() == 1U);
  const WorkerLoss& loss = crashes->Losses().front();
  BOOST_TEST((loss.worker == worker));
  BOOST_TEST(loss.certain);
  BOOST_TEST(loss.at_start);
  BOOST_TEST(loss.alone);
  BOOST_TEST(loss.unanswered);
  BOOST_TEST((loss.survived == milliseconds(40)));
  BOOST_TEST(other.FindCrashes({step, 0}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
