#include "placement_lease.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace {

using mustardproxy::Instant;
using mustardproxy::standin::Holder;
using mustardproxy::standin::MaybeRefusal;
using mustardproxy::standin::PlacementLease;
using mustardproxy::standin::RefusalReason;
using std::chrono::seconds;

constexpr seconds kLease{3};

Instant At(std::int64_t second) { return Instant(seconds(second)); }

bool RefusedAs(const MaybeRefusal& refusal, RefusalReason reason) {
  return refusal && refusal->reason == reason;
}

struct Fixture {
  PlacementLease lease;
  Holder one{"one", 1};
  Holder two{"two", 2};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placement_lease, Fixture)

BOOST_AUTO_TEST_CASE(another_holder_waits_until_the_lease_has_lapsed) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  const auto refusal = lease.Attach(At(2), two, 2, kLease);
  BOOST_TEST(RefusedAs(refusal, RefusalReason::kLeaseHeld));
  BOOST_TEST(refusal->holder == "one");
  BOOST_TEST((refusal->lease_left == seconds(1)));
  BOOST_TEST(!lease.Attach(At(3), two, 2, kLease));
}

BOOST_AUTO_TEST_CASE(a_refused_attach_does_not_fence_the_holder) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  BOOST_TEST(lease.Attach(At(1), two, 9, kLease).has_value());
  BOOST_TEST(!lease.Renew(At(2), 1, kLease));
}

BOOST_AUTO_TEST_CASE(an_epoch_that_is_not_above_the_highest_is_stale) {
  BOOST_TEST(!lease.Attach(At(0), one, 5, kLease));
  const auto refusal = lease.Attach(At(10), two, 5, kLease);
  BOOST_TEST(RefusedAs(refusal, RefusalReason::kStaleEpoch));
  BOOST_TEST(refusal->highest_epoch == 5);
}

BOOST_AUTO_TEST_CASE(a_repeated_attach_is_accepted_while_in_force) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  BOOST_TEST(!lease.Attach(At(2), one, 1, kLease));
  BOOST_TEST(lease.Attach(At(4), two, 2, kLease).has_value());
}

BOOST_AUTO_TEST_CASE(the_same_process_started_anew_is_another_holder) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  const Holder restarted{"one", 7};
  BOOST_TEST(RefusedAs(lease.Attach(At(1), restarted, 2, kLease),
                       RefusalReason::kLeaseHeld));
}

// Two entry processes have owned the worker in turn. The first one was paused
// between its check and its send, and its start arrives after the takeover.
// The start must be refused, though its sender believes that it holds the
// lease.
BOOST_AUTO_TEST_CASE(a_start_of_the_former_owner_is_refused) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  BOOST_TEST(!lease.Attach(At(4), two, 2, kLease));
  BOOST_TEST(
      RefusedAs(lease.RenewByStart(At(5), 1), RefusalReason::kStaleEpoch));
  BOOST_TEST(!lease.RenewByStart(At(5), 2));
}

BOOST_AUTO_TEST_CASE(an_accepted_start_renews_the_lease) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  BOOST_TEST(!lease.RenewByStart(At(2), 1));
  BOOST_TEST(RefusedAs(lease.Attach(At(4), two, 2, kLease),
                       RefusalReason::kLeaseHeld));
}

BOOST_AUTO_TEST_CASE(nothing_is_accepted_after_a_release) {
  BOOST_TEST(!lease.Attach(At(0), one, 1, kLease));
  BOOST_TEST(!lease.Release(At(1), 1));
  BOOST_TEST(lease.Renew(At(1), 1, kLease).has_value());
  BOOST_TEST(lease.RenewByStart(At(1), 1).has_value());
  BOOST_TEST(lease.Check(At(1), 1).has_value());
  BOOST_TEST(lease.Attach(At(1), one, 1, kLease).has_value());
  BOOST_TEST(!lease.Attach(At(1), two, 2, kLease));
}

BOOST_AUTO_TEST_CASE(without_the_epoch_check_any_epoch_is_taken) {
  BOOST_TEST(!lease.Attach(At(0), one, 5, kLease));
  lease.CheckEpochs(false);
  BOOST_TEST(!lease.Attach(At(1), two, 1, kLease));
  BOOST_TEST(!lease.RenewByStart(At(1), 3));
}

BOOST_AUTO_TEST_SUITE_END()
