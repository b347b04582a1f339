#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "mustardproxy/core/deferred_store.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::AcceptedRecord;
using mustardproxy::AdoptedRecord;
using mustardproxy::CancelledRecord;
using mustardproxy::DeferredEntry;
using mustardproxy::DeferredState;
using mustardproxy::DeferredStore;
using mustardproxy::FinishedRecord;
using mustardproxy::Instant;
using mustardproxy::JournalBatch;
using mustardproxy::JournalId;
using mustardproxy::JournalRecord;
using mustardproxy::Outcome;
using mustardproxy::RequestId;
using mustardproxy::StartedRecord;
using mustardproxy::TaskId;
using mustardproxy::View;
using mustardproxy::WorkerId;

constexpr Instant kStart{1s};
const JournalId kJournal("p1.a");

AcceptedRecord Accepted(const char* request) {
  AcceptedRecord record;
  record.request.id = RequestId(request);
  record.request.body = std::make_shared<const std::string>("body");
  return record;
}

StartedRecord Started(const char* request, int task, int attempt) {
  const std::string name = std::string(request) + "/" + std::to_string(task) +
                           "/" + std::to_string(attempt);
  return {RequestId(request), TaskId(name), WorkerId("w1"), 3, attempt};
}

FinishedRecord Finished(const char* request) {
  FinishedRecord record{RequestId(request), DeferredState::kFinished, {}};
  record.answer.outcome = Outcome::kCompleted;
  record.answer.body = std::make_shared<const std::string>("result");
  return record;
}

std::vector<JournalBatch> Batches(std::vector<JournalRecord> records) {
  std::vector<JournalBatch> batches;
  for (JournalRecord& record : records) {
    const std::uint64_t sequence = batches.size() + 1;
    batches.push_back({kJournal, sequence, sequence, {std::move(record)}});
  }
  return batches;
}

