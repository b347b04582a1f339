#include "wire.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "bounds.h"

using mustardproxy::RequestId;
using mustardproxy::peer_detail::FromWire;
using mustardproxy::peer_detail::IsName;
using mustardproxy::peer_detail::kMaxBodyBytes;
using mustardproxy::peer_detail::kMaxDetailBytes;
using mustardproxy::peer_detail::kMaxJournals;
using mustardproxy::peer_detail::kMaxNameBytes;

namespace peer = mustardproxy::peer;

namespace {

const std::string kTwoLines = "a\nb";
const std::string kDataCenter = "dc1";

peer::ForwardRequest MakeForward() {
  peer::ForwardRequest message;
  message.set_id("e1.a.1");
  message.set_service("screen");
  return message;
}

peer::Answer MakeAnswer() {
  peer::Answer message;
  message.set_status(200);
  return message;
}

peer::Digest MakeDigest() {
  peer::Digest message;
  message.set_data_center(kDataCenter);
  return message;
}

bool IsTaken(peer::ForwardRequest message) {
  return FromWire(&message).has_value();
}

bool IsTaken(peer::Answer message) { return FromWire(&message).has_value(); }

bool IsTaken(const peer::Digest& message) {
  return FromWire(message, peer::Envelope()).has_value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wire)

BOOST_AUTO_TEST_CASE(names_are_short_and_without_control_characters) {
  BOOST_TEST(IsName("e1.a.1/0/1"));
  BOOST_TEST(IsName(std::string(kMaxNameBytes, 'x')));
  BOOST_TEST(!IsName(""));
  BOOST_TEST(!IsName(std::string(kMaxNameBytes + 1, 'x')));
  BOOST_TEST(!IsName("a\nb"));
  BOOST_TEST(!IsName(std::string_view("a\0b", 3)));
  BOOST_TEST(!IsName("a\x7f"));
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_not_taken) {
  BOOST_REQUIRE(IsTaken(MakeForward()));
  const auto broken = [](auto&& change) {
    peer::ForwardRequest message = MakeForward();
    change(&message);
    return !IsTaken(message);
  };
  BOOST_TEST(broken([](auto* message) { message->clear_id(); }));
  BOOST_TEST(broken([](auto* message) { message->set_id(kTwoLines); }));
  BOOST_TEST(broken([](auto* message) { message->clear_service(); }));
  BOOST_TEST(broken([](auto* message) { message->set_team(kTwoLines); }));
  BOOST_TEST(broken([](auto* message) { message->set_timeout(-1); }));
  BOOST_TEST(broken([](auto* message) { message->set_timeout(INT64_MAX); }));
  BOOST_TEST(broken([](auto* message) { message->set_hops(1000); }));
  BOOST_TEST(broken([](auto* message) {
    message->set_body(std::string(kMaxBodyBytes + 1, 'x'));
  }));
  BOOST_TEST(broken([](auto* message) {
    message->set_idempotency_key(std::string(kMaxNameBytes + 1, 'x'));
  }));
}

BOOST_AUTO_TEST_CASE(malformed_answers_are_not_taken) {
  BOOST_REQUIRE(IsTaken(MakeAnswer()));
  const auto broken = [](auto&& change) {
    peer::Answer message = MakeAnswer();
    change(&message);
    return !IsTaken(message);
  };
  BOOST_TEST(broken([](auto* message) { message->set_outcome(3); }));
  BOOST_TEST(broken([](auto* message) { message->set_status(0); }));
  BOOST_TEST(broken([](auto* message) { message->set_status(1000); }));
  BOOST_TEST(broken([](auto* message) { message->set_error(-1); }));
  BOOST_TEST(
      broken([](auto* message) { message->set_content_type(kTwoLines); }));
  BOOST_TEST(broken([](auto* message) { message->set_retry_after(-1); }));
  BOOST_TEST(broken([](auto* message) {
    message->set_detail(std::string(kMaxDetailBytes + 1, 'x'));
  }));
}

BOOST_AUTO_TEST_CASE(malformed_digests_are_not_taken) {
  BOOST_REQUIRE(IsTaken(MakeDigest()));
  const auto broken = [](auto&& change) {
    peer::Digest message = MakeDigest();
    change(&message);
    return !IsTaken(message);
  };
  BOOST_TEST(broken([](auto* message) { message->clear_data_center(); }));
  BOOST_TEST(broken([](auto* message) { message->set_queued(-1); }));
  BOOST_TEST(broken([](auto* message) { message->set_predicted_wait(-1); }));
  BOOST_TEST(broken([](auto* message) { message->add_journals(kTwoLines); }));
  BOOST_TEST(broken([](auto* message) {
    message->mutable_free()->set_cpu_milli(INT64_MAX);
  }));
  BOOST_TEST(broken([](auto* message) {
    for (std::size_t i = 0; i <= kMaxJournals; ++i)
      message->add_journals(kDataCenter);
  }));
}

BOOST_AUTO_TEST_CASE(a_malformed_status_is_an_unknown_request) {
  peer::QueryReply message;
  message.set_known(true);
  *message.mutable_result() = MakeAnswer();
  BOOST_REQUIRE(FromWire(RequestId("e1.a.1"), &message));
  message.set_state(99);
  BOOST_TEST(!FromWire(RequestId("e1.a.1"), &message));
}

BOOST_AUTO_TEST_SUITE_END()
