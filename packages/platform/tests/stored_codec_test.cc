#include "stored_codec.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "mustardproxy/core/error.h"
#include "mustardproxy/core/journal.h"
#include "mustardproxy/platform/key_value_client.h"

namespace {

using mustardproxy::AcceptedRecord;
using mustardproxy::Actions;
using mustardproxy::AdoptedRecord;
using mustardproxy::AppendJournal;
using mustardproxy::Body;
using mustardproxy::CancelledRecord;
using mustardproxy::DeferredState;
using mustardproxy::Error;
using mustardproxy::FinishedRecord;
using mustardproxy::HandedOverRecord;
using mustardproxy::Instant;
using mustardproxy::Journal;
using mustardproxy::JournalBatch;
using mustardproxy::JournalId;
using mustardproxy::JournalOptions;
using mustardproxy::kMaxValueBytes;
using mustardproxy::make_error_code;
using mustardproxy::Outcome;
using mustardproxy::ProcessId;
using mustardproxy::RequestId;
using mustardproxy::ServiceId;
using mustardproxy::StartedRecord;
using mustardproxy::TaskId;
using mustardproxy::TeamId;
using mustardproxy::View;
using mustardproxy::WorkerId;
namespace platform_detail = mustardproxy::platform_detail;

Body Bytes(std::string bytes) {
  return std::make_shared<const std::string>(std::move(bytes));
}

AcceptedRecord Accepted(std::size_t body_bytes) {
  AcceptedRecord record;
  record.request.id = RequestId("p1.a.1");
  record.request.service = ServiceId("review");
  record.request.team = TeamId("addis");
  record.request.idempotency_key = "key \xff";
  record.request.timeout = std::chrono::seconds(7);
  record.request.body = Bytes(std::string(body_bytes, '\0'));
  record.request.hops = 1;
  record.request.origin = ProcessId("p2");
  return record;
}

FinishedRecord Finished() {
  FinishedRecord record{RequestId("p1.a.1"), DeferredState::kFailed, {}};
  record.answer = {Outcome::kCompleted,
                   502,
                   "text/\xff",
                   Bytes("result"),
                   make_error_code(Error::kTaskFailed),
                   "detail",
                   std::chrono::seconds(3)};
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stored_codec)

BOOST_AUTO_TEST_CASE(each_kind_of_record_survives) {
  JournalBatch batch;
  batch.batch_id = 0xfedcba9876543210;
  batch.records = {Accepted(3),
                   StartedRecord{RequestId("p1.a.1"), TaskId("p1.a.1/0/2"),
                                 WorkerId("w1"), 9, 2, 0xfffffffffffffffe},
                   Finished(),
                   CancelledRecord{RequestId("p1.a.2"), true},
                   HandedOverRecord{},
                   AdoptedRecord{ProcessId("p3"), 0xffffffffffffffff}};
  const auto read =
      platform_detail::DecodeBatch(platform_detail::EncodeBatch(batch));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->batch_id == batch.batch_id);
  BOOST_REQUIRE(read->records.size() == 6U);
  const auto& request = std::get<AcceptedRecord>(read->records[0]).request;
  BOOST_TEST(request.id == RequestId("p1.a.1"));
  BOOST_TEST(request.service == ServiceId("review"));
  BOOST_TEST(request.team == TeamId("addis"));
  BOOST_TEST(request.idempotency_key == "key \xff");
  BOOST_TEST((request.timeout == std::chrono::seconds(7)));
  BOOST_TEST(View(request.body) == std::string(3, '\0'));
  BOOST_TEST(request.hops == 1);
  BOOST_TEST(request.origin == ProcessId("p2"));
  const auto& started = std::get<StartedRecord>(read->records[1]);
  BOOST_TEST(started.task == TaskId("p1.a.1/0/2"));
  BOOST_TEST(started.worker == WorkerId("w1"));
  BOOST_TEST(started.epoch == 9U);
  BOOST_TEST(started.attempt == 2);
  BOOST_TEST(started.worker_incarnation == 0xfffffffffffffffeU);
  const auto& finished = std::get<FinishedRecord>(read->records[2]);
  BOOST_TEST((finished.state == DeferredState::kFailed));
  BOOST_TEST((finished.answer.outcome == Outcome::kCompleted));
  BOOST_TEST(finished.answer.status == 502);
  BOOST_TEST(finished.answer.content_type == "text/\xff");
  BOOST_TEST(View(finished.answer.body) == "result");
  BOOST_TEST((finished.answer.error == Error::kTaskFailed));
  BOOST_TEST(finished.answer.detail == "detail");
  BOOST_TEST((finished.answer.retry_after == std::chrono::seconds(3)));
  BOOST_TEST(std::get<CancelledRecord>(read->records[3]).ran);
  BOOST_TEST(std::holds_alternative<HandedOverRecord>(read->records[4]));
  const auto& adopted = std::get<AdoptedRecord>(read->records[5]);
  BOOST_TEST(adopted.by == ProcessId("p3"));
  BOOST_TEST(adopted.incarnation == 0xffffffffffffffffU);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_batch_are_told) {
  BOOST_TEST(!platform_detail::DecodeBatch("\xff\xff\xff").has_value());
  JournalBatch batch;
  batch.records = {Accepted(100)};
  const std::string bytes = platform_detail::EncodeBatch(batch);
  const std::string_view cut(bytes.data(), bytes.size() - 1);
  BOOST_TEST(!platform_detail::DecodeBatch(cut).has_value());
  BOOST_TEST(!platform_detail::DecodeBucket("\xff\xff\xff").has_value());
}

BOOST_AUTO_TEST_CASE(a_claim_survives_with_and_without_an_answer) {
  const platform_detail::ClaimBucket bucket = {
      {"k1", {RequestId("p1.a.1"), 0xffffffffffffffff, std::nullopt}},
      {"k2", {RequestId("p1.a.2"), 5, Finished().answer}}};
  const auto read =
      platform_detail::DecodeBucket(platform_detail::EncodeBucket(bucket));
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->size() == 2U);
  BOOST_TEST((*read)[0].key == "k1");
  BOOST_TEST((*read)[0].claim.request == RequestId("p1.a.1"));
  BOOST_TEST((*read)[0].claim.body_hash == 0xffffffffffffffffU);
  BOOST_TEST(!(*read)[0].claim.answer.has_value());
  BOOST_REQUIRE((*read)[1].claim.answer.has_value());
  BOOST_TEST(View((*read)[1].claim.answer->body) == "result");
}

// Deferred work is accepted and never gets its 202, since the platform refuses
// the batch each time it is sent. The journal had taken the batch to be smaller
// than it is once encoded.
BOOST_AUTO_TEST_CASE(a_full_batch_of_the_journal_fits_the_platform) {
  for (const std::size_t body : {0U, 1U, 1000U, 890'000U}) {
    JournalOptions options;
    options.max_batch_records = 1'000'000;
    options.max_pending_bytes = 100'000'000;
    Journal journal(JournalId("p1.a"), 1, options, 7);
    for (int i = 0; i < 10'000; ++i) {
      if (journal.Append(Accepted(body)) == 0) {
        break;
      }
    }
    Actions actions;
    journal.Tick(Instant{}, &actions);
    BOOST_REQUIRE(actions.size() == 1U);
    const auto& batch = std::get<AppendJournal>(actions[0]).batch;
    const std::size_t size = platform_detail::EncodeBatch(batch).size();
    BOOST_TEST(size <= options.max_batch_bytes + 20);
    BOOST_TEST(size <= kMaxValueBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
