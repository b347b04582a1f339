#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "lifecycle/request_name.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

namespace {

ClaimKey TakeClaim(CoreHarness* harness) {
  const auto claims = harness->Take<ClaimKey>();
  BOOST_TEST_REQUIRE(claims.size() == 1U);
  return claims.front();
}

KeyTaken TakenBy(const ClaimKey& mine, const char* holder) {
  KeyTaken taken;
  taken.request = mine.request;
  taken.claim.request = RequestId(holder);
  taken.claim.body_hash = mine.body_hash;
  return taken;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(core_key)

BOOST_AUTO_TEST_CASE(nothing_starts_before_the_key_is_claimed) {
  CoreHarness harness(1);
  const RequestId id = harness.SendRequest("booking", "k1");
  const ClaimKey claim = TakeClaim(&harness);
  BOOST_TEST(claim.body_hash == detail::BodyHash("body"));
  BOOST_TEST(harness.Take<StartTask>().empty());
  harness.Send(KeyClaimed{id});
  harness.EndTask(harness.TakeStart());
  const auto settled = harness.Take<ResolveKeyClaim>();
  BOOST_TEST_REQUIRE(settled.size() == 1U);
  BOOST_TEST(!settled.front().drop);
  BOOST_TEST((settled.front().answer.outcome == Outcome::kCompleted));
}

// An entry process is paused while a booking claims its key, and resumes after
// the caller's timeout, when the caller may have retried elsewhere. The first
// event after the pause is the granted claim. The booking must not start.
BOOST_AUTO_TEST_CASE(a_claim_granted_after_the_deadline_starts_nothing) {
  CoreHarness harness(1);
  const RequestId id = harness.SendRequest("booking", "k1");
  (void)TakeClaim(&harness);
  harness.Pause(std::chrono::minutes(5));
  harness.Send(KeyClaimed{id});
  BOOST_TEST(harness.Take<StartTask>().empty());
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kNotRun));
  const auto settled = harness.Take<ResolveKeyClaim>();
  BOOST_TEST_REQUIRE(!settled.empty());
  BOOST_TEST(settled.front().drop);
}

// Old claims must be removed from the platform, where they would accumulate
// otherwise. Only one process of the cell requests this, since operators pay
// for the calls to the platform.
BOOST_AUTO_TEST_CASE(one_process_of_the_cell_sweeps_old_claims) {
  CoreHarness harness(1);
  harness.Advance(std::chrono::minutes(30));
  const auto sweeps = harness.Take<SweepClaims>();
  BOOST_TEST(sweeps.size() == 3U);
  for (const SweepClaims& sweep : sweeps) {
    BOOST_TEST((sweep.retention == std::chrono::hours(1)));
  }
  harness.Send(PlatformReachability{false});
  harness.Advance(std::chrono::minutes(30));
  BOOST_TEST(harness.Take<SweepClaims>().empty());
}

BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_answer) {
  CoreHarness harness(1);
  harness.SendRequest("booking", "k1");
  KeyTaken taken = TakenBy(TakeClaim(&harness), "p2.b2.1");
  taken.claim.answer = Answer{};
  taken.claim.answer->outcome = Outcome::kCompleted;
  taken.claim.answer->status = 201;
  harness.Send(taken);
  BOOST_TEST(harness.TakeReply().answer.status == 201);
  BOOST_TEST(harness.Take<StartTask>().empty());
  BOOST_TEST(harness.Take<ResolveKeyClaim>().empty());
}

BOOST_AUTO_TEST_CASE(a_repeat_with_another_body_is_refused) {
  CoreHarness harness(1);
  harness.SendRequest("booking", "k1");
  KeyTaken taken = TakenBy(TakeClaim(&harness), "p2.b2.1");
  taken.claim.body_hash += 1;
  harness.Send(taken);
  const Reply reply = harness.TakeReply();
  BOOST_TEST(reply.answer.status == 422);
  BOOST_TEST((reply.answer.error == Error::kKeyReused));
}

BOOST_AUTO_TEST_CASE(
    a_repeat_during_the_first_request_is_answered_with_retry_after) {
  CoreHarness harness(1);
  harness.AddPeerWithRoom("p2", "dc1");
  harness.SendRequest("booking", "k1");
  harness.Send(TakenBy(TakeClaim(&harness), "p2.b2.1"));
  const Reply reply = harness.TakeReply();
  BOOST_TEST(reply.answer.status == 409);
  BOOST_TEST((reply.answer.outcome == Outcome::kNotRun));
  BOOST_TEST(reply.answer.retry_after.count() > 0);
}

// The process that held the claim died before it stored an answer. A repeat
// must not run the booking again, and must not be answered with a retry delay
// forever.
BOOST_AUTO_TEST_CASE(a_repeat_after_its_holder_died_is_answered_unknown) {
  CoreHarness harness(1);
  harness.AddPeerWithRoom("p2", "dc1");
  harness.SendRequest("booking", "k1");
  harness.Send(TakenBy(TakeClaim(&harness), "p2.77.1"));
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// The reply to a claim was lost, so the claim may exist although nothing
// started. Once the platform is reachable again the claim must be dropped, so
// that a later repeat may run.
BOOST_AUTO_TEST_CASE(a_possibly_granted_claim_is_dropped_later) {
  CoreHarness harness(1);
  const RequestId id = harness.SendRequest("booking", "k1");
  harness.Send(PlatformReachability{false});
  harness.Send(KeyUnavailable{id, true});
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kNotRun));
  BOOST_TEST((reply.answer.error == Error::kJournalUnavailable));
  harness.Take<ResolveKeyClaim>();
  harness.Send(PlatformReachability{true});
  const auto settled = harness.Take<ResolveKeyClaim>();
  BOOST_TEST_REQUIRE(settled.size() == 1U);
  BOOST_TEST(settled.front().drop);
  BOOST_TEST(settled.front().request == id);
}

BOOST_AUTO_TEST_SUITE_END()
