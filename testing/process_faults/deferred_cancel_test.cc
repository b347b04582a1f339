#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "deferred_fixture.h"

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kWorks = 32;
constexpr std::size_t kThreads = 8;

/// One accepted piece of work and what its cancellation was answered.
struct Cancelled {
  AcceptedWork work;
  /// The caller lets it run.
  bool kept = false;
  std::string answer = {};
  std::int64_t answered_ms = 0;

  [[nodiscard]] bool Says(const std::string& text) const {
    return this->answer.find(text) != std::string::npos;
  }
};

std::vector<Cancelled> AcceptAll(const Cell& cell) {
  std::vector<Cancelled> all;
  all.reserve(kWorks);
  for (std::size_t i = 0; i < kWorks; ++i) {
    const char* service = i % 2 == 0 ? "review" : "detainee";
    std::string entry = cell.Entries()[i / 2 % 2];
    all.push_back({.work = Accept(cell, entry, service, milliseconds(1000)),
                   .kept = i % 4 == 3});
  }
  return all;
}

void CancelOne(const Cell& cell, const std::string& entry, Cancelled* item) {
  auto reply = cell::SendOnce(cell.Url(entry),
                              {.method = "DELETE",
                               .path = "/v1/requests/" + item->work.id,
                               .body = "",
                               .headers = {}},
                              std::chrono::seconds(30));
  item->answered_ms = NowMs();
  if (reply && reply->status == kOk) item->answer = reply->body;
}

/// Cancels all but the kept ones from several threads, at either entry process.
void CancelAll(const Cell& cell, std::vector<Cancelled>* all) {
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::size_t first = 0; first < kThreads; ++first) {
    threads.emplace_back([&cell, all, first] {
      for (std::size_t i = first; i < all->size(); i += kThreads) {
        Cancelled* item = &(*all)[i];
        if (!item->kept) CancelOne(cell, cell.Entries()[i / 8 % 2], item);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
}

/// @return the state that both entry processes tell in the end, or empty
std::string FinalState(const Cell& cell, const std::string& id) {
  std::string state;
  bool ended = WaitUntil([&] {
    state = StateOf(cell, "entry-1-1", id);
    return !state.empty() && state != "queued" && state != "running" &&
           StateOf(cell, "entry-1-2", id) == state;
  });
  return ended ? state : std::string();
}

/// What was called not run never started; what was cancelled starts no more.
void JudgeCancelled(const WorkerLogs& logs, const Cancelled& item,
                    const std::string& state) {
  std::vector<LogLine> starts = logs.StartLines(item.work.body);
  BOOST_TEST(!item.answer.empty());
  BOOST_TEST(starts.size() <= 1U);
  if (item.Says(R"("state":"cancelled")")) {
    BOOST_TEST(state == "cancelled");
    for (const LogLine& start : starts) {
      BOOST_TEST(start.at_ms <= item.answered_ms);
    }
    bool not_run = item.Says(R"("ran":false)");
    BOOST_TEST((not_run || item.Says(R"("ran":true)")));
    if (not_run) BOOST_TEST(starts.empty());
  }
  if (state == "finished") {
    BOOST_TEST(starts.size() == 1U);
    BOOST_TEST(Ends(logs, item.work.id, "finished") == 1);
  }
}

/// What the cancellations were answered.
struct Tally {
  std::int64_t not_run = 0;
  std::int64_t ran = 0;
  std::int64_t not_cancelled = 0;

  void Add(const Cancelled& item) {
    bool cancelled = item.Says(R"("state":"cancelled")");
    if (!cancelled) ++this->not_cancelled;
    if (cancelled) ++(item.Says(R"("ran":true)") ? this->ran : this->not_run);
  }
};

void JudgeKept(const Cell& cell, const WorkerLogs& logs, const Cancelled& item,
               const std::string& state) {
  BOOST_TEST(state == "finished");
  BOOST_TEST(logs.Starts(item.work.body) == 1);
  for (const std::string& entry : cell.Entries()) {
    BOOST_TEST(ResultAt(cell, entry, item.work.id) == item.work.body);
  }
}

/// Waits for all ends and compares them with the answers and the logs.
Tally JudgeWave(const Cell& cell, const std::vector<Cancelled>& all) {
  std::vector<std::string> states;
  states.reserve(all.size());
  for (const Cancelled& item : all) {
    states.push_back(FinalState(cell, item.work.id));
  }
  WorkerLogs logs = ReadLogs(cell);
  Tally tally;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const Cancelled& item = all[i];
    BOOST_TEST_CONTEXT(item.work.id << " ended " << states[i] << ", answer "
                                    << item.answer) {
      if (item.kept) {
        JudgeKept(cell, logs, item, states[i]);
      } else {
        JudgeCancelled(logs, item, states[i]);
        tally.Add(item);
      }
    }
  }
  BOOST_TEST_MESSAGE("cancelled: not run " << tally.not_run << ", ran "
                                           << tally.ran << "; not cancelled "
                                           << tally.not_cancelled);
  BOOST_TEST(logs.Count("overcommit-refused") == 0);
  return tally;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(deferred_cancel)

// Story: a batch was sent by mistake and its owners cancel most of it at once,
// while some of it runs, some is being started and the rest waits. Each answer
// says whether it ran. What was told as not run must never run afterwards, and
// the work that was not cancelled must finish once, on workers that are free
// again at once.
BOOST_AUTO_TEST_CASE(a_wave_of_cancellations_spares_the_rest) {
  Cell cell(TwoEntries(2, 2));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::vector<Cancelled> all = AcceptAll(cell);
  BOOST_REQUIRE(WaitUntil([&] { return ReadLogs(cell).Count("start") >= 4; }));
  CancelAll(cell, &all);
  Tally tally = JudgeWave(cell, all);
  BOOST_TEST(tally.not_run > 0);
  BOOST_TEST(tally.ran > 0);
}

// Story: the same wave while the platform is slow. Most cancellations meet work
// whose start is being recorded, or are themselves not yet durable when their
// callers' patience ends. An answer that comes too early must not say
// "cancelled" of work that starts later.
BOOST_AUTO_TEST_CASE(a_wave_over_a_slow_platform_is_answered_truly) {
  Cell cell(TwoEntries(2, 2));
  BOOST_REQUIRE_MESSAGE(cell.Start(), cell.Trouble());
  std::vector<Cancelled> all = AcceptAll(cell);
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 500})"));
  CancelAll(cell, &all);
  BOOST_REQUIRE(cell.Switch("platform", R"({"delay_ms": 0})"));
  Tally tally = JudgeWave(cell, all);
  BOOST_TEST(tally.not_run > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::process_faults
