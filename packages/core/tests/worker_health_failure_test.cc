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

/// Health records of ten workers.
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
  // Failure: two of ten workers fail each task within a millisecond. They
  // always look idle, so most requests would go to them and fail.
  TenWorkers cell;
  std::int32_t bad = 0;
  for (std::int32_t i = 0; i < 1000; ++i) {
    const Instant now(1s + i * 1ms);
    // A request goes to a free worker; the failing ones are always free.
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
  // Failure: a store that all services need is down, so every task fails on
  // every worker. If all workers were ejected, none would be left to place
  // tasks on when the store recovers.
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
  // Failure: four of ten workers fail every task, and three of them are
  // ejected. The fourth one stays in service and is always free, so it would
  // attract every request.
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
  // A request crashes every task that runs it and is retried on one worker
  // after another. It must end as failed after three workers, and the healthy
  // workers among them must stay in use.
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
  // Failure: a caller keeps sending faulty requests, each of which fails on
  // three workers that get no other tasks in between. Eventually every worker
  // would have five consecutive failures.
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
  // Failure: a healthy worker has four unrelated failures, and a faulty request
  // causes the fifth one and thereby its ejection. Once that request has failed
  // on three healthy workers, the reason for the ejection no longer exists.
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
  // Failure: a rack has three broken workers that fail every task. A valid
  // request that was tried on all three would be ended as failed, and its
  // result would be lost.
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
  // Failure: a broken release of one service fails on every worker. If three
  // workers were ejected for it, the other services would lose capacity.
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
  // Failure: six of ten workers are broken, and the only service of this cell
  // fails on most workers. It still succeeds on the other four, so the six
  // workers are at fault and must not attract requests.
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
  // Failure: the disk of a worker breaks while long tasks still run from
  // memory. The worker is ejected, and then some of these tasks succeed. If
  // that returned it to service, it would fail the next five requests.
  TenWorkers cell;
  for (std::int32_t i = 0; i < 5; ++i) cell.Fail(Instant(1s), 0, kScreen);
  for (std::int32_t i = 0; i < 5; ++i) {
    cell.health.OnSuccess(Instant(2s), cell.workers[0], kReview);
  }
  BOOST_TEST(cell.Ejected(Instant(2s)) == 1);
  BOOST_TEST(cell.Share(Instant(6s), 0) <= 0.125);
}

BOOST_AUTO_TEST_CASE(a_worker_that_keeps_failing_is_probed_less_often) {
  // A worker stays broken for an hour. Each probe costs a caller a retry, so
  // probes must become rare.
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
  // Failure: the ledger learns of a returning worker only through
  // `TakeChanged`, and the core sleeps until `NextWakeup`. Without a wake-up
  // for each step, a worker would stay unused in an idle cell.
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
