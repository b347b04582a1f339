#include <boost/test/unit_test.hpp>
#include <chrono>
#include <variant>

#include "mustardproxy/core/journal.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::Actions;
using mustardproxy::AppendJournal;
using mustardproxy::CancelledRecord;
using mustardproxy::Instant;
using mustardproxy::Journal;
using mustardproxy::JournalBatch;
using mustardproxy::JournalId;
using mustardproxy::JournalOptions;
using mustardproxy::RequestId;

constexpr Instant kStart{1s};

CancelledRecord Record(const char* request) {
  return {RequestId(request), false};
}

JournalBatch TickOne(Journal* journal, Instant now) {
  Actions actions;
  journal->Tick(now, &actions);
  BOOST_REQUIRE(actions.size() == 1U);
  return std::get<AppendJournal>(actions.front()).batch;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(journal_failures)

// Failure: an append is repeated with different contents, so a request is
// acknowledged twice or never. The reply to the first append is lost although
// the write took effect, more records arrive, and the retry finds its own
// earlier write.
BOOST_AUTO_TEST_CASE(an_uncertain_append_is_sent_again_unchanged) {
  Journal journal(JournalId("p1.a"), 1, JournalOptions{}, 7);
  BOOST_TEST(journal.Append(Record("p1.a.1")) == 1U);
  const JournalBatch first = TickOne(&journal, kStart);
  BOOST_TEST(journal.Append(Record("p1.a.2")) == 2U);
  journal.OnUncertain(kStart, 1);
  BOOST_TEST((journal.NextWakeup() == kStart + 200ms));
  Actions early;
  journal.Tick(kStart + 199ms, &early);
  BOOST_TEST(early.empty());

  const JournalBatch again = TickOne(&journal, kStart + 200ms);
  BOOST_TEST(again.sequence == first.sequence);
  BOOST_TEST(again.batch_id == first.batch_id);
  BOOST_REQUIRE(again.records.size() == 1U);
  const auto& record = std::get<CancelledRecord>(again.records.front());
  BOOST_TEST(record.request == RequestId("p1.a.1"));
  const auto durable = journal.OnAppended(kStart + 300ms, 1);
  BOOST_TEST(durable == (std::vector<std::uint64_t>{1}),
             boost::test_tools::per_element());
  BOOST_TEST(TickOne(&journal, kStart + 300ms).sequence == 2U);
}

BOOST_AUTO_TEST_CASE(each_batch_has_a_different_id) {
  Journal journal(JournalId("p1.a"), 1, JournalOptions{}, 7);
  BOOST_TEST(journal.Append(Record("p1.a.1")) == 1U);
  const JournalBatch first = TickOne(&journal, kStart);
  BOOST_TEST(!journal.OnAppended(kStart, 1).empty());
  BOOST_TEST(journal.Append(Record("p1.a.2")) == 2U);
  BOOST_TEST(TickOne(&journal, kStart).batch_id != first.batch_id);
}

// The platform is unreachable for one minute. Retries must stay within the
// rate, and the age of the oldest record must show the outage.
BOOST_AUTO_TEST_CASE(retries_in_an_outage_stay_within_the_rate) {
  JournalOptions options;
  options.appends_per_second = 2;
  options.burst = 1;
  Journal journal(JournalId("p1.a"), 1, options, 7);
  BOOST_TEST(journal.Append(Record("p1.a.1")) == 1U);
  int sent = 0;
  for (Instant now = kStart; now < kStart + 60s; now += 10ms) {
    Actions actions;
    journal.Tick(now, &actions);
    sent += static_cast<int>(actions.size());
    if (!actions.empty()) {
      journal.OnUncertain(now, 1);
    }
  }
  BOOST_TEST(sent == 120);
  BOOST_TEST((journal.OldestPending(kStart + 60s) == 60s));
}

// A journal was adopted by a peer while its owner was suspended. When the owner
// resumes, its append finds the adopter's record. It must not report pending
// records as durable, and it must accept no further records.
BOOST_AUTO_TEST_CASE(a_fenced_journal_accepts_no_records) {
  Journal journal(JournalId("p1.a"), 5, JournalOptions{}, 7);
  BOOST_TEST(journal.LastSequence() == 4U);
  BOOST_TEST(journal.Append(Record("p1.a.1")) == 1U);
  BOOST_TEST(TickOne(&journal, kStart).sequence == 5U);
  BOOST_TEST(journal.Append(Record("p1.a.2")) == 2U);
  journal.OnFenced();
  BOOST_TEST(journal.Fenced());
  BOOST_TEST(journal.Idle());
  BOOST_TEST(journal.OnAppended(kStart, 5).empty());
  BOOST_TEST(journal.Append(Record("p1.a.3")) == 0U);
  Actions actions;
  journal.Tick(kStart + 1s, &actions);
  BOOST_TEST(actions.empty());
  BOOST_TEST((journal.NextWakeup() == Instant::max()));
}

// The report of an earlier append arrives a second time. It must not mark the
// records of the batch in flight as durable.
BOOST_AUTO_TEST_CASE(a_duplicate_report_has_no_effect) {
  Journal journal(JournalId("p1.a"), 1, JournalOptions{}, 7);
  BOOST_TEST(journal.Append(Record("p1.a.1")) == 1U);
  TickOne(&journal, kStart);
  BOOST_TEST(journal.OnAppended(kStart, 1).size() == 1U);
  BOOST_TEST(journal.Append(Record("p1.a.2")) == 2U);
  TickOne(&journal, kStart);
  BOOST_TEST(journal.OnAppended(kStart, 1).empty());
  journal.OnUncertain(kStart, 1);
  BOOST_TEST((journal.NextWakeup() == Instant::max()));
  BOOST_TEST(journal.OnAppended(kStart, 2).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
