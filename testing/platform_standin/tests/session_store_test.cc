#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "key_value_store.h"

namespace mustardproxy::standin {
namespace {

using namespace std::chrono_literals;

/// A store whose clock only the test moves.
struct StoreFixture {
  void Advance(std::chrono::milliseconds by) { this->now += by; }
  /// @return true if the key is there
  bool Has(const std::string& key) { return this->store.Get(key).has_value(); }

  SessionTable::Instant now{1h};
  KeyValueStore store{[this] { return this->now; }};
};

BOOST_FIXTURE_TEST_SUITE(session_store, StoreFixture)

BOOST_AUTO_TEST_CASE(key_is_held_by_one_session_at_a_time) {
  const std::string first = this->store.CreateSession(10s);
  const std::string second = this->store.CreateSession(10s);
  BOOST_TEST(first != second);
  BOOST_TEST((this->store.Acquire("a", "1", first) == AcquireEnd::kAcquired));
  BOOST_TEST(
      (this->store.Acquire("a", "2", second) == AcquireEnd::kHeldByAnother));
  BOOST_TEST((this->store.Acquire("a", "3", first) == AcquireEnd::kAcquired));
  BOOST_TEST(
      (this->store.Acquire("b", "", "none") == AcquireEnd::kNoSuchSession));
  BOOST_TEST(this->store.Get("a")->value == "3");
  BOOST_TEST(this->store.Get("a")->session == first);
  BOOST_TEST(!this->Has("b"));
}

// A holder is paused past the time to live of its session. Its key must be
// gone for all others at that moment, another can take it, and the former
// holder can neither renew nor write as holder when it wakes up.
BOOST_AUTO_TEST_CASE(lapsed_session_loses_its_keys_and_can_not_come_back) {
  const std::string paused = this->store.CreateSession(10s);
  this->store.Acquire("a", "paused", paused);
  this->store.Put("other", "", std::nullopt);
  this->Advance(9999ms);
  BOOST_TEST(this->Has("a"));
  this->Advance(1ms);
  BOOST_TEST(!this->Has("a"));
  BOOST_TEST(this->store.List("").size() == 1U);
  const std::string next = this->store.CreateSession(10s);
  BOOST_TEST((this->store.Acquire("a", "next", next) == AcquireEnd::kAcquired));
  BOOST_TEST(!this->store.RenewSession(paused).has_value());
  BOOST_TEST(
      (this->store.Acquire("a", "late", paused) == AcquireEnd::kNoSuchSession));
  BOOST_TEST(this->store.Get("a")->value == "next");
}

BOOST_AUTO_TEST_CASE(renewal_begins_the_time_to_live_anew) {
  const std::string session = this->store.CreateSession(10s);
  this->store.Acquire("a", "", session);
  this->Advance(9s);
  BOOST_TEST((this->store.RenewSession(session) == 10s));
  this->Advance(9s);
  BOOST_TEST(this->Has("a"));
  this->Advance(1s);
  BOOST_TEST(!this->Has("a"));
}

BOOST_AUTO_TEST_CASE(destroyed_session_loses_its_keys_only) {
  const std::string gone = this->store.CreateSession(10s);
  const std::string stays = this->store.CreateSession(10s);
  this->store.Acquire("a", "", gone);
  this->store.Acquire("b", "", stays);
  this->store.DestroySession(gone);
  this->store.DestroySession("none");
  BOOST_TEST(!this->Has("a"));
  BOOST_TEST(this->Has("b"));
}

// A key of a session is deleted and then created by somebody without one. The
// lapse of the session must not take the new key away.
BOOST_AUTO_TEST_CASE(key_written_anew_is_not_held) {
  const std::string session = this->store.CreateSession(10s);
  this->store.Acquire("a", "", session);
  this->store.Remove("a");
  BOOST_TEST(this->store.Put("a", "anew", 0));
  this->Advance(10s);
  BOOST_TEST(this->Has("a"));
}

BOOST_AUTO_TEST_CASE(lapse_counts_as_a_change_of_the_key) {
  const std::string session = this->store.CreateSession(10s);
  this->store.Acquire("a", "", session);
  const std::uint64_t index = this->store.Get("a")->modify_index;
  this->Advance(10s);
  BOOST_TEST(this->store.LastIndex() > index);
  BOOST_TEST(!this->store.Wait("a", index, 60s).has_value());
  BOOST_TEST(!this->store.Put("a", "", index));
  BOOST_TEST(this->store.Put("a", "", 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::standin
