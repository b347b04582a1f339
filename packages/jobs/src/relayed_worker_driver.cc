#include "relayed_worker_driver.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Interval between checks of the relays.
constexpr Duration kRelayCheckInterval = milliseconds(500);
/// Interval between checks for orders without a result.
constexpr Duration kRelaySweepInterval = milliseconds(50);
/// A process of this size can be a relay of any owner.
constexpr std::int64_t kSufficientCpuMilli = 250;
/// A relay whose clock is known less exactly is not used: too little of the
/// age of an order would be left.
constexpr Duration kMaxRelayClockUncertainty = kMaxRelayedOrderAge / 2;
/// A relay through which at least this many orders in a check interval, and
/// half of all, did not reach their workers has lost its connections.
constexpr std::size_t kMinFailedOrders = 5;

/// Time for the worker to respond, without a hold's wait; exceeds the driver's
/// timeout, whose result the relay returns.
constexpr Duration kResponseTime = milliseconds(600);
/// The same for an order in flight at a relay that has been lost. Not less than
/// `kConnectionClosedThreshold`: an earlier end would mean that the worker
/// closed the connection.
constexpr Duration kLostRelayResponseTime = milliseconds(300);
/// A relay that answers a probe later than this would get its orders too late.
constexpr Duration kMaxProbeTime = kMaxRelayedOrderAge * 2;

std::uint64_t Mix(std::uint64_t value) {
  constexpr std::uint64_t kFirst = 0xbf58476d1ce4e5b9;
  constexpr std::uint64_t kSecond = 0x94d049bb133111eb;
  constexpr int kFirstShift = 30;
  constexpr int kSecondShift = 27;
  constexpr int kThirdShift = 31;
  value = (value ^ (value >> kFirstShift)) * kFirst;
  value = (value ^ (value >> kSecondShift)) * kSecond;
  return value ^ (value >> kThirdShift);
}

/// @return the weight of a relay for a worker
std::uint64_t Weight(const WorkerId& worker, const ProcessId& relay) {
  const std::hash<std::string> hash;
  return Mix(hash(worker.Text()) ^ Mix(hash(relay.Text())));
}

std::size_t SizeOf(const WorkerOrder& order) {
  constexpr std::size_t kOrderBytes = 128;
  const auto* start = std::get_if<StartOrder>(&order);
  if (start == nullptr) return kOrderBytes;
  return kOrderBytes + start->payload.size() + start->checkpoint.size() +
         start->ticket.size();
}

/// @return label of a counter
std::string_view KindLabel(const WorkerOrder& order) {
  if (std::holds_alternative<StartOrder>(order)) return "kind=start";
  if (std::holds_alternative<StopOrder>(order)) return "kind=stop";
  return "kind=hold";
}

Duration WaitOf(const WorkerOrder& order) {
  const auto* hold = std::get_if<HoldOrder>(&order);
  return hold == nullptr ? Duration::zero() : hold->wait;
}

Duration TimeoutOf(const WorkerOrder& order) {
  return WaitOf(order) + kResponseTime + kMaxRelayedOrderAge +
         kMaxRelayedResultAge;
}

std::function<void(HoldResult)> ForOrder(
    std::function<void(OrderResult)> done) {
  return [done = std::move(done)](const HoldResult& result) {
    done(result.order);
  };
}

HoldResult Ended(OrderOutcome end) {
  HoldResult result;
  result.order.end = end;
  return result;
}

}  // namespace

RelayedWorkerDriver::RelayedWorkerDriver(Parts parts)
    : parts(std::move(parts)) {}

void RelayedWorkerDriver::Begin() {
  this->Tick();
  this->Sweep();
}

void RelayedWorkerDriver::SetProcesses(std::vector<NodeRecord> processes) {
  this->registered = std::move(processes);
  this->Select();
}

void RelayedWorkerDriver::Start(const WorkerTarget& worker, StartOrder order,
                                std::function<void(OrderResult)> done) {
  this->Dispatch(worker, std::move(order), ForOrder(std::move(done)));
}

void RelayedWorkerDriver::Stop(const WorkerTarget& worker, StopOrder order,
                               std::function<void(OrderResult)> done) {
  this->Dispatch(worker, order, ForOrder(std::move(done)));
}

void RelayedWorkerDriver::Hold(const WorkerTarget& worker, HoldOrder order,
                               std::function<void(HoldResult)> done) {
  this->Dispatch(worker, order, std::move(done));
}

