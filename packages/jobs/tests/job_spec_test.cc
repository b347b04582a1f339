#include <boost/test/unit_test.hpp>
#include <string>

#include "job_sim/sim_cell.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using std::chrono::seconds;

std::string FieldAtFault(const JobSpec& spec) {
  const auto problem = CheckSpec(spec, SpecLimits{});
  return problem ? problem->field : "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(job_spec)

BOOST_AUTO_TEST_CASE(a_plain_job_is_valid) {
  BOOST_TEST(FieldAtFault(MakeSpec({MakeStep(3, 100, seconds(1))})) == "");
}

BOOST_AUTO_TEST_CASE(step_may_depend_only_on_earlier_steps) {
  JobSpec spec =
      MakeSpec({MakeStep(1, 100, seconds(1)), MakeStep(1, 100, seconds(1))});
  spec.steps[0].after = {0};
  BOOST_TEST(FieldAtFault(spec) == "steps[0].after[0]");
  spec.steps[0].after = {1};
  BOOST_TEST(FieldAtFault(spec) == "steps[0].after[0]");
  spec.steps[0].after = {};
  spec.steps[1].after = {0, -1};
  BOOST_TEST(FieldAtFault(spec) == "steps[1].after[1]");
  spec.steps[1].after = {0};
  BOOST_TEST(FieldAtFault(spec) == "");
}

BOOST_AUTO_TEST_CASE(limit_violations_name_the_field) {
  BOOST_TEST(FieldAtFault(MakeSpec({})) == "steps");
  BOOST_TEST(FieldAtFault(MakeSpec({MakeStep(0, 100, seconds(1))})) ==
             "steps[0].tasks");
  BOOST_TEST(FieldAtFault(MakeSpec({MakeStep(1, -1, seconds(1))})) ==
             "steps[0].each");
  JobSpec spec = MakeSpec({MakeStep(1, 100, seconds(1))});
  spec.payload.assign(4001, 'x');
  BOOST_TEST(FieldAtFault(spec) == "payload");
  spec.payload.clear();
  spec.schedule.occurrences = 2;
  BOOST_TEST(FieldAtFault(spec) == "schedule.interval_ms");
  spec.schedule.occurrences = -1;
  BOOST_TEST(FieldAtFault(spec) == "schedule.occurrences");
}

BOOST_AUTO_TEST_CASE(longest_path_prefix_selects_the_queue) {
  DesiredState desired;
  for (const char* prefix : {"/a/", "/a/b/", "/c/"}) {
    Queue queue;
    queue.name = QueueName(prefix);
    queue.host = "one.example";
    queue.path_prefix = prefix;
    desired.queues.push_back(queue);
  }
  const Queue* deep = desired.Route("one.example", "/a/b/0123");
  BOOST_REQUIRE(deep != nullptr);
  BOOST_TEST(deep->path_prefix == "/a/b/");
  BOOST_TEST(desired.Route("one.example", "/a/0123")->path_prefix == "/a/");
  BOOST_TEST(desired.Route("two.example", "/a/0123") == nullptr);
  BOOST_TEST(desired.Route("one.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
