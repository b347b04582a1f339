#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "mustardproxy/core/worker_health.h"

using namespace std::chrono_literals;
using mustardproxy::Instant;
using mustardproxy::RequestId;
using mustardproxy::ServiceId;
using mustardproxy::WorkerHealth;
using mustardproxy::WorkerHealthOptions;
using mustardproxy::WorkerId;

namespace {

const ServiceId kScreen("screen");
const ServiceId kReview("review");

/// Ten workers and their health.
struct TenWorkers {
  WorkerHealth health{WorkerHealthOptions()};
  std::vector<WorkerId> workers;
  std::int32_t requests = 0;

  TenWorkers() {
    for (std::int32_t i = 0; i < 10; ++i) {
      this->workers.emplace_back(std::to_string(i));
      this->health.Add(this->workers.back());
    }
  }

  void Fail(Instant now, std::size_t worker, const ServiceId& service) {
    const RequestId request(std::to_string(++this->requests));
    this->health.OnFailure(now, this->workers[worker], service, request);
  }
  [[nodiscard]] std::int32_t Ejected(Instant now) const {
    std::int32_t ejected = 0;
    for (const WorkerId& worker : this->workers) {
      if (!this->health.Availability(now, worker).placeable) ++ejected;
    }
    return ejected;
  }
  [[nodiscard]] double Share(Instant now, std::size_t worker) const {
    return this->health.Availability(now, this->workers[worker]).share;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_health_failure)

BOOST_AUTO_TEST_CASE(workers_that_fail_every_task_are_ejected) {
  // Story: two workers of ten fail each task within a millisecond. They look
  // idle all the time, so most requests would go to them and fail.
  TenWorkers cell;
  std::int32_t bad = 0;
  for (std::int32_t i = 0; i < 1000; ++i) {
    const Instant now(1s + i * 1ms);
    // A request goes to a free worker; the bad ones are always free.
    const std::size_t worker = cell.Share(now, 0) > 0   ? 0
                               : cell.Share(now, 1) > 0 ? 1
                                                        : 2;
    if (worker == 2) {
      cell.health.OnSuccess(now, cell.workers[2], kScreen);
    } else {
      ++bad;
      cell.Fail(now, worker, kScreen);
    }
  }
  BOOST_TEST(bad == 10);
  BOOST_TEST(cell.Ejected(Instant(2s)) == 2);
}

BOOST_AUTO_TEST_CASE(ejections_stay_within_the_limit_when_all_workers_fail) {
  // Story: a store that all services need is down, so every task on every
  // worker fails. Ejecting them all would leave nobody to place on when the
  // store is back.
  TenWorkers cell;
  for (std::int32_t round = 0; round < 100; ++round) {
    const Instant now(1s + round * 100ms);
    for (std::size_t worker = 0; worker < 10; ++worker) {
      cell.Fail(now, worker, worker % 2 == 0 ? kScreen : kReview);
      BOOST_TEST(cell.Ejected(now) <= 3);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failing_worker_kept_by_the_limit_gets_little_work) {
  // Story: four workers of ten fail everything, and three are ejected. The
  // fourth one stays in and is always free, so it would draw each request.
  TenWorkers cell;
  const Instant now(1s);
  for (std::int32_t round = 0; round < 5; ++round) {
    cell.health.OnSuccess(now, cell.workers[9], kScreen);
    for (std::size_t worker = 0; worker < 4; ++worker) {
      cell.Fail(now, worker, kScreen);
    }
  }
  BOOST_TEST(cell.Ejected(now) == 3);
  for (std::size_t worker = 0; worker < 4; ++worker) {
    BOOST_TEST(cell.Share(now, worker) <= 0.125);
  }
  BOOST_TEST(cell.Share(now, 9) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_request_that_fails_on_all_workers_is_at_fault) {
  // Story: one review crashes whatever runs it. It is retried on worker after
  // worker. It must end as failed after three, and the good workers it met must
  // stay in use.
  TenWorkers cell;
  const RequestId poison("poison");
  for (std::size_t worker = 0; worker < 3; ++worker) {
    BOOST_TEST(!cell.health.RequestAtFault(poison));
    cell.health.OnFailure(Instant(1s), cell.workers[worker], kReview, poison);
  }
  BOOST_TEST(cell.health.RequestAtFault(poison));
  cell.health.Forget(poison);
  BOOST_TEST(!cell.health.RequestAtFault(poison));
}

BOOST_AUTO_TEST_CASE(
    failures_of_a_faulty_request_do_not_eject_healthy_workers) {
  // Story: a caller sends bad reviews all day, each of which fails on three
  // workers. Between them the workers happen to get nothing else. After enough
  // of them every worker would have five failures in a row.
  TenWorkers cell;
  for (std::int32_t i = 0; i < 100; ++i) {
    const RequestId poison(std::to_string(1000 + i));
    for (std::size_t worker = 0; worker < 3; ++worker) {
      cell.health.OnFailure(Instant(1s), cell.workers[worker], kReview, poison);
    }
    BOOST_TEST(cell.health.RequestAtFault(poison));
    BOOST_TEST(cell.Ejected(Instant(1s)) == 0);
  }
  BOOST_TEST(cell.Share(Instant(1s), 0) == 1.0);
}

BOOST_AUTO_TEST_CASE(an_ejection_caused_by_a_faulty_request_is_lifted) {
  // Story: a good worker had four failures of its own bad luck when a bad
  // request came by as the fifth and got it ejected. Once that request has
  // failed on three healthy workers, the ejection has no ground left.
  TenWorkers cell;
  const Instant now(1s);
  for (std::int32_t i = 0; i < 4; ++i) cell.Fail(now, 0, kScreen);
  const RequestId poison("poison");
  cell.health.OnFailure(now, cell.workers[0], kReview, poison);
  BOOST_TEST(cell.Ejected(now) == 1);
  for (std::size_t worker = 1; worker < 4; ++worker) {
    cell.health.OnFailure(now, cell.workers[worker], kReview, poison);
  }
  BOOST_TEST(cell.health.RequestAtFault(poison));
  BOOST_TEST(cell.Ejected(now) == 0);
}

BOOST_AUTO_TEST_CASE(three_failing_workers_do_not_mark_a_request_as_faulty) {
  // Story: a rack with three broken workers fails whatever it gets. A request
  // that happened to be tried on all three is a good one; ended as failed, a
  // detainee's review would be lost.
  TenWorkers cell;
  const Instant now(1s);
  for (std::int32_t i = 0; i < 3; ++i) {
    for (std::size_t worker = 0; worker < 3; ++worker) {
      cell.Fail(now, worker, kScreen);
    }
  }
  const RequestId good("good");
  for (std::size_t worker = 0; worker < 3; ++worker) {
    cell.health.OnFailure(now, cell.workers[worker], kReview, good);
  }
  BOOST_TEST(!cell.health.RequestAtFault(good));
}

BOOST_AUTO_TEST_CASE(a_broken_service_does_not_eject_workers) {
  // Story: a broken release of one service fails on every worker. Were three
  // workers ejected for it, the other services would lose their room.
  TenWorkers cell;
  for (std::int32_t round = 0; round < 20; ++round) {
    for (std::size_t worker = 0; worker < 10; ++worker) {
      cell.Fail(Instant(1s), worker, kReview);
    }
  }
  BOOST_TEST(cell.Ejected(Instant(1s)) == 0);
  for (std::size_t worker = 0; worker < 10; ++worker) {
    BOOST_TEST(cell.Share(Instant(1s), worker) == 1.0);
  }
}

BOOST_AUTO_TEST_CASE(a_service_that_works_on_other_workers_is_not_at_fault) {
  // Story: six workers of ten are broken, and the one service of this cell
  // fails on most workers. It still works on the other four, so the six are to
  // blame and must not draw the work.
  TenWorkers cell;
  const Instant now(1s);
  for (std::int32_t round = 0; round < 10; ++round) {
    for (std::size_t worker = 0; worker < 6; ++worker) {
      cell.Fail(now, worker, kScreen);
    }
    for (std::size_t worker = 6; worker < 10; ++worker) {
      cell.health.OnSuccess(now, cell.workers[worker], kScreen);
    }
  }
  BOOST_TEST(cell.Ejected(now) == 3);
  for (std::size_t worker = 0; worker < 6; ++worker) {
    BOOST_TEST(cell.Share(now, worker) <= 0.125);
  }
}

BOOST_AUTO_TEST_CASE(
    answers_of_tasks_started_before_the_ejection_do_not_end_it) {
  // Story: a worker's disk breaks while long tasks still run from memory. It is
  // ejected, and then some of those succeed. Brought back on them, it would
  // fail the next five requests.
  TenWorkers cell;
  for (std::int32_t i = 0; i < 5; ++i) cell.Fail(Instant(1s), 0, kScreen);
  for (std::int32_t i = 0; i < 5; ++i) {
    cell.health.OnSuccess(Instant(2s), cell.workers[0], kReview);
  }
  BOOST_TEST(cell.Ejected(Instant(2s)) == 1);
  BOOST_TEST(cell.Share(Instant(6s), 0) <= 0.125);
}

BOOST_AUTO_TEST_CASE(a_worker_that_keeps_failing_is_probed_less_often) {
  // Story: a worker stays broken for an hour. Each probe costs a caller a
  // retry, so probes must become rare.
  TenWorkers cell;
  std::int32_t failures = 0;
  for (std::int32_t i = 0; i < 36'000; ++i) {
    const Instant now(1s + i * 100ms);
    if (cell.Share(now, 0) == 0) continue;
    ++failures;
    cell.Fail(now, 0, kScreen);
  }
  BOOST_TEST(failures >= 5 + 30);
  BOOST_TEST(failures <= 5 + 40);
}

BOOST_AUTO_TEST_CASE(changes_are_reported_at_the_announced_wakeups) {
  // Story: the ledger learns of a returning worker only through `TakeChanged`,
  // and the core sleeps until `NextWakeup`. Without a wake-up at each step, a
  // worker would stay out of use in a quiet cell.
  TenWorkers cell;
  for (std::int32_t i = 0; i < 5; ++i) cell.Fail(Instant(1s), 0, kScreen);
  Instant now(1s);
  BOOST_TEST(cell.health.TakeChanged(now).size() == 1U);
  now = cell.health.NextWakeup();
  BOOST_TEST((now == Instant(6s)));
  BOOST_TEST(cell.health.TakeChanged(now).size() == 1U);
  for (std::int32_t i = 0; i < 3; ++i) {
    cell.health.OnSuccess(now, cell.workers[0], kScreen);
  }
  std::int32_t steps = 0;
  (void)cell.health.TakeChanged(now);
  while (cell.health.NextWakeup() != Instant::max() && steps < 100) {
    now = cell.health.NextWakeup();
    (void)cell.health.TakeChanged(now);
    ++steps;
  }
  BOOST_TEST(steps <= 8);
  BOOST_TEST(cell.Share(now, 0) == 1.0);
  BOOST_TEST((now <= Instant(16s)));
}

BOOST_AUTO_TEST_SUITE_END()
