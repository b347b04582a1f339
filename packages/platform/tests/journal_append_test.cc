#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "event_list.h"
#include "journal_keys.h"
#include "mustardproxy/platform/key_value_client.h"
#include "mustardproxy/platform/platform_link.h"
#include "standin/standin_platform.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::AcceptedRecord;
using mustardproxy::AdoptedRecord;
using mustardproxy::AppendJournal;
using mustardproxy::CancelledRecord;
using mustardproxy::ClaimKey;
using mustardproxy::JournalAppended;
using mustardproxy::JournalBatch;
using mustardproxy::JournalFenced;
using mustardproxy::JournalId;
using mustardproxy::JournalUncertain;
using mustardproxy::KeyClaimed;
using mustardproxy::kJournalPrefix;
using mustardproxy::kMaxValueBytes;
using mustardproxy::PlatformLink;
using mustardproxy::ProcessId;
using mustardproxy::RequestId;
using mustardproxy::TeamId;
using mustardproxy::standin::StandinPlatform;
using mustardproxy::testing::EventList;

JournalBatch Batch(std::uint64_t sequence, std::uint64_t batch_id) {
  const CancelledRecord record{RequestId("p1.a.1"), true};
  return {JournalId("p1.a"), sequence, batch_id, {record}};
}

struct Fixture {
  Fixture() {
    this->link = PlatformLink::Builder()
                     .Url(this->platform.Url())
                     .Timeout(10s)
                     .Sink(&this->events)
                     .Build();
    this->link->Start();
  }

  std::size_t BatchesStored() const {
    return this->platform.Values(kJournalPrefix).size();
  }

  StandinPlatform platform;
  EventList events;
  std::unique_ptr<PlatformLink> link;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(journal_append, Fixture)

BOOST_AUTO_TEST_CASE(a_batch_is_created_under_its_number) {
  this->link->Perform(AppendJournal{Batch(12, 1)});
  const auto appended = this->events.Take<JournalAppended>();
  BOOST_REQUIRE(appended.has_value());
  BOOST_TEST(appended->sequence == 12U);
  const auto stored = this->platform.Values(kJournalPrefix);
  BOOST_TEST(stored.contains("journal/p1.a/00000000000000000012"));
}

// A caller waits for its 202 although its work is in the journal: the write
// took effect, and its reply was lost.
BOOST_AUTO_TEST_CASE(a_lost_reply_is_settled_by_reading) {
  this->platform.Switch({.lose_replies = 1});
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_TEST(this->events.Take<JournalAppended>().has_value());
  BOOST_TEST(this->platform.Counters()["lost"] == 1);
  BOOST_TEST(this->BatchesStored() == 1U);
}

// The reply to an append and the read after it are both lost. The journal sends
// the same batch again, which conflicts with its own earlier write. Taking that
// for an adoption would stop a healthy process.
BOOST_AUTO_TEST_CASE(a_conflict_with_the_own_write_is_an_append) {
  this->platform.Switch({.lose_replies = 1, .reads_per_second = 0});
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_REQUIRE(this->events.Take<JournalUncertain>().has_value());
  this->platform.Switch({});
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_TEST(this->events.Take<JournalAppended>().has_value());
  BOOST_TEST(this->events.Count<JournalFenced>() == 0U);
}

// An owner was paused while a peer adopted its journal. Its next append finds
// the peer's record at its number, also when the reply is lost.
BOOST_AUTO_TEST_CASE(an_append_behind_an_adoption_is_fenced) {
  JournalBatch adoption = Batch(1, 99);
  adoption.records = {AdoptedRecord{ProcessId("p2"), 5}};
  this->link->Perform(AppendJournal{adoption});
  BOOST_REQUIRE(this->events.Take<JournalAppended>().has_value());
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_TEST(this->events.Take<JournalFenced>().has_value());
  this->platform.Switch({.lose_replies = 1});
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_TEST(this->events.Take<JournalFenced>().has_value());
}

BOOST_AUTO_TEST_CASE(an_append_past_the_rate_is_uncertain_until_sent_again) {
  this->platform.Switch({.writes_per_second = 0});
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_REQUIRE(this->events.Take<JournalUncertain>().has_value());
  BOOST_TEST(this->BatchesStored() == 0U);
  this->platform.Switch({});
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_TEST(this->events.Take<JournalAppended>().has_value());
}

BOOST_AUTO_TEST_CASE(a_batch_above_the_limit_is_not_sent) {
  JournalBatch large = Batch(1, 7);
  AcceptedRecord record;
  record.request.body =
      std::make_shared<const std::string>(kMaxValueBytes, 'x');
  large.records.emplace_back(record);
  this->link->Perform(AppendJournal{large});
  BOOST_TEST(this->events.Take<JournalUncertain>().has_value());
  BOOST_TEST(this->platform.Counters()["put"] == 0);
}

// Callers with idempotency keys flood a slow platform. Deferred work must still
// get its 202 after one call's time, not behind the claims.
BOOST_AUTO_TEST_CASE(an_append_does_not_wait_behind_claims) {
  constexpr int kClaims = 100;
  this->platform.Switch({.delay_ms = 100});
  for (int i = 0; i < kClaims; ++i) {
    const std::string name = std::to_string(i);
    this->link->Perform(
        ClaimKey{RequestId("r" + name), TeamId("t"), "key" + name, 1});
  }
  this->link->Perform(AppendJournal{Batch(1, 7)});
  BOOST_REQUIRE(this->events.Take<JournalAppended>().has_value());
  BOOST_TEST(this->events.Count<KeyClaimed>() < kClaims / 2U);
}

BOOST_AUTO_TEST_SUITE_END()
