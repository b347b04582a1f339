#include "jobs.h"

#include <Poco/TemporaryFile.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "job_sim/fake_jobs.h"
#include "job_sim/immediate_executor.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/gateway/job_surface.h"
#include "mustardproxy/http/listener.h"
#include "run.h"

namespace mustardproxy::testing {
namespace {

using ctl::ExitCode;

/// Nothing else is served here.
class NoSurface final : public http::Surface {
 public:
  std::optional<http::HttpAnswer> Handle(
      const http::HttpCall& /*call*/) override {
    return this->Refuse(404, {}, "");
  }
  http::HttpAnswer Refuse(std::int32_t status, std::error_code /*error*/,
                          std::string detail) override {
    return http::TextAnswer(status, "text/plain", std::move(detail));
  }
};

http::ConnectionLimits Limits() {
  http::ConnectionLimits limits;
  limits.max_header_bytes = 16'384;
  limits.max_body_bytes = 1 << 20;
  return limits;
}

struct Fixture {
  Fixture() {
    this->jobs.desired = std::make_shared<jobs::DesiredState>();
    jobs::Queue queue;
    queue.name = jobs::QueueName("reviews");
    this->jobs.desired->queues.push_back(queue);
    const auto port = this->listener.Start("127.0.0.1", 0);
    BOOST_REQUIRE(port.has_value());
    this->url = "http://127.0.0.1:" + std::to_string(port.value());
  }
  ~Fixture() { this->listener.Stop(); }

  ExitCode Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"--entry", this->url, "job"});
    return ctl::Run(words, {this->out, this->err});
  }

  job_sim::ImmediateExecutor executor;
  job_sim::FakeJobs jobs;
  NoSurface none;
  JobSurface surface{jobs::JobGate(&this->executor, &this->jobs), &this->none};
  http::Listener listener{"jobs", Limits(), 8, &this->surface};
  std::string url;
  std::ostringstream out;
  std::ostringstream err;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ctl_jobs, Fixture)

BOOST_AUTO_TEST_CASE(a_job_is_handed_in_from_a_file) {
  Poco::TemporaryFile file;
  std::ofstream(file.path()) << R"({"steps":[{"tasks":3,"cpu_milli":500}]})";
  BOOST_TEST(
      (Run({"submit", "reviews", "job-1", file.path()}) == ExitCode::kOk));
  BOOST_TEST(jobs.last == jobs::JobId("job-1"));
  BOOST_TEST(jobs.spec.steps.at(0).tasks == 3);
}

BOOST_AUTO_TEST_CASE(state_and_number_are_printed) {
  BOOST_TEST((Run({"state", "reviews", "job-1"}) == ExitCode::kOk));
  BOOST_TEST(out.str().find("running") != std::string::npos);
  BOOST_TEST((Run({"pending", "reviews"}) == ExitCode::kOk));
  BOOST_TEST((Run({"cancel", "reviews", "job-1"}) == ExitCode::kOk));
}

BOOST_AUTO_TEST_CASE(each_failure_has_its_exit_code) {
  BOOST_TEST((Run({"state", "other", "job-1"}) == ExitCode::kUsage));
  BOOST_TEST((Run({"submit", "reviews", "job-1", "/nowhere"}) ==
              ExitCode::kInvalidDocument));
  Poco::TemporaryFile file;
  std::ofstream(file.path()) << R"({"steps":[]})";
  BOOST_TEST((Run({"submit", "reviews", "job-1", file.path()}) ==
              ExitCode::kInvalidDocument));
  BOOST_TEST(err.str().find("steps") != std::string::npos);
  jobs.submit = {
      jobs::SubmitOutcome::kUnknown, Error::kDeadlineExceeded, {}, Duration(0)};
  BOOST_TEST(
      (Run({"cancel", "reviews", "job-1"}) == ExitCode::kUnknownOutcome));
  BOOST_TEST((Run({"state", "reviews"}) == ExitCode::kUsage));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
