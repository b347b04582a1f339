#include <boost/test/unit_test.hpp>

#include "ownership_cell.h"

using namespace std::chrono_literals;
using mustardproxy::Epoch;
using mustardproxy::OwnershipOptions;
using mustardproxy::WorkerId;
using mustardproxy::testing::kSlots;
using mustardproxy::testing::ModelProcess;
using mustardproxy::testing::OwnershipCell;

namespace {

const WorkerId kFirst("w00");

std::size_t TotalOwned(OwnershipCell* cell) {
  return cell->OwnedBy("a") + cell->OwnedBy("b");
}

void PlaceTasksAtBoth(OwnershipCell* cell) {
  cell->At("a").places_tasks = true;
  cell->At("b").places_tasks = true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ownership_split)

BOOST_AUTO_TEST_CASE(a_partition_between_two_processes_never_overcommits) {
  // Story: the link between two entry hosts breaks while both reach all
  // workers. Each takes the other for dead and itself for the owner of all.
  // Were both to place, a worker of 8 slots would run 16 tasks. Both are under
  // full load the whole time.
  OwnershipCell cell({"a", "b"}, 8);
  cell.StartAll();
  PlaceTasksAtBoth(&cell);
  cell.Run(5s);
  BOOST_TEST(TotalOwned(&cell) == 8U);
  cell.Cut("a", "b");
  cell.Run(60s);
  cell.Heal();
  cell.Run(20s);
  BOOST_TEST(cell.Peak() == kSlots);
  BOOST_TEST(cell.AllOwnedByPreferred());
}

BOOST_AUTO_TEST_CASE(
    idle_workers_do_not_change_owners_endlessly_in_a_partition) {
  // Story: as above, but the cell is idle, so the leases of idle workers lapse
  // and each side can attach whenever it likes. Without more, a worker would
  // change owners every few seconds, and each change costs a refused start.
  OwnershipCell cell({"a", "b"}, 8);
  cell.StartAll();
  cell.At("a").ownership.OnStartSent(cell.now, WorkerId("none"));
  cell.At("b").ownership.OnStartSent(cell.now, WorkerId("none"));
  cell.Run(30s);
  cell.Cut("a", "b");
  cell.Run(40s);
  const std::int32_t before = cell.Attaches();
  cell.Run(30s);
  BOOST_TEST(cell.Attaches() == before);
}

BOOST_AUTO_TEST_CASE(a_paused_holder_cannot_start_tasks_with_its_old_epoch) {
  // Story: an entry host stops for 20 s between the check of its lease and the
  // send (SIGSTOP, or a stalled hypervisor). Meanwhile its workers pass to the
  // other one, which fills them. Then the first one wakes up and its start
  // leaves for the worker. The caller must not get a ninth task run there.
  OwnershipCell cell({"a", "b"}, 8);
  cell.StartAll();
  cell.Run(5s);
  ModelProcess& a = cell.At("a");
  std::size_t worker = 0;
  while (!a.ownership.OwnedForStart(cell.now, cell.hosts[worker].id)) ++worker;
  const Epoch epoch =
      a.ownership.OwnedForStart(cell.now, cell.hosts[worker].id)->epoch;

  a.paused = true;
  cell.At("b").places_tasks = true;
  cell.Run(20s);
  BOOST_TEST(cell.OwnedBy("b") == 8U);
  BOOST_TEST(!cell.StartAt(worker, epoch));

  a.places_tasks = true;
  cell.Resume("a");
  cell.Run(20s);
  BOOST_TEST(cell.Peak() == kSlots);
  BOOST_TEST(cell.AllOwnedByPreferred());
  BOOST_TEST(a.started > 0);
}

BOOST_AUTO_TEST_CASE(a_pause_alone_does_not_cause_takeovers) {
  // Story: a data centre's hypervisor stalls for 20 s, and its entry hosts with
  // it. When they wake up, each finds the others silent for 20 s and would take
  // all workers, and they would fight over them although nobody had died.
  OwnershipCell cell({"a", "b", "c"}, 12);
  cell.StartAll();
  cell.Run(20s);
  const std::int32_t before = cell.Attaches();
  cell.At("b").paused = true;
  cell.At("c").paused = true;
  cell.At("a").paused = true;
  cell.Run(20s);
  cell.Resume("a");
  cell.Resume("b");
  cell.Resume("c");
  std::size_t members = 3;
  cell.Run(3s, [&] {
    const std::size_t seen = cell.At("a").membership.LocalMembers().size();
    members = std::min(members, seen);
  });
  BOOST_TEST(members == 3U);
  BOOST_TEST(cell.Attaches() == before);
}

BOOST_AUTO_TEST_CASE(without_epoch_checks_a_partition_does_not_overcommit) {
  // Story: these workers grant leases but do not compare the epoch of a start.
  // Then a holder may send nothing once its lease could have lapsed, or two
  // owners would fill the same slots while they can't hear each other.
  OwnershipOptions options;
  options.worker_checks_epoch = false;
  OwnershipCell cell({"a", "b"}, 8, options);
  cell.StartAll();
  PlaceTasksAtBoth(&cell);
  cell.Run(5s);
  cell.Cut("a", "b");
  cell.Run(30s);
  for (const auto& host : cell.hosts) cell.Cut("a", host.id.Text());
  cell.Run(30s);
  BOOST_TEST(cell.OwnedBy("a") == 0U);
  BOOST_TEST(cell.OwnedBy("b") == 8U);
  cell.Heal();
  cell.Run(30s);
  BOOST_TEST(cell.Peak() == kSlots);
  BOOST_TEST(cell.AllOwnedByPreferred());
}

BOOST_AUTO_TEST_CASE(
    without_epoch_checks_a_lease_counts_from_the_sent_request) {
  // Story: a renewal takes 700 ms to be answered. Counted from the answer, the
  // lease would seem to last 700 ms longer than the worker grants it, and in
  // that time a new owner and this one would both place.
  OwnershipOptions options;
  options.worker_checks_epoch = false;
  OwnershipCell cell({"a"}, 1, options);
  ModelProcess& a = cell.Start("a");
  mustardproxy::Actions actions;
  const mustardproxy::Instant sent = cell.now;
  a.ownership.Tick(sent, a.membership, &actions);
  BOOST_REQUIRE(actions.size() == 1U);
  mustardproxy::WorkerReport report;
  report.worker = kFirst;
  report.epoch = 1;
  BOOST_TEST(a.ownership.OnAttached(sent + 700ms, report));
  const auto lapse = sent + options.lease;
  BOOST_TEST(a.ownership.OwnedForStart(lapse - 1ms, kFirst).has_value());
  BOOST_TEST(!a.ownership.OwnedForStart(lapse, kFirst).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_answer_does_not_extend_the_lease_of_a_later_call) {
  // Story: a renewal is reported lost, the next one is sent, and then the first
  // one's answer arrives. Taken for the second one's, it would count the lease
  // from the wrong send, and this holder would place after the lapse.
  OwnershipOptions options;
  options.worker_checks_epoch = false;
  OwnershipCell cell({"a"}, 1, options);
  ModelProcess& a = cell.Start("a");
  mustardproxy::Actions actions;
  mustardproxy::Instant now = cell.now;
  a.ownership.Tick(now, a.membership, &actions);
  mustardproxy::WorkerReport report;
  report.worker = kFirst;
  report.epoch = 1;
  BOOST_TEST(a.ownership.OnAttached(now, report));
  now += 700ms;
  const mustardproxy::Instant first = now;
  a.ownership.Tick(now, a.membership, &actions);
  BOOST_REQUIRE(actions.size() == 2U);
  BOOST_TEST(!a.ownership.OnUnreachable(now + 800ms, kFirst));
  now += 1100ms;
  a.ownership.Tick(now, a.membership, &actions);
  BOOST_REQUIRE(actions.size() == 3U);
  a.ownership.OnRenewed(now + 1ms, report);
  const auto lapse = first + options.lease;
  BOOST_TEST(!a.ownership.OwnedForStart(lapse, kFirst).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
