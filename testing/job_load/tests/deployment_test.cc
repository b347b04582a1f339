#include "job_load/deployment.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

namespace job_load {
namespace {

void CheckProblem(const std::string& text, const std::string& field) {
  const auto parsed = ParseDeployment(text);
  const auto* problem = std::get_if<DeploymentProblem>(&parsed);
  BOOST_REQUIRE_MESSAGE(problem != nullptr, "no problem with " << text);
  BOOST_TEST(problem->field == field);
  BOOST_TEST(!problem->reason.empty());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(deployment)

BOOST_AUTO_TEST_CASE(a_whole_description_is_read) {
  const auto parsed = ParseDeployment(R"({
    // Two kinds of work.
    "seed": 7, "seconds": 12.5, "processes": 4,
    "workers": {"count": 40, "per_rack": 10, "cpu_milli": 8000},
    "queues": [
      {"name": "screens", "stretch": 1.5, "target_ms": 250,
       "advice": {"decision_ms": 7, "per_worker_ms": 0.1, "validity_ms": 2000,
                  "permitted_share": 0.7},
       "run_ms": {"mean": 800, "spread": 0.5, "most": 2000},
       "bursts": [{"at_s": 2, "for_s": 3, "factor": 2.5}]},
      {"name": "reviews", "priority": 2, "gang_share": 0.5}],
    "faults": [{"kind": "kill-owner", "at_s": 5, "for_s": 2}]
  })");
  const auto* read = std::get_if<Deployment>(&parsed);
  BOOST_REQUIRE(read != nullptr);
  BOOST_TEST(read->seed == 7U);
  BOOST_TEST(read->workers == 40U);
  BOOST_TEST(read->worker_cpu_milli == 8000);
  BOOST_REQUIRE(read->queues.size() == 2U);
  const QueueLoad& screens = read->queues.front();
  BOOST_TEST(screens.queue.advice->per_worker.count() == 100);
  BOOST_TEST(screens.permitted_share == 0.7);
  BOOST_TEST(screens.run_ms.most == 2000.0);
  BOOST_TEST(screens.bursts.front().factor == 2.5);
  BOOST_TEST(read->queues.back().queue.priority == 2);
  BOOST_TEST(read->faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_problem_names_its_field) {
  CheckProblem("not json", "");
  CheckProblem(R"({"queues": []})", "queues");
  CheckProblem(R"({"queues": [{"name": 3}]})", "queues[0].name");
  CheckProblem(R"({"queues": [{"name": "a", "gang_share": 1.5}]})",
               "queues[0].gang_share");
  CheckProblem(R"({"queues": [{"name": "a", "run_ms": {"mean": "x"}}]})",
               "queues[0].run_ms.mean");
  CheckProblem(R"({"queues": [{"name": "a", "speed": 1}]})", "queues[0].speed");
  CheckProblem(R"({"queues": [{"name": "a"}], "faults": [{"kind": "rain"}]})",
               "faults[0].kind");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace job_load
