#include <boost/test/unit_test.hpp>

#include "ownership_cell.h"

using namespace std::chrono_literals;
using mustardproxy::Duration;
using mustardproxy::Instant;
using mustardproxy::WorkerId;
using mustardproxy::testing::kSlots;
using mustardproxy::testing::ModelProcess;
using mustardproxy::testing::OwnershipCell;

namespace {

/// Simulates an application that reports its starts.
void ReportStarts(OwnershipCell* cell, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    cell->At(name).ownership.OnStartSent(cell->now, WorkerId("none"));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ownership_change)

BOOST_AUTO_TEST_CASE(
    a_cold_start_of_all_processes_ends_with_the_preferred_owners) {
  // Failure: all processes of a cell start at the same time. Each one initially
  // knows only itself and would attach to every worker, only to hand most of
  // them over later.
  OwnershipCell cell({"a", "b", "c", "d"}, 24);
  cell.StartAll();
  cell.Run(3s);
  BOOST_TEST(cell.AllOwnedByPreferred());
  BOOST_TEST(cell.Attaches() == 24);
}

BOOST_AUTO_TEST_CASE(
    workers_of_a_failed_process_are_taken_over_within_five_seconds) {
  // An entry host loses power. Urgent requests that fit only on its workers
  // wait until other processes own these workers.
  OwnershipCell cell({"a", "b", "c", "d"}, 24);
  cell.StartAll();
  ReportStarts(&cell, {"a", "b", "c", "d"});
  cell.Run(30s);
  for (const char* name : {"a", "b", "c", "d"}) {
    cell.At(name).places_tasks = true;
  }
  cell.Run(5s);
  cell.At("d").alive = false;
  const Instant died = cell.now;
  Duration takeover_time{0};
  cell.Run(10s, [&] {
    const std::size_t owned =
        cell.OwnedBy("a") + cell.OwnedBy("b") + cell.OwnedBy("c");
    if (owned == 24 && takeover_time == Duration(0)) {
      takeover_time = cell.now - died;
    }
  });
  BOOST_TEST_MESSAGE("taken after " << takeover_time.count() / 1000 << " ms");
  BOOST_TEST((takeover_time > Duration(0)));
  BOOST_TEST((takeover_time <= 5s));
  BOOST_TEST(cell.Peak() == kSlots);
}

BOOST_AUTO_TEST_CASE(a_restarted_process_gets_its_workers_back) {
  // An entry process crashes and is restarted immediately under the same name.
  // The workers still hold leases of its former run and must treat the new run
  // as a different holder, because messages of the former run may still be in
  // transit.
  OwnershipCell cell({"a", "b"}, 8);
  cell.StartAll();
  cell.At("a").places_tasks = true;
  cell.At("b").places_tasks = true;
  cell.Run(5s);
  const std::size_t owned = cell.OwnedBy("a");
  cell.Start("a").places_tasks = true;
  cell.Run(8s);
  BOOST_TEST(cell.OwnedBy("a") == owned);
  BOOST_TEST(cell.AllOwnedByPreferred());
  BOOST_TEST(cell.Peak() == kSlots);
}

BOOST_AUTO_TEST_CASE(a_restarted_worker_is_attached_again) {
  // A worker host reboots between two renewals, and all tasks on it are lost.
  // Its owner must learn this from a new attach, and it must never use an epoch
  // that the worker has seen before the reboot.
  OwnershipCell cell({"a"}, 1);
  ModelProcess& a = cell.Start("a");
  cell.Run(5s);
  const auto before = a.ownership.OwnedForStart(cell.now, WorkerId("w00"));
  cell.Worker(0).Restart();
  cell.Run(5s);
  const auto after = a.ownership.OwnedForStart(cell.now, WorkerId("w00"));
  BOOST_REQUIRE(before.has_value());
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(after->epoch > before->epoch);
  BOOST_TEST(after->incarnation != before->incarnation);
}

BOOST_AUTO_TEST_CASE(membership_churn_ends_with_the_preferred_owners) {
  // The entry hosts are replaced one by one while the cell is busy, one of them
  // twice in a row. Workers change owners each time; none may be overcommitted
  // or remain without an owner.
  OwnershipCell cell({"a", "b", "c", "d"}, 24);
  cell.StartAll();
  for (const char* name : {"a", "b", "c", "d", "b"}) {
    for (const char* other : {"a", "b", "c", "d"}) {
      cell.At(other).places_tasks = true;
    }
    cell.At(name).alive = false;
    cell.Run(3s);
    cell.Start(name);
    cell.Run(1s);
  }
  cell.Run(10s);
  BOOST_TEST(cell.AllOwnedByPreferred());
  BOOST_TEST(cell.Peak() == kSlots);
}

BOOST_AUTO_TEST_CASE(a_flapping_member_does_not_move_workers) {
  // Failure: an entry host can be reached for only half a second in every
  // three, as with a failing network card. Each time it appears, it is
  // preferred for its racks. It cannot reach the workers either, so releasing
  // them to it would leave them without an owner.
  OwnershipCell cell({"a", "b"}, 8);
  cell.Start("a");
  cell.Run(5s);
  BOOST_TEST(cell.OwnedBy("a") == 8U);
  ModelProcess& b = cell.Start("b");
  for (const auto& host : cell.hosts) cell.Cut("b", host.id.Text());
  std::size_t least = 8;
  for (std::int32_t i = 0; i < 10; ++i) {
    cell.Run(500ms, [&] { least = std::min(least, cell.OwnedBy("a")); });
    b.paused = true;
    cell.Run(2900ms, [&] { least = std::min(least, cell.OwnedBy("a")); });
    cell.Resume("b");
  }
  BOOST_TEST(least == 8U);
}

BOOST_AUTO_TEST_CASE(
    another_member_takes_a_worker_that_the_preferred_owner_cannot_reach) {
  // Failure: an entry host is alive and reachable for its peers but has lost
  // its connection to one worker. As the preferred owner it keeps the others
  // from attaching, so the worker would stay idle permanently while requests
  // wait.
  OwnershipCell cell({"a", "b", "c"}, 24);
  cell.StartAll();
  ReportStarts(&cell, {"a", "b", "c"});
  cell.Run(60s);
  std::size_t worker = 0;
  while (
      !cell.At("a").ownership.OwnedForStart(cell.now, cell.hosts[worker].id)) {
    ++worker;
  }
  const WorkerId lost = cell.hosts[worker].id;
  const std::size_t others = cell.OwnedBy("a") - 1;
  const std::int32_t before = cell.Attaches();
  cell.Cut("a", lost.Text());
  cell.Run(80s);
  const bool owned = cell.At("b").ownership.OwnedForStart(cell.now, lost) ||
                     cell.At("c").ownership.OwnedForStart(cell.now, lost);
  BOOST_TEST(owned);
  BOOST_TEST(cell.OwnedBy("a") == others);
  BOOST_TEST(cell.Attaches() == before + 1);

  // Once the connection is restored, the preferred owner gets the worker with
  // the next hand-back.
  cell.Heal();
  cell.Run(3min);
  BOOST_TEST(cell.At("a").ownership.OwnedForStart(cell.now, lost).has_value());
}

BOOST_AUTO_TEST_CASE(a_failed_worker_causes_few_messages) {
  // Failure: a worker host is permanently gone, but the host list still
  // contains it for hours. All processes would call it, and its neighbours to
  // find a worker without an owner, without end.
  const std::vector<std::string> names{"a", "b", "c"};
  OwnershipCell cell(names, 24);
  cell.StartAll();
  ReportStarts(&cell, names);
  cell.Run(60s);
  for (const std::string& name : names) cell.Cut(name, "w00");
  const auto calls = [&] {
    std::int32_t sum = 0;
    for (const std::string& name : names) sum += cell.At(name).calls;
    return sum;
  };
  const std::int32_t refused_before = cell.Refusals();
  cell.Run(2min);
  // Each of the two other processes asks each worker of the owner about once.
  BOOST_TEST_MESSAGE("refused: " << cell.Refusals() - refused_before);
  BOOST_TEST(cell.Refusals() - refused_before <= 2 * 2 * 12);
  cell.Run(2min);
  const std::int32_t before = calls();
  cell.Run(2min);
  // One call every 5 to 11 s to the failed worker, and one renewal every 10 to
  // 13 s for each idle worker.
  BOOST_TEST_MESSAGE("calls in two minutes: " << calls() - before);
  BOOST_TEST(calls() - before <= 24 + 23 * 13);
}

BOOST_AUTO_TEST_CASE(one_lost_renewal_does_not_lose_a_worker) {
  // Failure: a single renewal to a busy worker gets no answer. If its owner
  // considered the worker lost, it would abandon the tasks that run there, and
  // callers of non-idempotent requests would get the outcome "unknown".
  OwnershipCell cell({"a"}, 1);
  ModelProcess& a = cell.Start("a");
  const WorkerId worker("w00");
  a.places_tasks = true;
  cell.Run(10s);
  const std::int32_t attaches = cell.Attaches();
  BOOST_TEST(!a.ownership.OnUnreachable(cell.now, worker));
  BOOST_TEST(a.ownership.OwnedForStart(cell.now, worker).has_value());
  cell.Run(4s);
  BOOST_TEST(!a.ownership.OnUnreachable(cell.now, worker));
  cell.Run(10s);
  BOOST_TEST(cell.Attaches() == attaches);
}

BOOST_AUTO_TEST_CASE(a_worker_that_does_not_answer_gets_no_starts) {
  // Failure: a worker stops responding. Each start sent to it ends with an
  // unknown outcome after a long wait, so starts must stop long before its
  // lease has expired.
  OwnershipCell cell({"a"}, 1);
  ModelProcess& a = cell.Start("a");
  const WorkerId worker("w00");
  cell.Run(10s);
  cell.Cut("a", "w00");
  Duration suspended{0};
  Duration lost{0};
  const Instant cut = cell.now;
  cell.Run(12s, [&] {
    const bool owned = a.ownership.OwnedForStart(cell.now, worker).has_value();
    const bool held = a.ownership.HeldLease(worker).has_value();
    if (!owned && suspended == Duration(0)) suspended = cell.now - cut;
    if (!held && lost == Duration(0)) lost = cell.now - cut;
  });
  BOOST_TEST((suspended > Duration(0)));
  BOOST_TEST((lost >= suspended + 500ms));
  // One renewal interval, two calls without an answer and one delay.
  BOOST_TEST((suspended <= 3400ms + 2 * 800ms + 200ms));
  BOOST_TEST((lost <= 3400ms + 3s + 2 * 800ms));
}

BOOST_AUTO_TEST_CASE(reports_are_requested_while_starts_renew_the_lease) {
  // Failure: a worker is busy with short requests, whose starts renew its lease
  // continuously, and also runs one long detached task. Without reports, the
  // lease of the long task expires, and the worker stops it.
  OwnershipCell cell({"a"}, 1);
  cell.Start("a").places_tasks = true;
  cell.Run(5s);
  const std::int32_t before = cell.At("a").calls;
  cell.Run(30s);
  BOOST_TEST(cell.At("a").calls - before >= 8);
}

BOOST_AUTO_TEST_CASE(a_call_without_any_result_does_not_block_a_worker) {
  // Failure: the thread that performed an attach has died, so neither an answer
  // nor a failure is ever reported. The worker would stay without an owner
  // permanently.
  OwnershipCell cell({"a"}, 1);
  ModelProcess& a = cell.Start("a");
  mustardproxy::Actions actions;
  a.ownership.Tick(cell.now, a.membership, &actions);
  BOOST_REQUIRE(actions.size() == 1U);
  cell.Run(7s);
  BOOST_TEST(cell.OwnedBy("a") == 1U);
}

BOOST_AUTO_TEST_CASE(idle_leases_may_expire_and_starts_still_succeed) {
  // In an idle cell renewals become rare, so the leases of the workers expire.
  // The first request after that must still be started immediately.
  OwnershipCell cell({"a", "b"}, 8);
  cell.StartAll();
  ReportStarts(&cell, {"a", "b"});
  cell.Run(5min);
  cell.At("a").places_tasks = true;
  const std::size_t owned = cell.OwnedBy("a");
  cell.Run(100ms);
  BOOST_TEST(cell.At("a").started >= static_cast<std::int32_t>(owned));
  BOOST_TEST(cell.Attaches() == 8);
}

BOOST_AUTO_TEST_SUITE_END()
