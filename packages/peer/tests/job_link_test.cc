#include "mustardproxy/peer/job_link.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "job_sim/immediate_executor.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/jobs/waitable_value.h"

namespace mustardproxy::testing {
namespace {

/// Answers as it is told.
class FakeHandler final : public jobs::JobPeerHandler {
 public:
  void OnJob(jobs::AnnouncedJob job) override {
    this->announced.Set(std::move(job));
  }
  void OnCancel(const jobs::JobId& job) override { this->cancelled.Set(job); }
  void OnTombstone(const jobs::StoreItem& tombstone) override {
    this->tombstone.Set(tombstone);
  }
  void OnQueryJob(const jobs::JobId& job, Done<jobs::JobAnswer> done) override {
    if (!this->owns) {
      done(make_error_code(Error::kNotOwner));
    } else if (job == jobs::JobId("known")) {
      done(jobs::JobAnswer{jobs::JobStatus{jobs::JobState::kFailed, "cause"}});
    } else {
      done(jobs::JobAnswer{});
    }
  }
  void OnQueryPending(const jobs::QueueName& /*queue*/,
                      Done<std::int64_t> done) override {
    done(12);
  }
  void OnCreate(jobs::CreateRequest request,
                Done<jobs::CreateOutcome> done) override {
    done(request.key == "taken" ? jobs::CreateOutcome::kExists
                                : jobs::CreateOutcome::kNotDone);
  }
  void OnAsk(jobs::AdviceQuestion question, Done<jobs::Advice> done) override {
    jobs::Advice advice;
    advice.validity = std::chrono::seconds(2);
    for (const WorkerId& worker : question.workers) {
      advice.permitted.push_back({worker, jobs::Text(question.step)});
    }
    done(advice);
  }
  void OnRelay(jobs::RelayBatch batch, Done<jobs::RelayAck> done) override {
    if (batch.relay == 0) {
      done(make_error_code(Error::kPeerLost));
      return;
    }
    this->relayed.Set(std::move(batch));
    done(jobs::RelayAck{Duration(77)});
  }
  void OnResults(jobs::RelayedResults results) override {
    this->returned.Set(std::move(results));
  }
  void OnQueryProcess(Done<jobs::ProcessState> done) override {
    done(jobs::ProcessState{ProcessId("edge-1"),
                            7,
                            9,
                            Duration(11),
                            {{WorkerId("w"), 5, 6, Duration(8)}}});
  }

  bool owns = true;
  jobs::WaitableValue<jobs::AnnouncedJob> announced;
  jobs::WaitableValue<jobs::JobId> cancelled;
  jobs::WaitableValue<jobs::StoreItem> tombstone;
  jobs::WaitableValue<jobs::RelayBatch> relayed;
  jobs::WaitableValue<jobs::RelayedResults> returned;
};

struct Fixture {
  Fixture() {
    const auto port = this->server.Start("127.0.0.1", 0, &this->handler);
    BOOST_REQUIRE(port.has_value());
    this->address = "127.0.0.1:" + std::to_string(port.value());
  }
  template <typename T>
  Result<T> Await(
      const std::function<void(std::function<void(Result<T>)>)>& call) {
    auto awaited = std::make_shared<jobs::WaitableValue<Result<T>>>();
    call([awaited](const Result<T>& value) { awaited->Set(value); });
    auto value = awaited->Wait(std::chrono::seconds(20));
    BOOST_REQUIRE(value.has_value());
    return *value;
  }
  Result<jobs::JobAnswer> Query(const std::string& job) {
    return this->Await<jobs::JobAnswer>([&](auto done) {
      this->client.QueryJob(this->address, jobs::JobId(job), std::move(done));
    });
  }

