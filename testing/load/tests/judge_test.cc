#include "load/judge.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::load {
namespace {

SentRequest Sent(Kind kind, const std::string& id, Fate fate) {
  SentRequest request;
  request.kind = kind;
  request.request_id = id;
  request.fate = fate;
  return request;
}

TaskRun Ran(const std::string& request, const std::string& service,
            const std::string& task = "/0/1", std::int64_t start = 0,
            std::optional<std::int64_t> end = 10) {
  return {.worker = "w",
          .task = request + task,
          .request = request,
          .service = service,
          .start_ms = start,
          .end_ms = end};
}

Judgement JudgeOne(const std::vector<SentRequest>& requests,
                   const std::vector<TaskRun>& runs) {
  WorkerLog log;
  log.runs = runs;
  return Judge(requests, std::vector<WorkerLog>{log});
}

BOOST_AUTO_TEST_SUITE(judge)

BOOST_AUTO_TEST_CASE(each_fate_is_counted_once) {
  Judgement judgement = JudgeOne({Sent(Kind::kUrgent, "a", Fate::kCompleted),
                                  Sent(Kind::kUrgent, "b", Fate::kNotRun),
                                  Sent(Kind::kUrgent, "c", Fate::kUnknown),
                                  Sent(Kind::kReview, "d", Fate::kCompleted)},
                                 {Ran("a", "screen"), Ran("d", "review")});
  BOOST_TEST(Summary("demo", judgement) ==
             "demo: 4 sent, 2 completed, 1 not run, 1 unknown, 0 lost, "
             "0 doubled");
  BOOST_TEST(judgement.Clean());
}

BOOST_AUTO_TEST_CASE(completed_without_a_run_is_lost) {
  Judgement judgement =
      JudgeOne({Sent(Kind::kUrgent, "a", Fate::kCompleted)}, {});
  BOOST_TEST(judgement.lost == 1);
  BOOST_TEST(!judgement.Clean());
}

BOOST_AUTO_TEST_CASE(accepted_work_that_never_ends_is_lost) {
  Judgement judgement = JudgeOne({Sent(Kind::kReview, "a", Fate::kUnfinished)},
                                 {Ran("a", "review")});
  BOOST_TEST(judgement.lost == 1);
}

BOOST_AUTO_TEST_CASE(wrong_answer_is_lost) {
  SentRequest crossed = Sent(Kind::kUrgent, "a", Fate::kCompleted);
  crossed.wrong_answer = true;
  BOOST_TEST(JudgeOne({crossed}, {Ran("a", "screen")}).lost == 1);
}

BOOST_AUTO_TEST_CASE(part_of_a_gang_is_lost) {
  Judgement judgement =
      JudgeOne({Sent(Kind::kGang, "a", Fate::kCompleted)},
               {Ran("a", "match", "/0/1"), Ran("a", "match", "/1/1"),
                Ran("a", "match", "/2/1")});
  BOOST_TEST(judgement.lost == 1);
}

BOOST_AUTO_TEST_CASE(not_run_that_ran_is_doubled) {
  BOOST_TEST(
      JudgeOne({Sent(Kind::kUrgent, "a", Fate::kNotRun)}, {Ran("a", "screen")})
          .doubled == 1);
}

BOOST_AUTO_TEST_CASE(second_run_of_a_booking_is_doubled) {
  // Even one after the other, and even when the caller heard nothing.
  BOOST_TEST(JudgeOne({Sent(Kind::kBooking, "a", Fate::kUnknown)},
                      {Ran("a", "booking", "/0/1", 0, 10),
                       Ran("a", "booking", "/0/2", 20, 30)})
                 .doubled == 1);
  BOOST_TEST(JudgeOne({}, {Ran("x", "detainee", "/0/1", 0, 10),
                           Ran("x", "detainee", "/0/2", 20, 30)})
                 .doubled == 1);
}

BOOST_AUTO_TEST_CASE(retry_of_idempotent_work_is_fine_unless_it_overlaps) {
  std::vector<SentRequest> sent = {Sent(Kind::kUrgent, "a", Fate::kCompleted)};
  BOOST_TEST(JudgeOne(sent, {Ran("a", "screen", "/0/1", 0, 10),
                             Ran("a", "screen", "/0/2", 10, 20)})
                 .Clean());
  BOOST_TEST(JudgeOne(sent, {Ran("a", "screen", "/0/1", 0, 10),
                             Ran("a", "screen", "/0/2", 9, 20)})
                 .doubled == 1);
  BOOST_TEST(JudgeOne(sent, {Ran("a", "screen", "/0/1", 0, std::nullopt),
                             Ran("a", "screen", "/0/2", 50, 60)})
                 .doubled == 1);
}

BOOST_AUTO_TEST_CASE(tasks_of_a_gang_overlap_rightly) {
  BOOST_TEST(JudgeOne({Sent(Kind::kGang, "a", Fate::kCompleted)},
                      {Ran("a", "match", "/0/1"), Ran("a", "match", "/1/1"),
                       Ran("a", "match", "/2/1"), Ran("a", "match", "/3/1")})
                 .Clean());
}

BOOST_AUTO_TEST_CASE(key_is_judged_over_all_its_requests) {
  SentRequest first = Sent(Kind::kKeyedBooking, "a", Fate::kCompleted);
  SentRequest repeat = Sent(Kind::kKeyedBooking, "b", Fate::kCompleted);
  first.key = "k";
  repeat.key = "k";
  BOOST_TEST(JudgeOne({first, repeat}, {Ran("a", "booking")}).Clean());
  BOOST_TEST(JudgeOne({first, repeat}, {}).lost == 1);
  BOOST_TEST(
      JudgeOne({first, repeat}, {Ran("a", "booking"), Ran("b", "booking")})
          .doubled == 1);
}

BOOST_AUTO_TEST_CASE(missing_log_is_no_clean_judgement) {
  std::vector<WorkerLog> logs = {ParseWorkerLog("w", "")};
  BOOST_TEST(!Judge({}, logs).Clean());
  logs = {ParseWorkerLog("w", R"([{"event":"overflow"}])")};
  BOOST_TEST(!Judge({}, logs).Clean());
}

BOOST_AUTO_TEST_CASE(log_entries_become_runs) {
  WorkerLog log = ParseWorkerLog("w", R"([
    {"event":"start","task":"a/0/1","request":"a","service":"s","at_ms":5},
    {"event":"refused","task":"b/0/1","request":"b","service":"s","at_ms":6},
    {"event":"overcommit-refused","task":"c/0/1","request":"c","at_ms":6},
    {"event":"start","task":"d/0/1","request":"d","service":"s","at_ms":7},
    {"event":"end","task":"a/0/1","request":"a","service":"s","at_ms":9}])");
  BOOST_TEST(!log.incomplete);
  BOOST_TEST(log.overcommit_refused == 1);
  BOOST_REQUIRE(log.runs.size() == 2U);
  BOOST_TEST(log.runs[0].request == "a");
  BOOST_TEST(log.runs[0].end_ms.value() == 9);
  BOOST_TEST(!log.runs[1].end_ms.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::load
