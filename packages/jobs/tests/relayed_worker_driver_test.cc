#include "relayed_worker_driver.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "job_sim/process.h"
#include "job_sim/sim_cell.h"
#include "job_sim/virtual_time.h"
#include "mustardproxy/core/error.h"
#include "options.h"
#include "order_relay.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::KeptLog;
using job_sim::Process;
using job_sim::VirtualTime;

constexpr FencingToken kToken = 7;
constexpr Duration kHop = milliseconds(1);
constexpr Duration kCallTimeout = milliseconds(250);
constexpr std::size_t kManyWorkers = 300;

/// A control thread whose clock shows another time than that of the others.
class OtherClock final : public Executor {
 public:
  OtherClock(Process* thread, Duration difference)
      : thread(thread), difference(difference) {}

  [[nodiscard]] Instant Now() const override {
    return this->thread->Now() + this->difference;
  }
  [[nodiscard]] std::int64_t UnixMs() const override {
    return this->thread->UnixMs();
  }
  void Post(std::function<void()> task) override {
    this->thread->Post(std::move(task));
  }
  TimerId After(Duration delay, std::function<void()> task) override {
    return this->thread->After(delay, std::move(task));
  }
  void PostUrgent(std::function<void()> task) override {
    this->Post(std::move(task));
  }
  TimerId AfterUrgent(Duration delay, std::function<void()> task) override {
    return this->After(delay, std::move(task));
  }
  void Cancel(TimerId timer) override { this->thread->Cancel(timer); }

 private:
  Process* thread;
  Duration difference;
};

/// Records orders, and answers each as told.
class FakeDriver final : public WorkerDriver {
 public:
  explicit FakeDriver(Executor* executor) : executor(executor) {}

  void Start(const WorkerTarget& worker, StartOrder order,
             std::function<void(OrderResult)> done) override {
    this->starts.push_back(std::move(order));
    this->Answer(worker, [done = std::move(done)](const HoldResult& result) {
      done(result.order);
    });
  }
  void Stop(const WorkerTarget& worker, StopOrder /*order*/,
            std::function<void(OrderResult)> done) override {
    this->Answer(worker, [done = std::move(done)](const HoldResult& result) {
      done(result.order);
    });
  }
  void Hold(const WorkerTarget& worker, HoldOrder order,
            std::function<void(HoldResult)> done) override {
    this->holds.push_back(order);
    this->Answer(worker, std::move(done));
  }

  std::vector<WorkerTarget> workers;
  std::vector<StartOrder> starts;
  std::vector<HoldOrder> holds;
  OrderOutcome end = OrderOutcome::kDone;
  Duration response = milliseconds(2);

 private:
  void Answer(const WorkerTarget& worker,
              std::function<void(HoldResult)> done) {
    this->workers.push_back(worker);
    HoldResult result;
    result.order.end = this->end;
    this->executor->After(this->response,
                          [done = std::move(done), result] { done(result); });
  }

  Executor* executor;
};

class FakePeers;

/// A process that can be a relay.
struct Host {
  Host(VirtualTime* time, FakePeers* peers, const std::string& name,
       std::int64_t cpu_milli, Duration clock);

  NodeRecord node;
  Process thread;
  OtherClock executor;
  FakeDriver driver;
  std::unique_ptr<OrderRelay> relay;
};

/// Calls between the owner and the relays.
class FakePeers final : public JobPeers {
 public:
  explicit FakePeers(VirtualTime* time) : time(time) {}

