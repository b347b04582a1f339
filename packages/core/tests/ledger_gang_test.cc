#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/ledger.h"

namespace mustardproxy {
namespace {

constexpr Resources kCapacity{8000, 8000, 0, 8};
constexpr Resources kTask{1000, 1000, 0, 1};
const Instant kNow{std::chrono::seconds(100)};

struct TwoRacks {
  TwoRacks() {
    for (const char* id : {"a1", "a2", "b1", "b2"}) {
      WorkerDescription worker;
      worker.id = WorkerId(id);
      worker.rack = RackId(std::string(1, id[0]));
      WorkerReport report;
      report.worker = worker.id;
      report.capacity = kCapacity;
      this->ledger.AddWorker(worker, report);
    }
  }
  void Use(const char* worker, std::int64_t slots) {
    const Resources taken{1000 * slots, 1000 * slots, 0, slots};
    BOOST_REQUIRE(
        this->ledger.Reserve(WorkerId(worker), TaskId(worker), taken));
  }
  Ledger ledger;
};

BOOST_FIXTURE_TEST_SUITE(ledger_gang, TwoRacks)

BOOST_AUTO_TEST_CASE(best_fit_uses_the_rack_with_least_free_capacity) {
  this->Use("b1", 4);
  const auto gang = this->ledger.FindGang(kTask, 10, Packing::kBestFit, {});
  BOOST_REQUIRE(gang.size() == 10);
  for (const WorkerId& worker : gang) BOOST_TEST(worker.Text()[0] == 'b');
}

BOOST_AUTO_TEST_CASE(spread_uses_all_workers_of_the_rack) {
  const auto gang = this->ledger.FindGang(kTask, 4, Packing::kSpread, {});
  BOOST_REQUIRE(gang.size() == 4);
  BOOST_TEST(std::set<WorkerId>(gang.begin(), gang.end()).size() == 2);
}

BOOST_AUTO_TEST_CASE(held_capacity_is_found_only_when_holds_are_ignored) {
  for (const char* id : {"a1", "a2", "b1"}) {
    this->ledger.Hold(WorkerId(id), kCapacity);
  }
  this->Use("b2", 8);
  BOOST_TEST(!this->ledger.Find(kTask, Packing::kBestFit, {}).has_value());
  BOOST_TEST(
      this->ledger.Find(kTask, Packing::kBestFit, {}, HoldPolicy::kIgnore)
          .has_value());
  BOOST_TEST(this->ledger.FindGang(kTask, 2, Packing::kBestFit, {}).empty());
  BOOST_TEST(
      this->ledger
          .FindGang(kTask, 24, Packing::kBestFit, {}, HoldPolicy::kIgnore)
          .size() == 24);
  this->ledger.ClearHolds();
  BOOST_TEST(this->ledger.FindGang(kTask, 2, Packing::kBestFit, {}).size() ==
             2);
}

BOOST_AUTO_TEST_CASE(a_plan_gives_the_earliest_time_with_capacity) {
  for (const char* id : {"a1", "a2", "b1", "b2"}) this->Use(id, 8);
  const auto at = [](int seconds) {
    return kNow + std::chrono::seconds(seconds);
  };
  const std::vector<ExpectedRelease> releases{
      {at(1), WorkerId("a1"), Resources{4000, 4000, 0, 4}},
      {at(2), WorkerId("b1"), Resources{4000, 4000, 0, 4}},
      {at(3), WorkerId("b2"), Resources{8000, 8000, 0, 8}}};
  const auto plan =
      this->ledger.PlanGang(kTask, 8, Packing::kBestFit, {}, kNow, releases);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST((plan->at == at(2)));
  BOOST_TEST(plan->workers.size() == 8);
  BOOST_TEST(
      !this->ledger.PlanGang(kTask, 17, Packing::kBestFit, {}, kNow, releases)
           .has_value());
}

BOOST_AUTO_TEST_CASE(the_tracked_fit_count_follows_every_change) {
  this->ledger.TrackFitCount(kTask);
  BOOST_TEST(this->ledger.TrackedFitCount() == 32);
  this->Use("a1", 3);
  BOOST_TEST(this->ledger.TrackedFitCount() == 29);
  BOOST_TEST(this->ledger.TrackedFitCountWithout(
                 WorkerId("a2"), Resources{6500, 1000, 0, 1}) == 22);
  this->ledger.SetPlaceable(WorkerId("b1"), false);
  BOOST_TEST(this->ledger.TrackedFitCount() == 21);
  this->ledger.RemoveWorker(WorkerId("a1"));
  BOOST_TEST(this->ledger.TrackedFitCount() == 16);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
