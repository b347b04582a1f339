#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "mustardproxy/core/journal.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::AcceptedRecord;
using mustardproxy::Actions;
using mustardproxy::AppendJournal;
using mustardproxy::FinishedRecord;
using mustardproxy::Instant;
using mustardproxy::Journal;
using mustardproxy::JournalId;
using mustardproxy::JournalOptions;
using mustardproxy::RequestId;

constexpr Instant kStart{1s};

AcceptedRecord Accepted(std::size_t body_bytes) {
  AcceptedRecord record;
  record.request.id = RequestId("p1.a.1");
  record.request.body = std::make_shared<const std::string>(body_bytes, 'x');
  return record;
}

Journal MakeJournal(JournalOptions options = {}) {
  return {JournalId("p1.a"), 1, options, 7};
}

const AppendJournal& OnlyAppend(const Actions& actions) {
  BOOST_REQUIRE(actions.size() == 1U);
  return std::get<AppendJournal>(actions.front());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(journal_pacing)

BOOST_AUTO_TEST_CASE(a_record_is_sent_immediately_at_low_load) {
  Journal journal = MakeJournal();
  BOOST_TEST(journal.Append(Accepted(10)) == 1U);
  BOOST_TEST((journal.NextWakeup() <= kStart));
  Actions actions;
  journal.Tick(kStart, &actions);
  BOOST_TEST(OnlyAppend(actions).batch.sequence == 1U);
  BOOST_TEST(journal.OnAppended(kStart, 1).size() == 1U);
  BOOST_TEST(journal.Idle());
  BOOST_TEST(journal.LastSequence() == 1U);
}

BOOST_AUTO_TEST_CASE(records_are_batched_while_an_append_is_in_flight) {
  Journal journal = MakeJournal();
  Actions actions;
  BOOST_TEST(journal.Append(Accepted(10)) == 1U);
  journal.Tick(kStart, &actions);
  BOOST_TEST(journal.Append(Accepted(10)) == 2U);
  BOOST_TEST(journal.Append(Accepted(10)) == 3U);
  journal.Tick(kStart + 1s, &actions);
  BOOST_TEST(OnlyAppend(actions).batch.records.size() == 1U);
  BOOST_TEST((journal.NextWakeup() == Instant::max()));
  BOOST_TEST((journal.OldestPending(kStart + 1s) == 1s));

  BOOST_TEST(!journal.OnAppended(kStart + 1s, 1).empty());
  actions.clear();
  journal.Tick(kStart + 1s, &actions);
  BOOST_TEST(OnlyAppend(actions).batch.sequence == 2U);
  BOOST_TEST(OnlyAppend(actions).batch.records.size() == 2U);
  const auto durable = journal.OnAppended(kStart + 2s, 2);
  BOOST_TEST(durable == (std::vector<std::uint64_t>{2, 3}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(appends_stay_within_the_rate) {
  JournalOptions options;
  options.appends_per_second = 20;
  options.burst = 5;
  Journal journal = MakeJournal(options);
  std::uint64_t sent = 0;
  // Ten seconds with one record and an immediate reply in every millisecond.
  for (Instant now = kStart; now < kStart + 10s; now += 1ms) {
    BOOST_TEST_REQUIRE(journal.Append(Accepted(10)) != 0U);
    Actions actions;
    journal.Tick(now, &actions);
    if (!actions.empty()) {
      BOOST_TEST(!journal.OnAppended(now, ++sent).empty());
    }
  }
  BOOST_TEST(sent == 204U);
}

BOOST_AUTO_TEST_CASE(the_wakeup_is_when_the_next_token_is_available) {
  JournalOptions options;
  options.appends_per_second = 3;
  options.burst = 1;
  Journal journal = MakeJournal(options);
  Actions actions;
  BOOST_TEST(journal.Append(Accepted(10)) == 1U);
  journal.Tick(kStart, &actions);
  BOOST_TEST(!journal.OnAppended(kStart, 1).empty());
  BOOST_TEST(journal.Append(Accepted(10)) == 2U);
  const Instant due = journal.NextWakeup();
  BOOST_TEST((due > kStart));
  actions.clear();
  journal.Tick(due - 1us, &actions);
  BOOST_TEST(actions.empty());
  journal.Tick(due, &actions);
  BOOST_TEST(OnlyAppend(actions).batch.sequence == 2U);
}

BOOST_AUTO_TEST_CASE(a_batch_respects_both_limits) {
  JournalOptions options;
  options.max_batch_bytes = 3000;
  options.max_batch_records = 4;
  Journal journal = MakeJournal(options);
  BOOST_TEST(journal.Append(Accepted(1000)) == 1U);
  BOOST_TEST(journal.Append(Accepted(1000)) == 2U);
  BOOST_TEST(journal.Append(Accepted(1000)) == 3U);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(journal.Append(Accepted(10)) != 0U);
  }
  std::vector<std::size_t> sizes;
  for (std::uint64_t sequence = 1; !journal.Idle(); ++sequence) {
    Actions actions;
    journal.Tick(kStart, &actions);
    sizes.push_back(OnlyAppend(actions).batch.records.size());
    BOOST_TEST(!journal.OnAppended(kStart, sequence).empty());
  }
  BOOST_TEST(sizes == (std::vector<std::size_t>{2, 4, 1}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_record_larger_than_a_batch_is_refused) {
  JournalOptions options;
  options.max_batch_bytes = 3000;
  Journal journal = MakeJournal(options);
  BOOST_TEST(journal.Append(Accepted(3000)) == 0U);
  BOOST_TEST(journal.Idle());
}

// During an outage of the platform nothing is appended. New work must be
// refused at the limit, but the end of work accepted earlier must still be
// stored; otherwise its result would be lost.
BOOST_AUTO_TEST_CASE(the_bound_on_pending_bytes_refuses_new_work_first) {
  JournalOptions options;
  options.max_pending_bytes = 4000;
  Journal journal = MakeJournal(options);
  Actions actions;
  BOOST_TEST(journal.Append(Accepted(3000)) == 1U);
  journal.Tick(kStart, &actions);
  BOOST_TEST(journal.Append(Accepted(3000)) == 0U);
  int finished = 0;
  while (journal.Append(FinishedRecord{}) != 0U) {
    ++finished;
    BOOST_TEST_REQUIRE(finished < 1000);
  }
  BOOST_TEST(finished > 10);
  BOOST_TEST(!journal.OnAppended(kStart, 1).empty());
  BOOST_TEST(journal.Append(FinishedRecord{}) != 0U);
}

BOOST_AUTO_TEST_SUITE_END()