  job_sim::ImmediateExecutor executor;
  FakeHandler handler;
  JobLink server{&this->executor};
  JobLink client{&this->executor};
  std::string address;
};

constexpr auto kLimit = std::chrono::seconds(20);

jobs::RunRef MakeRun() { return {{{jobs::JobId("j"), 1, 2}, 3}, 4}; }

jobs::RelayedOrder MakeOrder(jobs::RelayedOrderId id, jobs::WorkerOrder order) {
  jobs::RelayedOrder relayed;
  relayed.id = id;
  relayed.worker.incarnation.id = WorkerId("w");
  relayed.worker.incarnation.start_unix_ms = 42;
  relayed.worker.address = "10.0.0.1:1";
  relayed.send_until = Duration(10 + id);
  relayed.order = std::move(order);
  return relayed;
}

/// @return a batch with one order of each kind
jobs::RelayBatch MakeBatch(const std::string& owner) {
  jobs::RelayBatch batch;
  batch.owner_address = owner;
  batch.token = 9;
  batch.relay = 5;
  batch.orders.push_back(
      MakeOrder(1, jobs::StartOrder{MakeRun(), std::string("\0p", 2), "check",
                                    "ticket", 1234, 9}));
  batch.orders.push_back(MakeOrder(2, jobs::StopOrder{MakeRun(), 8}));
  batch.orders.push_back(MakeOrder(
      3, jobs::HoldOrder{4321, 17, std::chrono::milliseconds(600), 7}));
  return batch;
}

jobs::RelayedResults MakeResults() {
  jobs::RelayedResult result;
  result.id = 3;
  result.outcome = jobs::RelayOutcome::kWithheld;
  result.ended_at = Duration(5);
  result.result.order = {jobs::OrderOutcome::kOldRun, 100, 200};
  result.result.running.push_back({MakeRun(), "c", 50, 6});
  result.result.ended.push_back({12, MakeRun(), jobs::RunEnd::kStopped, "d"});
  result.result.ended_truncated = true;
  jobs::RelayedResults results;
  results.relay = ProcessId("r");
  results.token = 9;
  results.results.push_back(std::move(result));
  return results;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_link, Fixture)

BOOST_AUTO_TEST_CASE(a_process_tells_who_it_is) {
  const auto state = Await<jobs::ProcessState>(
      [&](auto done) { client.QueryProcess(address, std::move(done)); });
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST((state.value().process == ProcessId("edge-1")));
  BOOST_TEST(state.value().incarnation == 7U);
  BOOST_TEST(state.value().given_up == 9);
  BOOST_TEST((state.value().age == Duration(11)));
  BOOST_REQUIRE(state.value().withheld_leases.size() == 1U);
  const jobs::SeenWithheldLease& lease = state.value().withheld_leases[0];
  BOOST_TEST((lease.worker == WorkerId("w")));
  BOOST_TEST(lease.token == 5);
  BOOST_TEST(lease.number == 6);
  BOOST_TEST((lease.age == Duration(8)));
}

BOOST_AUTO_TEST_CASE(announcements_arrive) {
  client.AnnounceJob(address, {jobs::JobId("job"), std::string("\0rec", 4)},
                     [](const jobs::LoadReport&) {});
  const auto job = handler.announced.Wait(kLimit);
  BOOST_REQUIRE(job.has_value());
  BOOST_TEST(job->id == jobs::JobId("job"));
  BOOST_TEST(job->record.size() == 4U);
  client.AnnounceCancel(address, jobs::JobId("job"));
  BOOST_TEST(handler.cancelled.Wait(kLimit).has_value());
  client.AnnounceTombstone(
      address,
      {.key = "key/", .value = std::string("\0rec", 4), .revision = 7});
  const auto tombstone = handler.tombstone.Wait(kLimit);
  BOOST_REQUIRE(tombstone.has_value());
  BOOST_TEST(tombstone->key == "key/");
  BOOST_TEST(tombstone->value.size() == 4U);
  BOOST_TEST(tombstone->revision == 7);
}

BOOST_AUTO_TEST_CASE(reply_to_an_announcement_carries_the_load) {
  auto published = std::make_shared<jobs::LoadReport>();
  published->made_at = executor.Now();
  published->queues.push_back({.queue = jobs::QueueName("q"),
                               .wait = Duration(1),
                               .wait_above_share = Duration(2),
                               .late_wait = Duration(3),
                               .late_work = Duration(4),
                               .late_work_of_all = Duration(5),
                               .overdue_work = Duration(9),
                               .overhead = Duration(6),
                               .run_time_ratio = 0.5,
                               .capacity = {7, 8, 0, 0}});
  published->teams_above_share = {TeamId("team")};
  server.PublishLoad(published);
  auto received = std::make_shared<jobs::WaitableValue<jobs::LoadReport>>();
  client.AnnounceJob(
      address, {jobs::JobId("job"), "record"},
      [received](const jobs::LoadReport& report) { received->Set(report); });
  const auto report = received->Wait(kLimit);
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST((report->queues == published->queues));
  BOOST_TEST((report->teams_above_share == published->teams_above_share));
}

BOOST_AUTO_TEST_CASE(a_state_is_told_from_an_unknown_job_and_from_no_owner) {
  const auto known = Query("known").value().status;
  BOOST_REQUIRE(known.has_value());
  BOOST_TEST((known->state == jobs::JobState::kFailed));
  BOOST_TEST(known->cause == "cause");
  BOOST_TEST(!Query("other").value().status.has_value());
  handler.owns = false;
  BOOST_TEST((Query("known").error() == Error::kNotOwner));
}

BOOST_AUTO_TEST_CASE(pending_and_permissions_come_back) {
  const auto pending = Await<std::int64_t>([&](auto done) {
    client.QueryPending(address, jobs::QueueName("q"), std::move(done));
  });
  BOOST_TEST(pending.value() == 12);
  jobs::AdviceQuestion question;
  question.step = {jobs::JobId("j"), 2, 1};
  question.workers = {WorkerId("w")};
  question.timeout = std::chrono::seconds(5);
  const auto advice = Await<jobs::Advice>(
      [&](auto done) { client.Ask(address, question, std::move(done)); });
  BOOST_REQUIRE(advice.has_value());
  BOOST_TEST(advice.value().permitted.at(0).ticket == "j.2.1");
  BOOST_TEST((advice.value().validity == std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_key_is_created_on_behalf_of_another) {
  const auto create = [&](const char* key) {
    return Await<jobs::CreateOutcome>([&](auto done) {
      client.Create(
          address,
          {"job", jobs::JobId("j"), key, "value", std::chrono::seconds(5)},
          std::move(done));
    });
  };
  BOOST_TEST((create("taken").value() == jobs::CreateOutcome::kExists));
  BOOST_TEST((create("other").value() == jobs::CreateOutcome::kNotDone));
}

// What holds at the worker (token, lease, incarnation, acknowledged end) passes
// a relay unchanged.
BOOST_AUTO_TEST_CASE(relayed_orders_arrive_as_they_are) {
  const jobs::RelayBatch batch = MakeBatch(address);
  const auto ack = Await<jobs::RelayAck>(
      [&](auto done) { client.Relay(address, batch, std::move(done)); });
  BOOST_TEST((ack.value().clock == Duration(77)));
  const auto given = handler.relayed.Wait(kLimit);
  BOOST_REQUIRE(given.has_value());
  BOOST_TEST(given->owner_address == address);
  BOOST_TEST(given->token == 9);
  BOOST_TEST(given->relay == 5U);
  BOOST_REQUIRE(given->orders.size() == 3U);
  for (const jobs::RelayedOrder& order : given->orders) {
    BOOST_TEST(order.worker.incarnation.id == WorkerId("w"));
    BOOST_TEST(order.worker.incarnation.start_unix_ms == 42);
    BOOST_TEST(order.worker.address == "10.0.0.1:1");
    BOOST_TEST((order.send_until == Duration(10 + order.id)));
  }
  const auto& start = std::get<jobs::StartOrder>(given->orders[0].order);
  BOOST_TEST((start.run == MakeRun()));
  BOOST_TEST(start.payload.size() == 2U);
  BOOST_TEST(start.checkpoint == "check");
  BOOST_TEST(start.ticket == "ticket");
  BOOST_TEST(start.lease_until_ms == 1234);
  BOOST_TEST(start.token == 9);
  const auto& stop = std::get<jobs::StopOrder>(given->orders[1].order);
  BOOST_TEST((stop.run == MakeRun()));
  BOOST_TEST(stop.token == 8);
  const auto& hold = std::get<jobs::HoldOrder>(given->orders[2].order);
  BOOST_TEST(hold.lease_until_ms == 4321);
  BOOST_TEST(hold.acknowledged_end == 17);
  BOOST_TEST((hold.wait == std::chrono::milliseconds(600)));
  BOOST_TEST(hold.token == 7);
}

BOOST_AUTO_TEST_CASE(a_relay_that_refuses_a_batch_is_an_error) {
  jobs::RelayBatch batch = MakeBatch(address);
  batch.relay = 0;
  const auto refused = Await<jobs::RelayAck>(
      [&](auto done) { client.Relay(address, batch, std::move(done)); });
  BOOST_TEST((refused.error() == Error::kPeerLost));
}

BOOST_AUTO_TEST_CASE(results_of_relayed_orders_arrive_as_they_are) {
  client.ReturnResults(address, MakeResults());
  const auto returned = handler.returned.Wait(kLimit);
  BOOST_REQUIRE(returned.has_value());
  BOOST_TEST(returned->relay == ProcessId("r"));
  BOOST_TEST(returned->token == 9);
  BOOST_REQUIRE(returned->results.size() == 1U);
  const jobs::RelayedResult& got = returned->results.front();
  BOOST_TEST(got.id == 3U);
  BOOST_TEST((got.outcome == jobs::RelayOutcome::kWithheld));
  BOOST_TEST((got.ended_at == Duration(5)));
  BOOST_TEST((got.result.order.end == jobs::OrderOutcome::kOldRun));
  BOOST_TEST(got.result.order.clock_ms == 100);
  BOOST_TEST(got.result.order.start_unix_ms == 200);
  BOOST_REQUIRE(got.result.running.size() == 1U);
  BOOST_TEST((got.result.running[0].run == MakeRun()));
  BOOST_TEST(got.result.running[0].checkpoint == "c");
  BOOST_TEST(got.result.running[0].percent == 50);
  BOOST_TEST(got.result.running[0].measured == 6);
  BOOST_REQUIRE(got.result.ended.size() == 1U);
  BOOST_TEST((got.result.ended[0].run == MakeRun()));
  BOOST_TEST(got.result.ended[0].number == 12);
  BOOST_TEST((got.result.ended[0].end == jobs::RunEnd::kStopped));
  BOOST_TEST(got.result.ended[0].checkpoint == "d");
  BOOST_TEST(got.result.ended_truncated);
}

BOOST_AUTO_TEST_CASE(a_process_that_is_gone_is_an_error_soon) {
  server.Stop();
  BOOST_TEST((Query("known").error() == Error::kPeerLost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
