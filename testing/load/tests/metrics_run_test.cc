#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cell/cell.h"
#include "load/metrics_text.h"

namespace mustardproxy::load {
namespace {

using cell::Cell;
using cell::CellLayout;
using cell::HttpRequest;
using cell::SendOnce;
using cell::WaitUntil;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr double kMicrosecondsPerSecond = 1e6;

CellLayout OneEntry() {
  CellLayout layout;
  layout.data_centers = 1;
  layout.entries_per_data_center = 1;
  layout.workers_per_data_center = 2;
  return layout;
}

/// An entry process whose `/metrics` is read as its operators read it.
struct MeasuredCell {
  MeasuredCell() {
    BOOST_REQUIRE_MESSAGE(this->cell.Start(), this->cell.Trouble());
  }
  int Post(const std::string& service, const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/services/" + service;
    request.body = body;
    auto reply = SendOnce(this->cell.Url("entry-1-1"), request);
    return reply ? reply->status : 0;
  }
  std::vector<MetricSample> Read() {
    HttpRequest get;
    get.path = "/metrics";
    auto reply = SendOnce(this->cell.OperatorUrl("entry-1-1"), get);
    return ParseMetrics(reply ? reply->body : "");
  }
  /// @return the sum of the samples of `name` that carry a label's value
  double Value(const std::string& name, const std::string& label,
               const std::string& value) {
    double sum = 0;
    for (const MetricSample& sample : this->Read()) {
      auto found = sample.labels.find(label);
      bool fits = found != sample.labels.end() && found->second == value;
      if (sample.name == "mustardproxy_" + name && fits) sum += sample.value;
    }
    return sum;
  }
  double Value(const std::string& name) {
    return SumOf(this->Read(), "mustardproxy_" + name);
  }

  Cell cell{OneEntry()};
};

BOOST_FIXTURE_TEST_SUITE(metrics_run, MeasuredCell)

BOOST_AUTO_TEST_CASE(waiting_and_decision_time_have_a_sample_per_request) {
  constexpr int kRequests = 5;
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(this->Post("screen", "x") == kOk);
  }
  std::chrono::duration<double, std::micro> passed =
      std::chrono::steady_clock::now() - start;
  for (const std::string name : {"waiting_time_us", "decision_time_us"}) {
    BOOST_TEST_CONTEXT(name) {
      BOOST_TEST(this->Value(name + "_count", "profile", "urgent") ==
                 kRequests);
      double sum = this->Value(name + "_sum", "profile", "urgent");
      BOOST_TEST(sum > 0);
      BOOST_TEST(sum <= passed.count());
    }
  }
}

BOOST_AUTO_TEST_CASE(packing_shows_what_runs) {
  // Two workers of 8 slots each; four tasks run for longer than the test looks.
  constexpr double kQuarter = 250;
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(this->Post("review", R"({"run_ms": 50000})") == kAccepted);
  }
  auto sum = [this] {
    return this->Value("packing_permille_sum", "resource", "slots");
  };
  BOOST_TEST(WaitUntil([&] { return sum() >= 2 * kQuarter; }));
  double count = this->Value("packing_permille_count", "resource", "slots");
  BOOST_TEST(sum() <= kQuarter * count + kQuarter);
  BOOST_TEST(this->Value("packing_permille_sum", "resource", "cpu") > 0);
  BOOST_TEST(this->Value("packing_permille_sum", "resource", "memory") > 0);
}

BOOST_AUTO_TEST_CASE(control_bytes_are_counted_and_sampled) {
  BOOST_TEST(WaitUntil([this] {
    return this->Value("control_bytes_per_second_sum") > 0 &&
           this->Value("control_bytes", "to", "worker") > 0;
  }));
}

BOOST_AUTO_TEST_CASE(control_cpu_is_sampled) {
  BOOST_TEST(WaitUntil(
      [this] { return this->Value("control_cpu_us_per_second_count") >= 2; }));
  BOOST_TEST(this->Value("control_cpu_seconds") > 0);
  double sum = this->Value("control_cpu_us_per_second_sum");
  BOOST_TEST(sum > 0);
  // One thread takes no more than one core.
  double count = this->Value("control_cpu_us_per_second_count");
  BOOST_TEST(sum <= count * kMicrosecondsPerSecond);
}

BOOST_AUTO_TEST_CASE(resident_memory_is_sampled) {
  BOOST_TEST(WaitUntil(
      [this] { return this->Value("resident_memory_bytes_count") >= 1; }));
  double mean = this->Value("resident_memory_bytes_sum") /
                this->Value("resident_memory_bytes_count");
  double now = SumOf(this->Read(), "process_resident_memory_bytes");
  BOOST_TEST(now > 0);
  BOOST_TEST(mean > now / 2);
  BOOST_TEST(mean < now * 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::load
