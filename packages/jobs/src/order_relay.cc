#include "order_relay.h"

#include <memory>

#include "mustardproxy/core/error.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Estimate of the bytes of one listed run besides its checkpoint.
constexpr std::size_t kRunBytes = 64;

std::size_t SizeOf(const HoldResult& result) {
  std::size_t bytes = kRunBytes;
  for (const RunningRun& run : result.running) {
    bytes += kRunBytes + run.checkpoint.size();
  }
  for (const EndedRun& run : result.ended) {
    bytes += kRunBytes + run.checkpoint.size();
  }
  return bytes;
}

}  // namespace

OrderRelay::OrderRelay(Parts parts) : parts(std::move(parts)) {}

Duration OrderRelay::Clock() const {
  return this->parts.executor->Now().time_since_epoch();
}

void OrderRelay::OnBatch(RelayBatch batch,
                         const std::function<void(Result<RelayAck>)>& done) {
  // The owner knows the clock of another incarnation.
  if (batch.relay != this->parts.incarnation) {
    done(make_error_code(Error::kPeerLost));
    return;
  }
  done(RelayAck{this->Clock()});
  const Owner owner(batch.owner_address, batch.token);
  for (RelayedOrder& order : batch.orders) this->Send(owner, std::move(order));
}

void OrderRelay::Send(const Owner& owner, RelayedOrder order) {
  const RelayedOrderId id = order.id;
  // Failure: this process was paused, or its input was buffered, and it sends
  // orders that the owner has given up.
  if (this->Clock() > order.send_until) {
    this->Add(owner, {.id = id,
                      .outcome = RelayOutcome::kNotSent,
                      .ended_at = this->Clock(),
                      .result = {}});
    return;
  }
  auto ended = this->guard.Wrap([this, owner, id](HoldResult result) {
    this->OnEnd(owner, id, std::move(result));
  });
  auto answered = [ended](const OrderResult& result) mutable {
    HoldResult whole;
    whole.order = result;
    ended(std::move(whole));
  };
  if (auto* start = std::get_if<StartOrder>(&order.order)) {
    this->parts.driver->Start(order.worker, std::move(*start), answered);
  } else if (const auto* stop = std::get_if<StopOrder>(&order.order)) {
    this->parts.driver->Stop(order.worker, *stop, answered);
  } else {
    this->parts.driver->Hold(order.worker, std::get<HoldOrder>(order.order),
                             ended);
  }
}

void OrderRelay::OnEnd(const Owner& owner, RelayedOrderId id,
                       HoldResult result) {
  RelayedResult entry;
  entry.id = id;
  entry.ended_at = this->Clock();
  if (SizeOf(result) > kMaxRelayedBytes) {
    entry.outcome = RelayOutcome::kWithheld;
  } else {
    entry.result = std::move(result);
  }
  this->Add(owner, std::move(entry));
}

void OrderRelay::Add(const Owner& owner, RelayedResult result) {
  Outbox& outbox = this->outboxes[owner];
  if (outbox.results.empty()) {
    this->parts.executor->After(
        kRelayCollectTime,
        this->guard.Wrap([this, owner] { this->Flush(owner); }));
  }
  outbox.bytes += SizeOf(result.result);
  outbox.results.push_back(std::move(result));
  const bool full = outbox.bytes >= kMaxRelayedBytes ||
                    outbox.results.size() >= kMaxRelayedOrders;
  if (full) this->Flush(owner);
}

void OrderRelay::Flush(const Owner& owner) {
  const auto found = this->outboxes.find(owner);
  if (found == this->outboxes.end()) return;
  RelayedResults results;
  results.relay = this->parts.self;
  results.token = owner.second;
  results.results = std::move(found->second.results);
  this->outboxes.erase(found);
  this->parts.peers->ReturnResults(owner.first, results);
}

}  // namespace mustardproxy::jobs