void RelayedWorkerDriver::Dispatch(const WorkerTarget& worker,
                                   WorkerOrder order, Done done) {
  const bool small = SizeOf(order) <= kMaxRelayedOrderBytes;
  Relay* relay = small ? this->Choose(worker) : nullptr;
  if (relay == nullptr) {
    this->SendDirect(worker, std::move(order), std::move(done));
  } else {
    this->Collect(relay, worker, std::move(order), std::move(done));
  }
}

void RelayedWorkerDriver::SendDirect(const WorkerTarget& worker,
                                     WorkerOrder order, Done done) {
  auto answered = [done](const OrderResult& result) {
    HoldResult whole;
    whole.order = result;
    done(std::move(whole));
  };
  if (auto* start = std::get_if<StartOrder>(&order)) {
    this->parts.direct->Start(worker, std::move(*start), std::move(answered));
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    this->parts.direct->Stop(worker, *stop, std::move(answered));
  } else {
    this->parts.direct->Hold(worker, std::get<HoldOrder>(order),
                             std::move(done));
  }
}

RelayedWorkerDriver::Relay* RelayedWorkerDriver::Choose(
    const WorkerTarget& worker) {
  if (!this->large) return nullptr;
  const auto direct = this->direct_until.find(worker.incarnation.id);
  if (direct != this->direct_until.end() &&
      this->parts.executor->Now() < direct->second) {
    return nullptr;
  }
  Relay* best = nullptr;
  std::uint64_t best_weight = 0;
  for (auto& [name, relay] : this->relays) {
    if (!relay.selected || !relay.usable) continue;
    const std::uint64_t weight = Weight(worker.incarnation.id, name);
    if (best != nullptr && weight <= best_weight) continue;
    best = &relay;
    best_weight = weight;
  }
  return best;
}

void RelayedWorkerDriver::Collect(Relay* relay, const WorkerTarget& worker,
                                  WorkerOrder order, Done done) {
  const Instant now = this->parts.executor->Now();
  const RelayedOrderId id = this->next_id++;
  this->Count("relayed_orders", KindLabel(order));
  if (relay->collected.empty()) {
    this->parts.executor->After(
        kRelayCollectTime,
        this->guard.Wrap([this, name = relay->node.name,
                          incarnation = relay->node.incarnation] {
          this->Flush(name, incarnation);
        }));
  }
  ++relay->in_flight;
  relay->collected_bytes += SizeOf(order);
  relay->collected.push_back(
      {.id = id,
       .worker = worker,
       .send_until = relay->clock.LeastReading(now + kMaxRelayedOrderAge),
       .order = order});
  InFlight entry;
  entry.relay = relay->node.name;
  entry.incarnation = relay->node.incarnation;
  entry.worker = worker;
  entry.created = now;
  entry.due = now + TimeoutOf(order);
  entry.order = std::move(order);
  entry.done = std::move(done);
  this->in_flight.emplace(id, std::move(entry));
  const bool full = relay->collected.size() >= kMaxRelayedOrders ||
                    relay->collected_bytes >= kMaxRelayedBytes;
  if (full) this->SendBatch(relay);
}

void RelayedWorkerDriver::Flush(const ProcessId& name,
                                Incarnation incarnation) {
  Relay* relay = this->Find(name, incarnation);
  if (relay != nullptr && !relay->collected.empty()) this->SendBatch(relay);
}

void RelayedWorkerDriver::SendBatch(Relay* relay) {
  const Instant now = this->parts.executor->Now();
  RelayBatch batch;
  batch.owner_address = this->parts.self.peer_address;
  batch.token = this->parts.token;
  batch.relay = relay->node.incarnation;
  batch.orders = std::exchange(relay->collected, {});
  relay->collected_bytes = 0;
  if (this->parts.metrics != nullptr) {
    for (const RelayedOrder& order : batch.orders) {
      const Duration waited = now - this->in_flight.at(order.id).created;
      this->parts.metrics->Sample("relay_wait_us", "",
                                  static_cast<double>(waited.count()));
    }
  }
  this->parts.peers->Relay(
      relay->node.peer_address, batch,
      this->guard.Wrap([this, name = relay->node.name,
                        incarnation = relay->node.incarnation,
                        now](const Result<RelayAck>& ack) {
        this->OnAck(name, incarnation, now, ack);
      }));
}

