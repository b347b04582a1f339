#include "write_gate.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using Answer = WriteGate::Answer;

struct Fixture {
  static Instant At(int ms) { return Instant() + milliseconds(ms); }
  void Answered(int sent, int now) {
    this->gate.OnSent(At(sent));
    this->gate.OnAnswered(At(sent), At(now));
  }
  bool Is(int now, Answer answer) const {
    return this->gate.At(At(now)) == answer;
  }

  WriteGate gate;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(write_gate, Fixture)

BOOST_AUTO_TEST_CASE(writes_are_sent_while_the_store_answers) {
  BOOST_TEST(Is(0, Answer::kSend));
  Answered(1000, 1004);
  gate.OnSent(At(1010));
  BOOST_TEST(Is(1050, Answer::kSend));
}

// The store stops responding. Writes after the first overdue one are held, and
// are rejected once the store has not responded for the time of a lease
// renewal.
BOOST_AUTO_TEST_CASE(overdue_write_holds_later_writes) {
  Answered(1000, 1004);
  gate.OnSent(At(1010));
  BOOST_TEST(Is(1111, Answer::kHold));
  BOOST_TEST(Is(1509, Answer::kHold));
  BOOST_TEST(Is(1511, Answer::kRefuse));
  gate.NoteAlive(At(1500));
  BOOST_TEST(Is(1512, Answer::kSend));
}

// A response is lost although the store works, and a later write is answered.
BOOST_AUTO_TEST_CASE(lost_answer_holds_writes_only_briefly) {
  gate.OnSent(At(1000));
  Answered(1050, 1054);
  BOOST_TEST(Is(1200, Answer::kSend));
  gate.OnUnanswered(At(1000), At(2000));
  BOOST_TEST(Is(2001, Answer::kHold));
  gate.NoteAlive(At(2100));
  BOOST_TEST(Is(2104, Answer::kSend));
}

// A store that responds after 0.4 s is slow but responsive.
BOOST_AUTO_TEST_CASE(overdue_time_follows_answer_latency) {
  Answered(1000, 1400);
  gate.OnSent(At(1500));
  BOOST_TEST(Is(2600, Answer::kSend));
  BOOST_TEST(Is(2701, Answer::kHold));
  gate.OnAnswered(At(1500), At(2710));
  constexpr int kAnswers = 60;
  for (int i = 0; i < kAnswers; ++i) Answered(3000 + 10 * i, 3004 + 10 * i);
  gate.OnSent(At(5000));
  BOOST_TEST(Is(5101, Answer::kHold));
}

// Connections are reset during writes.
BOOST_AUTO_TEST_CASE(interrupted_write_holds_later_writes) {
  gate.OnSent(At(1000));
  gate.OnUnanswered(At(1000), At(1001));
  BOOST_TEST(Is(1002, Answer::kHold));
  gate.NoteAlive(At(900));
  BOOST_TEST(Is(1003, Answer::kHold));
  gate.NoteAlive(At(1200));
  BOOST_TEST(Is(1204, Answer::kSend));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
