#include <boost/test/unit_test.hpp>
#include <string>

#include "mustardproxy/core/worker_health.h"

using namespace std::chrono_literals;
using mustardproxy::Instant;
using mustardproxy::RequestId;
using mustardproxy::ServiceId;
using mustardproxy::WorkerAvailability;
using mustardproxy::WorkerHealth;
using mustardproxy::WorkerHealthOptions;
using mustardproxy::WorkerId;

namespace {

WorkerHealth FourWorkers() {
  WorkerHealth health{WorkerHealthOptions()};
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    health.Add(WorkerId(name));
  }
  return health;
}

void Fail(WorkerHealth* health, Instant now, std::int32_t times) {
  for (std::int32_t i = 0; i < times; ++i) {
    health->OnFailure(now, WorkerId("w1"), ServiceId("screen"),
                      RequestId(std::to_string(i)));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_health_basic)

BOOST_AUTO_TEST_CASE(consecutive_failures_eject_a_worker) {
  WorkerHealth health = FourWorkers();
  Fail(&health, Instant(1s), 4);
  BOOST_TEST(health.Availability(Instant(1s), WorkerId("w1")).placeable);
  BOOST_TEST(health.TakeChanged(Instant(1s)).empty());
  Fail(&health, Instant(1s), 1);
  BOOST_TEST(!health.Availability(Instant(1s), WorkerId("w1")).placeable);
  const std::vector<WorkerId> changed = health.TakeChanged(Instant(1s));
  BOOST_REQUIRE(changed.size() == 1U);
  BOOST_TEST(changed[0] == WorkerId("w1"));
}

BOOST_AUTO_TEST_CASE(a_success_resets_the_consecutive_failures) {
  WorkerHealth health = FourWorkers();
  for (std::int32_t i = 0; i < 10; ++i) {
    Fail(&health, Instant(1s), 4);
    health.OnSuccess(Instant(1s), WorkerId("w1"));
  }
  BOOST_TEST(health.Availability(Instant(1s), WorkerId("w1")).share == 1.0);
}

BOOST_AUTO_TEST_CASE(an_ejected_worker_is_probed_and_returns_gradually) {
  WorkerHealth health = FourWorkers();
  const WorkerId worker("w1");
  Fail(&health, Instant(1s), 5);
  BOOST_TEST((health.NextWakeup() == Instant(6s)));
  const WorkerAvailability probed = health.Availability(Instant(6s), worker);
  BOOST_TEST(probed.placeable);
  BOOST_TEST(probed.share < 0.2);
  for (std::int32_t i = 0; i < 3; ++i) health.OnSuccess(Instant(7s), worker);
  double last = probed.share;
  for (auto now = Instant(8s); now <= Instant(17s); now += 1s) {
    (void)health.TakeChanged(now);
    const double share = health.Availability(now, worker).share;
    BOOST_TEST(share >= last);
    last = share;
    if (now < Instant(12s)) BOOST_TEST(share < 0.6);
  }
  BOOST_TEST(last == 1.0);
}

BOOST_AUTO_TEST_CASE(a_failed_probe_ejects_for_twice_as_long) {
  WorkerHealth health = FourWorkers();
  const WorkerId worker("w1");
  Fail(&health, Instant(1s), 5);
  Fail(&health, Instant(7s), 1);
  BOOST_TEST(!health.Availability(Instant(16s), worker).placeable);
  BOOST_TEST(health.Availability(Instant(17s), worker).placeable);
}

BOOST_AUTO_TEST_SUITE_END()