  void AnnounceJob(
      const std::string& /*address*/, const AnnouncedJob& /*job*/,
      std::function<void(const LoadReport&)> /*on_load*/) override {}
  void PublishLoad(LoadReportPtr /*report*/) override {}
  void AnnounceCancel(const std::string& /*address*/,
                      const JobId& /*job*/) override {}
  void AnnounceTombstone(const std::string& /*address*/,
                         const StoreItem& /*tombstone*/) override {}
  void QueryJob(const std::string& /*address*/, const JobId& /*job*/,
                Done<JobAnswer> /*done*/) override {}
  void QueryPending(const std::string& /*address*/, const QueueName& /*queue*/,
                    Done<std::int64_t> /*done*/) override {}
  void Create(const std::string& /*address*/, const CreateRequest& /*request*/,
              Done<CreateOutcome> /*done*/) override {}
  void Ask(const std::string& /*address*/, const AdviceQuestion& /*question*/,
           Done<Advice> /*done*/) override {}

  void Relay(const std::string& address, const RelayBatch& batch,
             Done<RelayAck> done) override {
    if (!batch.orders.empty()) this->batch_sizes.push_back(batch.orders.size());
    auto shared = std::make_shared<Done<RelayAck>>(std::move(done));
    const auto answer = [this, shared](const Result<RelayAck>& ack) {
      this->owner->Post([shared, ack] {
        const auto call = std::exchange(*shared, {});
        if (call) call(ack);
      });
    };
    this->time->After(kCallTimeout,
                      [answer] { answer(make_error_code(Error::kPeerLost)); });
    if (this->cut.contains(address)) return;
    this->time->After(kHop + this->delay, [this, address, batch, answer] {
      Host* host = this->hosts.at(address);
      host->thread.Post([this, host, batch, answer] {
        host->relay->OnBatch(batch, [this, answer](const auto& ack) {
          this->time->After(kHop, [answer, ack] { answer(ack); });
        });
      });
    });
  }
  void QueryProcess(const std::string& /*address*/,
                    Done<ProcessState> /*done*/) override {}
  void ReturnResults(const std::string& /*address*/,
                     const RelayedResults& results) override {
    if (this->cut.contains(results.relay.Text())) return;
    RelayedResults returned = results;
    returned.received_at = this->time->Now() + kHop;
    this->time->After(kHop, [this, returned] {
      this->owner->Post(
          [this, returned] { this->driver->OnResults(returned); });
    });
  }

  std::map<std::string, Host*> hosts;
  std::vector<std::size_t> batch_sizes;
  std::set<std::string> cut;
  Duration delay{0};
  Process* owner = nullptr;
  RelayedWorkerDriver* driver = nullptr;

 private:
  VirtualTime* time;
};

Host::Host(VirtualTime* time, FakePeers* peers, const std::string& name,
           std::int64_t cpu_milli, Duration clock)
    : thread(time, name),
      executor(&this->thread, clock),
      driver(&this->executor) {
  constexpr Incarnation kIncarnation = 3;
  this->node.name = ProcessId(name);
  this->node.peer_address = name;
  this->node.incarnation = kIncarnation;
  this->node.cpu_milli = cpu_milli;
  this->relay = std::make_unique<OrderRelay>(
      OrderRelay::Parts{.executor = &this->executor,
                        .driver = &this->driver,
                        .peers = peers,
                        .self = this->node.name,
                        .incarnation = kIncarnation});
  peers->hosts[name] = this;
}

WorkerTarget TargetOf(int number) {
  const std::string name = "w" + std::to_string(number);
  return {{WorkerId(name), number}, name};
}

/// An owner with two relays of the same size and one small host.
struct Fixture {
  Fixture() {
    this->peers.owner = &this->owner;
    this->peers.driver = &this->driver;
    this->owner.Post([this] {
      this->driver.SetProcesses(
          {this->first.node, this->second.node, this->small.node});
      this->driver.Begin();
    });
    // Until both relays have told their clocks.
    this->time.RunFor(seconds(1));
  }

