#include "mustardproxy/gateway/job_surface.h"

#include <Poco/Net/HTTPRequest.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "job_sim/fake_jobs.h"
#include "job_sim/immediate_executor.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::testing {
namespace {

using jobs::SubmitOutcome;

/// Answers what the job surface does not.
class OtherSurface final : public http::Surface {
 public:
  std::optional<http::HttpAnswer> Handle(
      const http::HttpCall& /*call*/) override {
    return http::TextAnswer(200, "text/plain", "other");
  }
  http::HttpAnswer Refuse(std::int32_t status, std::error_code /*error*/,
                          std::string detail) override {
    return http::TextAnswer(status, "text/plain", std::move(detail));
  }
};

struct Fixture {
  Fixture() {
    this->jobs.desired = std::make_shared<jobs::DesiredState>();
    jobs::Queue queue;
    queue.name = jobs::QueueName("reviews");
    this->jobs.desired->queues.push_back(queue);
  }

  http::HttpAnswer Call(http::Method method, const std::string& path,
                        const std::string& body = "") {
    Poco::Net::HTTPRequest header("GET", path, "HTTP/1.1");
    header.set("Mustardproxy-Timeout-Ms", this->timeout);
    http::HttpCall call;
    call.method = method;
    call.path = path;
    call.header = &header;
    call.body = std::make_shared<const std::string>(body);
    return *this->surface.Handle(call);
  }
  static nlohmann::json Body(const http::HttpAnswer& answer) {
    return nlohmann::json::parse(View(answer.body));
  }

  std::string timeout = "2000";
  job_sim::ImmediateExecutor executor;
  job_sim::FakeJobs jobs;
  OtherSurface other;
  JobSurface surface{jobs::JobGate(&this->executor, &this->jobs), &this->other};
};

constexpr const char* kJob = "/v1/jobs/reviews/job-1";
constexpr const char* kSpec =
    R"({"payload":"p","steps":[{"tasks":2,"cpu_milli":500,"gang":true}]})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_surface, Fixture)

BOOST_AUTO_TEST_CASE(a_job_goes_in_and_its_state_comes_out) {
  BOOST_TEST(Call(http::Method::kPost, kJob, kSpec).status == 200);
  BOOST_TEST(jobs.last == jobs::JobId("job-1"));
  BOOST_TEST(jobs.spec.steps.at(0).tasks == 2);
  BOOST_TEST(jobs.spec.steps.at(0).gang);
  BOOST_TEST((jobs.timeout == std::chrono::seconds(2)));
  BOOST_TEST(Body(Call(http::Method::kGet, kJob))["state"] == "running");
  BOOST_TEST(!Body(Call(http::Method::kGet, kJob)).contains("cause"));
  jobs.state = jobs::JobStatus{jobs::JobState::kFailed, "it failed"};
  BOOST_TEST(Body(Call(http::Method::kGet, kJob))["cause"] == "it failed");
  BOOST_TEST(Body(Call(http::Method::kGet, "/v1/jobs/reviews"))["pending"] ==
             job_sim::FakeJobs::kPending);
  BOOST_TEST(Call(http::Method::kDelete, kJob).status == 200);
}

BOOST_AUTO_TEST_CASE(bad_input_names_the_field) {
  const auto answer =
      Call(http::Method::kPost, kJob, R"({"steps":[{"tasks":0}]})");
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(Body(answer)["code"] == static_cast<int>(Error::kJobInvalid));
  const auto detail = Body(answer)["detail"].get<std::string>();
  BOOST_TEST(detail.starts_with("steps[0].tasks: "));
  timeout = "soon";
  BOOST_TEST(Call(http::Method::kGet, kJob).status == 400);
}

BOOST_AUTO_TEST_CASE(unknown_things_are_told_apart) {
  const auto queue = Call(http::Method::kGet, "/v1/jobs/other/job-1");
  BOOST_TEST(queue.status == 404);
  BOOST_TEST(Body(queue)["code"] == static_cast<int>(Error::kUnknownQueue));
  jobs.state = make_error_code(Error::kUnknownRequest);
  const auto job = Call(http::Method::kGet, kJob);
  BOOST_TEST(job.status == 404);
  BOOST_TEST(Body(job)["code"] == static_cast<int>(Error::kUnknownJob));
}

BOOST_AUTO_TEST_CASE(not_run_and_unknown_are_told_apart) {
  jobs.submit = {SubmitOutcome::kNotAccepted,
                 Error::kStoreUnavailable,
                 {},
                 std::chrono::seconds(1)};
  const auto refused = Call(http::Method::kPost, kJob, kSpec);
  BOOST_TEST(refused.status == 503);
  jobs.submit = {
      SubmitOutcome::kUnknown, Error::kDeadlineExceeded, {}, Duration(0)};
  const auto unknown = Call(http::Method::kPost, kJob, kSpec);
  BOOST_TEST(unknown.status == 504);
  const auto outcome = [](const http::HttpAnswer& answer) -> std::string {
    for (const http::HttpHeader& header : answer.headers) {
      if (header.name == "Mustardproxy-Outcome") return header.value;
    }
    return "";
  };
  BOOST_TEST(outcome(refused) == "not-run");
  BOOST_TEST(outcome(unknown) == "unknown");
}

BOOST_AUTO_TEST_CASE(other_paths_go_on) {
  BOOST_TEST(View(Call(http::Method::kGet, "/metrics").body) == "other");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