void RelayedWorkerDriver::OnAck(const ProcessId& name, Incarnation incarnation,
                                Instant sent, const Result<RelayAck>& ack) {
  Relay* relay = this->Find(name, incarnation);
  if (relay == nullptr) return;
  relay->probing = false;
  if (!ack) {
    this->Lose(relay, "call-failed");
    return;
  }
  const Instant now = this->parts.executor->Now();
  relay->clock.Note(sent, now, ack.value().clock);
  if (relay->usable || now < relay->next_probe) return;
  if (now - sent > kMaxProbeTime) return;
  if (relay->clock.Uncertainty(now) > kMaxRelayClockUncertainty) return;
  relay->usable = true;
  relay->usable_since = now;
  this->parts.log->Write(
      "relay",
      std::exchange(relay->used_before, true) ? "relay-back" : "relay-used",
      {{"relay", name.Text()},
       {"cpu_milli", relay->node.cpu_milli},
       {"workers", this->parts.count_workers()},
       {"clock_within_us", relay->clock.Uncertainty(now).count()}});
}

void RelayedWorkerDriver::OnResults(const RelayedResults& results) {
  if (results.token != this->parts.token) return;
  for (const RelayedResult& result : results.results) {
    const auto found = this->in_flight.find(result.id);
    if (found == this->in_flight.end()) continue;
    if (found->second.relay != results.relay) continue;
    Relay* relay = this->Find(results.relay, found->second.incarnation);
    if (relay != nullptr) this->OnResult(relay, results.received_at, result);
  }
}

void RelayedWorkerDriver::OnResult(Relay* relay, Instant received,
                                   const RelayedResult& result) {
  InFlight& known = this->in_flight.at(result.id);
  if (result.outcome == RelayOutcome::kNotSent) {
    const ProcessId name = relay->node.name;
    const Incarnation incarnation = relay->node.incarnation;
    this->OnNotSent(this->Take(result.id));
    relay = this->Find(name, incarnation);
    if (relay != nullptr) this->Lose(relay, "late-orders");
    return;
  }
  if (result.outcome == RelayOutcome::kWithheld) {
    known.withheld = true;
    this->direct_until[known.worker.incarnation.id] =
        received + kDirectTimeAfterFailure;
    return;
  }
  // Failure: the relay is paused with the answer of a worker, the worker
  // restarts, and the owner takes it for one that has just responded.
  const Instant ended = relay->clock.EarliestInstant(result.ended_at, received);
  if (received - ended > kMaxRelayedResultAge) {
    this->Lose(relay, "late-results");
    return;
  }
  InFlight entry = this->Take(result.id);
  ++relay->ended;
  const OrderOutcome end = result.result.order.end;
  if (end == OrderOutcome::kUncertain || end == OrderOutcome::kRefused) {
    // Failure: the relay is cut off from workers that this process reaches.
    ++relay->failed;
    this->direct_until[entry.worker.incarnation.id] =
        received + kDirectTimeAfterFailure;
  }
  entry.done(result.result);
}

void RelayedWorkerDriver::OnNotSent(InFlight entry) {
  const Duration age = this->parts.executor->Now() - entry.created;
  if (age > kMaxRelayedOrderAge) {
    entry.done(Ended(OrderOutcome::kRefused));
    return;
  }
  this->SendDirect(entry.worker, std::move(entry.order), std::move(entry.done));
}

void RelayedWorkerDriver::Lose(Relay* relay, std::string_view reason) {
  const Instant now = this->parts.executor->Now();
  if (relay->usable && now - relay->usable_since > kMaxRelayBackoff) {
    relay->backoff = Duration::zero();
  }
  if (relay->usable || now >= relay->next_probe) {
    relay->backoff =
        std::clamp(relay->backoff * 2, kMinRelayBackoff, kMaxRelayBackoff);
    relay->next_probe = now + relay->backoff;
  }
  if (!std::exchange(relay->usable, false)) return;
  this->Count("relay_failures", "reason=" + std::string(reason));
  this->parts.log->Write("relay", "relay-lost",
                         {{"relay", relay->node.name.Text()},
                          {"reason", reason},
                          {"in_flight", relay->in_flight},
                          {"collected", relay->collected.size()},
                          {"backoff_ms", WholeMilliseconds(relay->backoff)}});
  for (auto& [id, entry] : this->in_flight) {
    if (entry.relay != relay->node.name) continue;
    entry.due = std::min(entry.due, entry.created + WaitOf(entry.order) +
                                        kLostRelayResponseTime);
  }
  relay->collected_bytes = 0;
  for (const RelayedOrder& order : std::exchange(relay->collected, {})) {
    // It may have been answered while the others were sent.
    if (!this->in_flight.contains(order.id)) continue;
    this->OnNotSent(this->Take(order.id));
  }
}

