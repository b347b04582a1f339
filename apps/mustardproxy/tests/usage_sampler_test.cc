#include "usage_sampler.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace mustardproxy::testing {
namespace {

using namespace std::chrono_literals;

struct SamplerFixture {
  bool Shows(const std::string& line) {
    std::string text = this->metrics.Format();
    return text.find("\nmustardproxy_" + line + "\n") != std::string::npos;
  }

  Metrics metrics;
  UsageSampler sampler{&this->metrics, 1s};
  CoreStatus status;
  Instant start{1h};
};

BOOST_FIXTURE_TEST_SUITE(usage_sampler, SamplerFixture)

BOOST_AUTO_TEST_CASE(packing_is_the_used_share_of_each_resource) {
  this->status.capacity = {
      .cpu_milli = 8000, .memory_mb = 4096, .accelerators = 0, .slots = 16};
  this->status.free = {
      .cpu_milli = 6000, .memory_mb = 0, .accelerators = 0, .slots = 16};
  this->sampler.Sample(this->start, this->status, {});
  BOOST_TEST(this->Shows(R"(packing_permille_sum{resource="cpu"} 250)"));
  BOOST_TEST(this->Shows(R"(packing_permille_sum{resource="memory"} 1000)"));
  BOOST_TEST(this->Shows(R"(packing_permille_sum{resource="slots"} 0)"));
  BOOST_TEST(this->Shows(R"(packing_permille_count{resource="slots"} 1)"));
  std::string text = this->metrics.Format();
  // Share of nothing: such a sample would pull the quantiles down.
  BOOST_TEST(text.find("accelerators") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(process_without_workers_has_no_packing) {
  this->sampler.Sample(this->start, this->status, {});
  BOOST_TEST(this->metrics.Format().find("packing") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(rates_are_over_the_time_that_passed) {
  this->sampler.Begin(
      this->start,
      {.control_cpu_seconds = 1, .control_bytes = 5000, .resident_bytes = 0});
  BOOST_TEST((this->sampler.Due() == this->start + 1s));
  // The control thread was busy, so the sample comes late.
  this->sampler.Sample(this->start + 2s, this->status,
                       {.control_cpu_seconds = 1.5,
                        .control_bytes = 9000,
                        .resident_bytes = 1'000'000});
  BOOST_TEST(this->Shows("control_cpu_us_per_second_sum 250000"));
  BOOST_TEST(this->Shows("control_bytes_per_second_sum 2000"));
  BOOST_TEST(this->Shows("resident_memory_bytes_sum 1000000"));
  BOOST_TEST((this->sampler.Due() == this->start + 3s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
