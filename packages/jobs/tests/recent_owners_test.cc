#include "recent_owners.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "keys.h"
#include "lease_times.h"
#include "withheld_lease_view.h"

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

NodeRecord MakeNode(const std::string& name) {
  NodeRecord node;
  node.name = ProcessId(name);
  node.peer_address = name;
  node.incarnation = 7;
  return node;
}

const Instant kStart = Instant() + seconds(100);

struct Fixture {
  /// A process is elected at this revision, and this one learns of it.
  void Elect(const std::string& name, Revision token, Instant at) {
    const std::string record = this->recent.EncodeNext(MakeNode(name), at);
    this->recent.NoteRecord({keys::RecentOwners(), record, token, 0}, at);
    this->recent.NoteOwner(token, at);
  }
  /// The owner removes all others from the record.
  void Forget(const std::string& name, FencingToken token, Revision revision,
              Instant at) {
    const OwnerList list{{{MakeNode(name), token}}, true};
    this->recent.NoteRecord(
        {keys::RecentOwners(), EncodeOwners(list), revision, 0}, at);
  }

  RecentOwners recent;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(recent_owners, Fixture)

BOOST_AUTO_TEST_CASE(owners_before_the_first_record_are_unknown) {
  Elect("a", 10, kStart);
  BOOST_TEST(!recent.Before(10, kStart).complete);
  Forget("a", 10, 11, kStart);
  BOOST_TEST(recent.NamesOnly(10));
  BOOST_TEST(recent.Before(10, kStart).complete);
}

BOOST_AUTO_TEST_CASE(each_owner_counts_from_its_own_replacement) {
  Elect("a", 10, kStart);
  Forget("a", 10, 11, kStart);
  Elect("b", 20, kStart + seconds(1));
  Elect("c", 30, kStart + seconds(3));
  const FormerOwners formers = recent.Before(30, kStart + seconds(9));
  BOOST_TEST(formers.complete);
  BOOST_REQUIRE(formers.owners.size() == 2U);
  BOOST_TEST(formers.owners[0].token == 10);
  BOOST_TEST((formers.owners[0].replaced_at == kStart + seconds(1)));
  BOOST_TEST(formers.owners[1].token == 20);
  BOOST_TEST((formers.owners[1].replaced_at == kStart + seconds(3)));
}

// The record holds no instants: a process that has just started counts from the
// moment at which it has read it.
BOOST_AUTO_TEST_CASE(a_process_that_has_just_started_counts_from_now) {
  Elect("a", 10, kStart);
  Forget("a", 10, 11, kStart);
  const std::string record = recent.EncodeNext(MakeNode("b"), kStart);
  RecentOwners fresh;
  fresh.NoteRecord({keys::RecentOwners(), record, 20, 0}, kStart + seconds(50));
  fresh.NoteOwner(20, kStart + seconds(50));
  const FormerOwners formers = fresh.Before(20, kStart + seconds(60));
  BOOST_REQUIRE(formers.owners.size() == 1U);
  BOOST_TEST((formers.owners[0].replaced_at == kStart + seconds(50)));
}

BOOST_AUTO_TEST_CASE(an_owner_whose_leases_have_ended_is_left_out) {
  Elect("a", 10, kStart);
  Forget("a", 10, 11, kStart);
  Elect("b", 20, kStart + seconds(1));
  Elect("c", 30, kStart + seconds(1) + MaxFormerOwnerLeaseTime());
  BOOST_TEST(recent.Before(30, kStart + seconds(60)).owners.size() == 1U);
}

// Failure: an owner of a version that does not write the record is elected, and
// its orders are taken to have ended with those of the owner before it.
BOOST_AUTO_TEST_CASE(an_owner_that_is_not_in_the_record_makes_it_incomplete) {
  Elect("a", 10, kStart);
  Forget("a", 10, 11, kStart);
  recent.NoteOwner(20, kStart + seconds(1));
  BOOST_TEST(!recent.Before(20, kStart + seconds(1)).complete);
  Elect("c", 30, kStart + seconds(2));
  BOOST_TEST(!recent.Before(30, kStart + seconds(2)).complete);
  Elect("d", 40, kStart + seconds(3));
  BOOST_TEST(!recent.Before(40, kStart + seconds(3)).complete);
}

// Failure: a listing that began before an election shows no owner, and the new
// owner counts as replaced while it acts.
BOOST_AUTO_TEST_CASE(an_old_vacancy_does_not_replace_a_newer_owner) {
  Elect("a", 10, kStart);
  Forget("a", 10, 11, kStart);
  Elect("b", 20, kStart);
  recent.NoteVacant(19, kStart + seconds(1));
  Elect("c", 30, kStart + seconds(5));
  BOOST_TEST((recent.Before(30, kStart + seconds(5)).owners[1].replaced_at ==
              kStart + seconds(5)));
}

BOOST_AUTO_TEST_CASE(a_vacancy_replaces_the_latest_owner) {
  Elect("a", 10, kStart);
  Forget("a", 10, 11, kStart);
  recent.NoteVacant(15, kStart + seconds(1));
  Elect("b", 20, kStart + seconds(5));
  BOOST_TEST((recent.Before(20, kStart + seconds(5)).owners[0].replaced_at ==
              kStart + seconds(1)));
}

// Failure: a lease that was granted again and withheld anew counts from the
// first time.
BOOST_AUTO_TEST_CASE(a_lease_withheld_anew_counts_anew) {
  const WithheldLease first{WorkerId("w"), 10, 1, seconds(4)};
  const WithheldLease second{WorkerId("w"), 10, 2, seconds(4)};
  WithheldLeaseView view;
  view.Note(EncodeWithheldLeases(std::vector{first}), kStart);
  view.Note(EncodeWithheldLeases(std::vector{first}), kStart + seconds(1));
  BOOST_TEST((view.SeenAt(first, kStart + seconds(9)) == kStart));
  view.Note(EncodeWithheldLeases(std::vector{second}), kStart + seconds(2));
  BOOST_TEST((view.SeenAt(second, kStart + seconds(9)) == kStart + seconds(2)));
  BOOST_TEST((view.SeenAt(first, kStart + seconds(9)) == kStart + seconds(9)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