  RelayedWorkerDriver::Parts MakeParts() {
    RelayedWorkerDriver::Parts parts;
    parts.executor = &this->owner;
    parts.direct = &this->direct;
    parts.peers = &this->peers;
    parts.log = &this->log;
    parts.metrics = &this->metrics;
    parts.self.name = ProcessId("owner");
    parts.self.peer_address = "owner";
    parts.self.cpu_milli = 500;
    parts.token = kToken;
    parts.max_relays = 4;
    parts.count_workers = [this] { return this->workers; };
    return parts;
  }
  /// Sends a start order to each of these workers.
  void Start(int first_worker, int count) {
    this->owner.Post([this, first_worker, count] {
      for (int i = first_worker; i < first_worker + count; ++i) {
        StartOrder order;
        order.run.run = i;
        order.token = kToken;
        const Instant sent = this->time.Now();
        this->driver.Start(TargetOf(i), order,
                           [this, sent](const OrderResult& result) {
                             ++this->ends[result.end];
                             this->last_took = this->time.Now() - sent;
                           });
      }
    });
  }
  [[nodiscard]] std::size_t Relayed() const {
    return this->first.driver.workers.size() +
           this->second.driver.workers.size();
  }
  /// Leaves the first host as the only relay.
  void UseFirstOnly() {
    this->owner.Post([this] { this->driver.SetProcesses({this->first.node}); });
    this->time.RunFor(seconds(1));
  }

  VirtualTime time{1};
  KeptLog log{&this->time};
  Metrics metrics;
  std::size_t workers = kManyWorkers;
  FakePeers peers{&this->time};
  Process owner{&this->time, "owner"};
  FakeDriver direct{&this->owner};
  Host first{&this->time, &this->peers, "first", 400, seconds(5000)};
  Host second{&this->time, &this->peers, "second", 400, seconds(-700)};
  Host small{&this->time, &this->peers, "small", 90, Duration::zero()};
  RelayedWorkerDriver driver{this->MakeParts()};
  std::map<OrderOutcome, int> ends;
  Duration last_took{0};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relayed_worker_driver, Fixture)

BOOST_AUTO_TEST_CASE(orders_for_one_relay_go_in_one_message) {
  this->Start(0, 40);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->ends[OrderOutcome::kDone] == 40);
  BOOST_TEST(this->peers.batch_sizes.size() == 2U);
  BOOST_TEST(this->direct.workers.empty());
  BOOST_TEST(this->small.driver.workers.empty());
  BOOST_TEST((this->last_took < kRelayCollectTime * 2 + milliseconds(10)));
  BOOST_TEST(this->metrics.Total("relayed_orders") == 40);
}

// Both relays are used, and a worker keeps its relay.
BOOST_AUTO_TEST_CASE(each_worker_has_one_relay) {
  for (int round = 0; round < 3; ++round) {
    this->Start(0, 100);
    this->time.RunFor(milliseconds(100));
  }
  std::map<std::string, int> at_first;
  for (const WorkerTarget& worker : this->first.driver.workers) {
    ++at_first[worker.address];
  }
  BOOST_TEST(at_first.size() > 25U);
  BOOST_TEST(at_first.size() < 75U);
  for (const auto& [worker, count] : at_first) BOOST_TEST(count == 3);
  BOOST_TEST(this->Relayed() == 300U);
}

BOOST_AUTO_TEST_CASE(what_holds_at_the_worker_passes_unchanged) {
  this->owner.Post([this] {
    HoldOrder order;
    order.lease_until_ms = 4321;
    order.acknowledged_end = 17;
    order.wait = milliseconds(600);
    order.token = kToken;
    this->driver.Hold(TargetOf(5), order, [this](const HoldResult& result) {
      ++this->ends[result.order.end];
    });
  });
  this->time.RunFor(milliseconds(100));
  auto holds = this->first.driver.holds;
  const auto& others = this->second.driver.holds;
  holds.insert(holds.end(), others.begin(), others.end());
  BOOST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds[0].lease_until_ms == 4321);
  BOOST_TEST(holds[0].acknowledged_end == 17);
  BOOST_TEST((holds[0].wait == milliseconds(600)));
  BOOST_TEST(holds[0].token == kToken);
  BOOST_TEST(this->ends[OrderOutcome::kDone] == 1);
}

