#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "event_list.h"
#include "journal_keys.h"
#include "mustardproxy/platform/key_value_client.h"
#include "mustardproxy/platform/platform_link.h"
#include "standin/standin_platform.h"
#include "stored_codec.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::AcceptedRecord;
using mustardproxy::AdoptedRecord;
using mustardproxy::AppendJournal;
using mustardproxy::CancelledRecord;
using mustardproxy::JournalBatch;
using mustardproxy::JournalFenced;
using mustardproxy::JournalId;
using mustardproxy::JournalRead;
using mustardproxy::JournalRecord;
using mustardproxy::JournalsListed;
using mustardproxy::kJournalPrefix;
using mustardproxy::ListJournals;
using mustardproxy::PlatformLink;
using mustardproxy::ProcessId;
using mustardproxy::ReadJournal;
using mustardproxy::RequestId;
using mustardproxy::TrimJournal;
namespace platform_detail = mustardproxy::platform_detail;
using mustardproxy::standin::StandinPlatform;
using mustardproxy::testing::EventList;
using mustardproxy::testing::Eventually;

const JournalId kJournal("p1.a");

struct Fixture {
  Fixture() {
    this->link = PlatformLink::Builder()
                     .Url(this->platform.Url())
                     .Timeout(10s)
                     .Sink(&this->events)
                     .Build();
    this->link->Start();
  }

  void Store(const JournalId& journal, std::uint64_t sequence,
             JournalRecord record) {
    const JournalBatch batch{journal, sequence, sequence, {std::move(record)}};
    this->platform.Put(platform_detail::JournalKey(journal, sequence),
                       platform_detail::EncodeBatch(batch));
  }

  std::vector<JournalBatch> Read(const JournalId& journal) {
    this->link->Perform(ReadJournal{journal});
    auto read = this->events.Take<JournalRead>();
    return read ? read->batches : std::vector<JournalBatch>();
  }

  std::vector<JournalId> List() {
    this->link->Perform(ListJournals{});
    auto listed = this->events.Take<JournalsListed>();
    return listed ? listed->journals : std::vector<JournalId>();
  }

  bool StoredBatches(std::size_t count) {
    return Eventually([&] {
      std::size_t batches = 0;
      for (const auto& [key, value] : this->platform.Values(kJournalPrefix)) {
        const auto parts = platform_detail::ParseJournalKey(key);
        batches += parts && !parts->trim ? 1 : 0;
      }
      return batches == count;
    });
  }

  StandinPlatform platform;
  EventList events;
  std::unique_ptr<PlatformLink> link;
};

CancelledRecord Cancelled() { return {RequestId("p1.a.1"), false}; }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(journal_archive, Fixture)

BOOST_AUTO_TEST_CASE(a_journal_is_read_in_order_of_its_numbers) {
  for (const std::uint64_t sequence : {10U, 2U, 1U, 9U}) {
    this->Store(kJournal, sequence, Cancelled());
  }
  this->Store(JournalId("p1.ab"), 1, Cancelled());
  const auto batches = this->Read(kJournal);
  BOOST_REQUIRE(batches.size() == 4U);
  BOOST_TEST(batches[0].sequence == 1U);
  BOOST_TEST(batches[3].sequence == 10U);
  BOOST_TEST(batches[3].batch_id == 10U);
  BOOST_TEST(batches[3].journal == kJournal);
  BOOST_TEST(this->List().size() == 2U);
  BOOST_TEST(this->Read(JournalId("none")).empty());
}

BOOST_AUTO_TEST_CASE(a_trimmed_journal_keeps_its_newest_batch) {
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    this->Store(kJournal, sequence, Cancelled());
  }
  this->link->Perform(TrimJournal{kJournal, 3});
  BOOST_TEST(this->StoredBatches(2));
  BOOST_TEST(this->Read(kJournal).front().sequence == 4U);
  BOOST_TEST(this->List().size() == 1U);

  this->link->Perform(TrimJournal{kJournal, 5});
  BOOST_TEST(this->StoredBatches(1));
  const auto batches = this->Read(kJournal);
  BOOST_REQUIRE(batches.size() == 1U);
  BOOST_TEST(batches[0].sequence == 5U);
  BOOST_TEST(batches[0].records.empty());
  BOOST_TEST(this->List().empty());
  BOOST_TEST(Eventually(
      [&] { return this->platform.Values(kJournalPrefix).size() == 2U; }));
}

// A review is accepted by a process that was paused, and never runs. Its
// journal had been adopted and trimmed meanwhile; with the adopted record gone,
// its append found no one in its place and was taken for good.
BOOST_AUTO_TEST_CASE(a_trim_leaves_the_fence_of_an_adoption) {
  this->Store(kJournal, 1, Cancelled());
  this->Store(kJournal, 2, AdoptedRecord{ProcessId("p2"), 5});
  this->Store(kJournal, 3, Cancelled());
  this->Store(kJournal, 4, Cancelled());
  this->link->Perform(TrimJournal{kJournal, 4});
  BOOST_TEST(this->StoredBatches(2));
  this->link->Perform(
      AppendJournal{{kJournal, 2, 77, {JournalRecord(Cancelled())}}});
  BOOST_TEST(this->events.Take<JournalFenced>().has_value());
}

// A review runs twice: a copy of its acceptance that was delayed on the network
// arrives after its batch was trimmed, creates the batch again, and an adopter
// reads it as new work.
BOOST_AUTO_TEST_CASE(a_batch_that_comes_back_after_its_trim_holds_nothing) {
  this->Store(kJournal, 1, Cancelled());
  this->Store(kJournal, 2, Cancelled());
  this->link->Perform(TrimJournal{kJournal, 1});
  BOOST_REQUIRE(this->StoredBatches(1));
  AcceptedRecord late;
  late.request.id = RequestId("p1.a.1");
  this->Store(kJournal, 1, late);
  const auto batches = this->Read(kJournal);
  BOOST_REQUIRE(batches.size() == 2U);
  BOOST_TEST(batches[0].records.empty());
  BOOST_TEST(batches[1].records.size() == 1U);
}

// An adopter that skipped what it can't read would lose work in silence.
BOOST_AUTO_TEST_CASE(a_batch_that_can_not_be_read_ends_without_an_event) {
  this->Store(kJournal, 1, Cancelled());
  this->platform.Put(platform_detail::JournalKey(kJournal, 2), "\xff\xff\xff");
  this->link->Perform(ReadJournal{kJournal});
  this->link->Perform(ListJournals{});
  BOOST_TEST(this->events.Take<JournalsListed>().has_value());
  BOOST_TEST(this->events.Count<JournalRead>() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
