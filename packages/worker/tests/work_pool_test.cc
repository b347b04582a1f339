#include "work_pool.h"

#include <pthread.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace mustardproxy::worker_detail {
namespace {

/// Holds jobs until it is opened.
class Gate {
 public:
  void Open() {
    const std::lock_guard lock(this->mutex);
    this->open = true;
    this->changed.notify_all();
  }
  void Pass() {
    std::unique_lock lock(this->mutex);
    ++this->waiting;
    this->changed.notify_all();
    this->changed.wait(lock, [this] { return this->open; });
  }
  void AwaitWaiting(int count) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->waiting >= count; });
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  bool open = false;
  int waiting = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(work_pool)

// An entry process takes more processor time than it should. The tools show it
// by thread, and all of them bear the name of the thread that made them.
BOOST_AUTO_TEST_CASE(threads_bear_the_name_of_their_pool) {
  constexpr std::size_t kRoom = 16;
  std::array<char, kRoom> seen{};
  WorkPool pool("starts", 1, 10);
  BOOST_REQUIRE(pool.Submit([&seen] {
    pthread_getname_np(pthread_self(), seen.data(), seen.size());
  }));
  pool.Stop();
  BOOST_TEST(std::string(seen.data()) == "worker-starts");
}

BOOST_AUTO_TEST_CASE(jobs_past_the_queue_are_refused) {
  Gate gate;
  WorkPool pool("test", 1, 2);
  BOOST_TEST(pool.Submit([&] { gate.Pass(); }));
  gate.AwaitWaiting(1);
  BOOST_TEST(pool.Submit([] {}));
  BOOST_TEST(pool.Submit([] {}));
  BOOST_TEST(!pool.Submit([] {}));
  gate.Open();
}

BOOST_AUTO_TEST_CASE(jobs_run_side_by_side_up_to_the_bound) {
  constexpr int kThreads = 4;
  Gate gate;
  WorkPool pool("test", kThreads, 100);
  for (int i = 0; i < kThreads; ++i) {
    BOOST_TEST(pool.Submit([&] { gate.Pass(); }));
  }
  gate.AwaitWaiting(kThreads);
  gate.Open();
}

BOOST_AUTO_TEST_CASE(jobs_that_finish_earlier_ones_go_first) {
  Gate gate;
  std::vector<int> order;
  WorkPool pool("test", 1, 10);
  BOOST_TEST(pool.Submit([&] { gate.Pass(); }));
  gate.AwaitWaiting(1);
  BOOST_TEST(pool.Submit([&] { order.push_back(2); }));
  pool.SubmitFirst([&] { order.push_back(1); });
  gate.Open();
  pool.Stop();
  BOOST_TEST((order == std::vector<int>{1, 2}));
}

BOOST_AUTO_TEST_CASE(a_stop_runs_what_is_queued) {
  constexpr int kJobs = 50;
  std::atomic<int> ran = 0;
  WorkPool pool("test", 2, kJobs);
  for (int i = 0; i < kJobs; ++i) BOOST_TEST(pool.Submit([&] { ++ran; }));
  pool.Stop();
  BOOST_TEST(ran == kJobs);
  BOOST_TEST(!pool.Submit([] {}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::worker_detail