BOOST_AUTO_TEST_CASE(a_small_cell_is_served_directly) {
  this->workers = kMinRelayedWorkers - 1;
  this->time.RunFor(seconds(1));
  this->Start(0, 10);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->direct.workers.size() == 10U);
  BOOST_TEST(this->Relayed() == 0U);
}

BOOST_AUTO_TEST_CASE(without_relays_all_goes_directly) {
  this->owner.Post([this] { this->driver.SetProcesses({this->small.node}); });
  this->Start(0, 10);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->direct.workers.size() == 10U);
  BOOST_TEST(this->ends[OrderOutcome::kDone] == 10);
}

// Guards against a relay that was paused and sends, when it continues, what the
// owner has given up. Until then the orders end uncertain, but not so early
// that it would mean that the worker closed the connection.
BOOST_AUTO_TEST_CASE(a_paused_relay_sends_nothing_late) {
  this->UseFirstOnly();
  this->first.thread.Pause();
  this->Start(0, 10);
  this->time.RunFor(milliseconds(200));
  BOOST_TEST(this->ends.empty());
  this->time.RunFor(seconds(2));
  BOOST_TEST(this->ends[OrderOutcome::kUncertain] == 10);
  BOOST_TEST((this->last_took > kConnectionClosedThreshold));
  BOOST_TEST((this->last_took < milliseconds(500)));
  this->first.thread.Resume();
  this->time.RunFor(seconds(1));
  BOOST_TEST(this->first.driver.workers.empty());
  BOOST_TEST(this->ends[OrderOutcome::kUncertain] == 10);
}

// The same for the first batch that a relay ever gets: it is paused before it
// has told its clock.
BOOST_AUTO_TEST_CASE(a_relay_that_has_not_told_its_clock_gets_no_orders) {
  Host third(&this->time, &this->peers, "third", 450, seconds(3));
  third.thread.Pause();
  this->owner.Post([&] { this->driver.SetProcesses({third.node}); });
  this->time.RunFor(seconds(1));
  this->Start(0, 10);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->direct.workers.size() == 10U);
  third.thread.Resume();
  this->time.RunFor(seconds(20));
  BOOST_TEST(third.driver.workers.empty());
  this->Start(0, 10);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(third.driver.workers.size() == 10U);
}

// Guards against batches that are late in the network: the orders are certainly
// not sent.
BOOST_AUTO_TEST_CASE(late_batches_are_refused_and_their_relay_is_left) {
  this->UseFirstOnly();
  this->peers.delay = kMaxRelayedOrderAge;
  this->Start(0, 10);
  this->time.RunFor(seconds(1));
  BOOST_TEST(this->ends[OrderOutcome::kRefused] == 10);
  BOOST_TEST(this->first.driver.workers.empty());
  this->Start(0, 10);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->direct.workers.size() == 10U);
}

// Guards against an answer that was held up at the relay and counts as one that
// the worker has just given.
BOOST_AUTO_TEST_CASE(late_results_count_as_lost) {
  this->UseFirstOnly();
  this->first.driver.response = milliseconds(30);
  this->Start(0, 10);
  // Between the answers and the batch of results.
  this->time.RunFor(kRelayCollectTime + kHop + this->first.driver.response +
                    kRelayCollectTime / 2);
  this->first.thread.Pause();
  this->time.RunFor(milliseconds(150));
  this->first.thread.Resume();
  this->time.RunFor(seconds(1));
  BOOST_TEST(this->first.driver.workers.size() == 10U);
  BOOST_TEST(this->ends[OrderOutcome::kUncertain] == 10);
  BOOST_TEST(this->ends[OrderOutcome::kDone] == 0);
  BOOST_TEST(this->log.Count("relay-lost") == 1U);
}

