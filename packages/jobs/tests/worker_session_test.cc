#include "worker_session.h"

#include <boost/test/unit_test.hpp>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

constexpr Instant kStart{seconds(1000)};

WorkerInfo MakeInfo() {
  WorkerInfo info;
  info.incarnation.id = WorkerId("w");
  info.capacity = {16'000, 64'000, 0, 0};
  return info;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_session)

// The worker's clock is 2 % slow and was read at the end of a hold that waited
// for 1 s. The lease lasts longer by the local clock. Failure: a task that is
// started elsewhere before the lease ends runs twice.
BOOST_AUTO_TEST_CASE(lease_expires_by_the_slowest_permitted_clock) {
  WorkerSession session(0, MakeInfo(), kStart, Instant::min());
  const Instant answered = kStart + seconds(1);
  session.NoteClock(
      {.clock_ms = 50'000, .sent_at = kStart, .received_at = answered});
  const Instant now = answered + milliseconds(96);
  const std::int64_t until = session.LeaseUntilMs(now, milliseconds(4500));
  BOOST_TEST(until == 50'000 + 96 + 4500);
  session.NoteLeaseSent(until);
  const auto slowest = milliseconds(static_cast<std::int64_t>(4596 / 0.98));
  BOOST_TEST((session.LeaseExpiresAt() > answered + slowest));
  BOOST_TEST(
      (session.LeaseExpiresAt() < answered + slowest + milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(repeated_lease_does_not_postpone_expiry) {
  WorkerSession session(0, MakeInfo(), kStart, Instant::min());
  session.NoteClock(
      {.clock_ms = 1000, .sent_at = kStart, .received_at = kStart});
  session.NoteLeaseSent(session.LeaseUntilMs(kStart, milliseconds(4500)));
  const Instant lapse = session.LeaseExpiresAt();
  session.NoteLeaseSent(session.LeaseSentMs());
  session.NoteLeaseSent(0);
  BOOST_TEST((session.LeaseExpiresAt() == lapse));
}

BOOST_AUTO_TEST_CASE(older_clock_reading_is_ignored) {
  WorkerSession session(0, MakeInfo(), kStart, Instant::min());
  session.NoteClock({.clock_ms = 2000,
                     .sent_at = kStart + seconds(1),
                     .received_at = kStart + seconds(1)});
  session.NoteClock({.clock_ms = 1000,
                     .sent_at = kStart,
                     .received_at = kStart + seconds(2)});
  BOOST_TEST(session.LeaseUntilMs(kStart + seconds(1), Duration::zero()) ==
             2000);
}

BOOST_AUTO_TEST_CASE(resources_are_reserved_until_the_run_is_removed) {
  WorkerSession session(0, MakeInfo(), kStart, Instant::min());
  const RunRef run{{{JobId("j"), 0, 0}, 0}, 1};
  SessionRun record;
  record.resources = {6000, 1000, 0, 0};
  session.AddRun(run, record);
  session.AddRun(run, record);
  BOOST_TEST(session.Free().cpu_milli == 10'000);
  session.RemoveRun(run);
  session.RemoveRun(run);
  BOOST_TEST(session.Free().cpu_milli == 16'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