std::vector<std::string> Names(const std::vector<DeferredEntry>& entries) {
  std::vector<std::string> names;
  names.reserve(entries.size());
  for (const DeferredEntry& entry : entries) {
    names.push_back(entry.request.id.Text());
  }
  return names;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(deferred_store_recovery)

// An entry process fails with four deferred requests in its journal, and its
// peer adopts the journal. Requests that have ended must not run again; the
// others must be found together with the workers that may be running them.
BOOST_AUTO_TEST_CASE(recovery_returns_unfinished_work_in_order_of_acceptance) {
  DeferredStore store;
  const auto batches = Batches(
      {Accepted("z"), Accepted("b"), Accepted("a"), Accepted("c"),
       Started("b", 0, 1), Finished("b"), CancelledRecord{RequestId("a"), true},
       Started("c", 0, 1), Started("c", 1, 1), AdoptedRecord{}});
  const auto left = store.Recover(kStart, kJournal, batches);
  BOOST_TEST(Names(left) == (std::vector<std::string>{"z", "c"}),
             boost::test_tools::per_element());
  BOOST_TEST(left[0].started.empty());
  BOOST_TEST(left[1].started.size() == 2U);
  BOOST_TEST((left[1].state == DeferredState::kRunning));
  BOOST_TEST((store.Find(RequestId("a"))->state == DeferredState::kCancelled));
  BOOST_TEST(store.Find(RequestId("a"))->ran);
  BOOST_TEST(View(store.Find(RequestId("b"))->result.body) == "result");
  BOOST_TEST(store.UnfinishedCount(kJournal) == 2U);
}

BOOST_AUTO_TEST_CASE(applying_records_twice_has_no_further_effect) {
  DeferredStore store;
  const auto batches =
      Batches({Accepted("a"), Accepted("b"), Started("b", 0, 1),
               Started("b", 0, 2), Finished("a")});
  store.Recover(kStart, kJournal, batches);
  const std::size_t bytes = store.Bytes();
  const auto left = store.Recover(kStart + 1s, kJournal, batches);
  BOOST_TEST(Names(left) == (std::vector<std::string>{"b"}),
             boost::test_tools::per_element());
  BOOST_TEST(left[0].attempt == 2);
  BOOST_REQUIRE(left[0].started.size() == 1U);
  BOOST_TEST(left[0].started[0].attempt == 2);
  BOOST_TEST(store.Size() == 2U);
  BOOST_TEST(store.Bytes() == bytes);
  BOOST_TEST(bytes == 10U);
  BOOST_TEST(store.UnfinishedCount(kJournal) == 1U);
  BOOST_TEST((*store.Find(RequestId("a"))->ended == kStart));
}

// Failure: a request runs a second time after its process has failed. Its end
// was pending when the owner took a snapshot, so the journal holds the end
// first and then the acceptance from the snapshot; the batch with the first
// acceptance has been trimmed.
BOOST_AUTO_TEST_CASE(an_end_recorded_before_a_snapshot_is_kept) {
  DeferredStore store;
  const auto batches =
      Batches({Finished("a"), Accepted("a"), Started("a", 0, 1)});
  BOOST_TEST(store.Recover(kStart, kJournal, batches).empty());
  BOOST_TEST((store.Find(RequestId("a"))->state == DeferredState::kFinished));
  BOOST_TEST(store.UnfinishedCount(kJournal) == 0U);
  BOOST_TEST(store.Bytes() == 6U);
}

BOOST_AUTO_TEST_CASE(the_first_recorded_end_is_kept) {
  DeferredStore store;
  store.Apply(kStart, kJournal, Accepted("a"));
  store.Apply(kStart, kJournal, CancelledRecord{RequestId("a"), false});
  store.Apply(kStart, kJournal, Finished("a"));
  const DeferredEntry* entry = store.Find(RequestId("a"));
  BOOST_REQUIRE(entry != nullptr);
  BOOST_TEST((entry->state == DeferredState::kCancelled));
  BOOST_TEST(!entry->ran);
  BOOST_TEST(store.Bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_snapshot_rebuilds_the_same_state) {
  DeferredStore store;
  store.Recover(
      kStart, kJournal,
      Batches({Accepted("b"), Accepted("a"), Accepted("c"), Started("a", 0, 2),
               Finished("b"), CancelledRecord{RequestId("c"), true}}));
  store.Apply(kStart, JournalId("other"), Accepted("d"));
  DeferredStore rebuilt;
  const auto left =
      rebuilt.Recover(kStart + 5s, kJournal, Batches(store.Snapshot(kJournal)));
  BOOST_TEST(Names(left) == (std::vector<std::string>{"a"}),
             boost::test_tools::per_element());
  BOOST_TEST(left[0].attempt == 2);
  BOOST_TEST(View(left[0].request.body) == "body");
  BOOST_TEST(View(rebuilt.Find(RequestId("b"))->result.body) == "result");
  BOOST_TEST(rebuilt.Find(RequestId("c"))->ran);
  BOOST_TEST(rebuilt.Find(RequestId("d")) == nullptr);
}

BOOST_AUTO_TEST_CASE(ended_work_is_dropped_after_its_retention) {
  DeferredStore store;
  store.Apply(kStart, kJournal, Accepted("a"));
  store.Apply(kStart, kJournal, Accepted("b"));
  store.Apply(kStart, kJournal, Accepted("c"));
  store.Apply(kStart + 1s, kJournal, Finished("b"));
  store.Apply(kStart + 2s, kJournal, Finished("a"));
  BOOST_TEST(store.Expire(kStart + 11s, 10s).empty());
  const auto expired = store.Expire(kStart + 12s, 10s);
  BOOST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired[0] == RequestId("b"));
  BOOST_TEST(store.Find(RequestId("b")) == nullptr);
  BOOST_TEST(store.Size() == 2U);
  BOOST_TEST(store.Bytes() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