// A relay that dies costs the orders in flight; the workers go to the other
// relay, and back when it answers again.
BOOST_AUTO_TEST_CASE(the_workers_of_a_lost_relay_go_to_the_next) {
  this->first.thread.Pause();
  this->peers.cut.insert("first");
  this->Start(0, 100);
  this->time.RunFor(seconds(1));
  BOOST_TEST(this->ends[OrderOutcome::kUncertain] > 0);
  const int done = this->ends[OrderOutcome::kDone];
  this->Start(0, 100);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->ends[OrderOutcome::kDone] == done + 100);
  BOOST_TEST(this->first.driver.workers.empty());
  this->peers.cut.clear();
  this->first.thread.Resume();
  this->time.RunFor(seconds(12));
  BOOST_TEST(this->log.Count("relay-back") == 1U);
  this->Start(0, 100);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(!this->first.driver.workers.empty());
}

// Guards against a worker that seems gone because its relay does not reach it.
BOOST_AUTO_TEST_CASE(
    a_worker_that_its_relay_does_not_reach_is_reached_directly) {
  this->UseFirstOnly();
  this->first.driver.end = OrderOutcome::kRefused;
  this->Start(0, 1);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->ends[OrderOutcome::kRefused] == 1);
  this->Start(0, 1);
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->ends[OrderOutcome::kDone] == 1);
  BOOST_TEST(this->direct.workers.size() == 1U);
  // Many such workers show that it is the relay.
  this->Start(1, 20);
  this->time.RunFor(seconds(1));
  BOOST_TEST(this->log.Count("relay-lost") == 1U);
}

BOOST_AUTO_TEST_CASE(a_large_order_is_sent_directly) {
  this->owner.Post([this] {
    StartOrder order;
    order.payload = std::string(kMaxRelayedOrderBytes, 'p');
    this->driver.Start(TargetOf(1), order, [](const OrderResult&) {});
  });
  this->time.RunFor(milliseconds(100));
  BOOST_TEST(this->direct.workers.size() == 1U);
}

// A relay that restarts under its name knows nothing of the orders of its
// former incarnation, and takes none that are meant for that.
BOOST_AUTO_TEST_CASE(another_incarnation_of_a_relay_takes_no_orders) {
  Result<RelayAck> ack = RelayAck{};
  RelayBatch batch;
  batch.relay = this->first.node.incarnation + 1;
  batch.orders.push_back({1, TargetOf(1), Duration::max(), HoldOrder{}});
  this->first.relay->OnBatch(batch,
                             [&](const Result<RelayAck>& a) { ack = a; });
  BOOST_TEST((ack.error() == Error::kPeerLost));
  BOOST_TEST(this->first.driver.workers.empty());
}

// The bounds hold for any delays and for clocks that differ in rate.
BOOST_AUTO_TEST_CASE(the_bounds_of_a_relays_clock_hold) {
  constexpr double kRate = 1.0001;
  const auto reading = [](Instant at) {
    return Duration(static_cast<std::int64_t>(
        kRate * static_cast<double>(at.time_since_epoch().count())));
  };
  RelayClock clock;
  Instant now(seconds(100));
  for (int i = 0; i < 500; ++i) {
    const Duration there = this->time.DrawBetween(Duration(0), milliseconds(9));
    const Duration back = this->time.DrawBetween(Duration(0), milliseconds(9));
    clock.Note(now, now + there + back, reading(now + there));
    now += there + back;
    const Instant later = now + milliseconds(500);
    BOOST_TEST((clock.LeastReading(later) <= reading(later)));
    BOOST_TEST((clock.EarliestInstant(reading(later), later) <= later));
    now += seconds(1);
  }
  BOOST_TEST((clock.Uncertainty(now) < milliseconds(10)));
  // A clock that was set is followed at once.
  clock.Note(now, now + milliseconds(1), Duration(50));
  BOOST_TEST((clock.Uncertainty(now + milliseconds(1)) == milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