RelayedWorkerDriver::Relay* RelayedWorkerDriver::Find(const ProcessId& name,
                                                      Incarnation incarnation) {
  const auto found = this->relays.find(name);
  const bool same = found != this->relays.end() &&
                    found->second.node.incarnation == incarnation;
  return same ? &found->second : nullptr;
}

RelayedWorkerDriver::InFlight RelayedWorkerDriver::Take(RelayedOrderId id) {
  const auto found = this->in_flight.find(id);
  InFlight entry = std::move(found->second);
  this->in_flight.erase(found);
  Relay* relay = this->Find(entry.relay, entry.incarnation);
  if (relay != nullptr) --relay->in_flight;
  return entry;
}

void RelayedWorkerDriver::Select() {
  const std::int64_t least =
      std::min(this->parts.self.cpu_milli / 2, kSufficientCpuMilli);
  std::vector<NodeRecord> hosts;
  for (const NodeRecord& node : this->registered) {
    const bool fits =
        node.name != this->parts.self.name && node.cpu_milli >= least;
    if (fits) hosts.push_back(node);
  }
  std::sort(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) {
    if (a.cpu_milli != b.cpu_milli) return a.cpu_milli > b.cpu_milli;
    return a.name < b.name;
  });
  if (hosts.size() > this->parts.max_relays) {
    hosts.resize(this->parts.max_relays);
  }
  for (auto& [name, relay] : this->relays) relay.selected = false;
  for (NodeRecord& node : hosts) {
    Relay& relay = this->relays[node.name];
    if (relay.node.peer_address.empty() ||
        relay.node.incarnation != node.incarnation) {
      // Orders that wait for the former incarnation were never sent.
      this->Lose(&relay, "restarted");
      relay = Relay{};
      relay.node = std::move(node);
    }
    relay.selected = true;
  }
}

void RelayedWorkerDriver::Probe(Relay* relay) {
  relay->probing = true;
  this->SendBatch(relay);
}

void RelayedWorkerDriver::Tick() {
  this->parts.executor->After(kRelayCheckInterval,
                              this->guard.Wrap([this] { this->Tick(); }));
  const Instant now = this->parts.executor->Now();
  this->large = this->parts.count_workers() >= kMinRelayedWorkers;
  std::erase_if(this->direct_until,
                [&](const auto& entry) { return now >= entry.second; });
  std::erase_if(this->relays, [](const auto& entry) {
    return !entry.second.selected && entry.second.in_flight == 0;
  });
  if (!this->large) return;
  for (auto& [name, relay] : this->relays) {
    const std::size_t ended = std::exchange(relay.ended, 0);
    const std::size_t failed = std::exchange(relay.failed, 0);
    if (failed >= kMinFailedOrders && failed * 2 >= ended) {
      this->Lose(&relay, "workers-not-reached");
    }
    const bool due = relay.selected && !relay.usable && !relay.probing &&
                     now >= relay.next_probe;
    if (due) this->Probe(&relay);
  }
}

void RelayedWorkerDriver::Sweep() {
  this->parts.executor->After(kRelaySweepInterval,
                              this->guard.Wrap([this] { this->Sweep(); }));
  const Instant now = this->parts.executor->Now();
  std::vector<RelayedOrderId> overdue;
  for (const auto& [id, entry] : this->in_flight) {
    if (now >= entry.due) overdue.push_back(id);
  }
  for (const RelayedOrderId id : overdue) {
    // It may have ended while the others were told.
    if (!this->in_flight.contains(id)) continue;
    const InFlight entry = this->Take(id);
    Relay* relay = this->Find(entry.relay, entry.incarnation);
    if (relay != nullptr && !entry.withheld) this->Lose(relay, "no-result");
    entry.done(Ended(OrderOutcome::kUncertain));
  }
}

void RelayedWorkerDriver::Count(std::string_view name, std::string_view label) {
  if (this->parts.metrics != nullptr) this->parts.metrics->Count(name, label);
}

}  // namespace mustardproxy::jobs
