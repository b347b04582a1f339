#include "relay_wire.h"

#include <utility>
#include <variant>

namespace mustardproxy::peer_detail {
namespace {

enum OrderKind : std::int32_t { kStart, kStop, kHold };

void SetRun(const jobs::RunRef& run, peer::jobs::WireRun* wire) {
  wire->set_job(run.task.step.job.Text());
  wire->set_occurrence(run.task.step.occurrence);
  wire->set_step(run.task.step.step);
  wire->set_index(run.task.index);
  wire->set_run(run.run);
}

jobs::RunRef RunOf(const peer::jobs::WireRun& wire) {
  return {
      {{jobs::JobId(wire.job()), wire.occurrence(), wire.step()}, wire.index()},
      wire.run()};
}

void SetOrder(const jobs::StartOrder& order, peer::jobs::RelayedOrder* wire) {
  wire->set_kind(kStart);
  SetRun(order.run, wire->mutable_run());
  wire->set_payload(order.payload);
  wire->set_checkpoint(order.checkpoint);
  wire->set_ticket(order.ticket);
  wire->set_lease_until_ms(order.lease_until_ms);
  wire->set_token(order.token);
}

void SetOrder(const jobs::StopOrder& order, peer::jobs::RelayedOrder* wire) {
  wire->set_kind(kStop);
  SetRun(order.run, wire->mutable_run());
  wire->set_token(order.token);
}

void SetOrder(const jobs::HoldOrder& order, peer::jobs::RelayedOrder* wire) {
  wire->set_kind(kHold);
  wire->set_lease_until_ms(order.lease_until_ms);
  wire->set_acknowledged_end(order.acknowledged_end);
  wire->set_wait_us(order.wait.count());
  wire->set_token(order.token);
}

jobs::WorkerOrder OrderOf(const peer::jobs::RelayedOrder& wire) {
  if (wire.kind() == kStart) {
    return jobs::StartOrder{RunOf(wire.run()),     wire.payload(),
                            wire.checkpoint(),     wire.ticket(),
                            wire.lease_until_ms(), wire.token()};
  }
  if (wire.kind() == kStop) {
    return jobs::StopOrder{RunOf(wire.run()), wire.token()};
  }
  return jobs::HoldOrder{wire.lease_until_ms(), wire.acknowledged_end(),
                         Duration(wire.wait_us()), wire.token()};
}

void SetResult(const jobs::RelayedResult& result,
               peer::jobs::RelayedResult* wire) {
  wire->set_id(result.id);
  wire->set_outcome(static_cast<std::int32_t>(result.outcome));
  wire->set_ended_at_us(result.ended_at.count());
  const jobs::OrderResult& order = result.result.order;
  wire->set_end(static_cast<std::int32_t>(order.end));
  wire->set_clock_ms(order.clock_ms);
  wire->set_start_unix_ms(order.start_unix_ms);
  for (const jobs::RunningRun& run : result.result.running) {
    peer::jobs::ListedRun* row = wire->add_running();
    SetRun(run.run, row->mutable_run());
    row->set_checkpoint(run.checkpoint);
    row->set_percent(run.percent);
    row->set_measured(run.measured);
  }
  for (const jobs::EndedRun& run : result.result.ended) {
    peer::jobs::ListedRun* row = wire->add_ended();
    SetRun(run.run, row->mutable_run());
    row->set_checkpoint(run.checkpoint);
    row->set_number(run.number);
    row->set_end(static_cast<std::int32_t>(run.end));
  }
  wire->set_ended_truncated(result.result.ended_truncated);
}

jobs::RelayedResult ResultOf(const peer::jobs::RelayedResult& wire) {
  jobs::RelayedResult result;
  result.id = wire.id();
  result.outcome = static_cast<jobs::RelayOutcome>(wire.outcome());
  result.ended_at = Duration(wire.ended_at_us());
  result.result.order = {static_cast<jobs::OrderOutcome>(wire.end()),
                         wire.clock_ms(), wire.start_unix_ms()};
  for (const peer::jobs::ListedRun& row : wire.running()) {
    result.result.running.push_back(
        {RunOf(row.run()), row.checkpoint(), row.percent(), row.measured()});
  }
  for (const peer::jobs::ListedRun& row : wire.ended()) {
    result.result.ended.push_back({row.number(), RunOf(row.run()),
                                   static_cast<jobs::RunEnd>(row.end()),
                                   row.checkpoint()});
  }
  result.result.ended_truncated = wire.ended_truncated();
  return result;
}

}  // namespace

peer::jobs::RelayBatch ToWire(const jobs::RelayBatch& batch) {
  peer::jobs::RelayBatch wire;
  wire.set_owner_address(batch.owner_address);
  wire.set_token(batch.token);
  wire.set_relay(batch.relay);
  for (const jobs::RelayedOrder& order : batch.orders) {
    peer::jobs::RelayedOrder* row = wire.add_orders();
    row->set_id(order.id);
    row->set_worker(order.worker.incarnation.id.Text());
    row->set_worker_start_unix_ms(order.worker.incarnation.start_unix_ms);
    row->set_worker_address(order.worker.address);
    row->set_send_until_us(order.send_until.count());
    std::visit([row](const auto& one) { SetOrder(one, row); }, order.order);
  }
  return wire;
}

jobs::RelayBatch FromWire(const peer::jobs::RelayBatch& wire) {
  jobs::RelayBatch batch;
  batch.owner_address = wire.owner_address();
  batch.token = wire.token();
  batch.relay = wire.relay();
  for (const peer::jobs::RelayedOrder& row : wire.orders()) {
    batch.orders.push_back(
        {row.id(),
         {{WorkerId(row.worker()), row.worker_start_unix_ms()},
          row.worker_address()},
         Duration(row.send_until_us()),
         OrderOf(row)});
  }
  return batch;
}

peer::jobs::RelayedResults ToWire(const jobs::RelayedResults& results) {
  peer::jobs::RelayedResults wire;
  wire.set_relay(results.relay.Text());
  wire.set_token(results.token);
  for (const jobs::RelayedResult& result : results.results) {
    SetResult(result, wire.add_results());
  }
  return wire;
}

jobs::RelayedResults FromWire(const peer::jobs::RelayedResults& wire) {
  jobs::RelayedResults results;
  results.relay = ProcessId(wire.relay());
  results.token = wire.token();
  for (const peer::jobs::RelayedResult& row : wire.results()) {
    results.results.push_back(ResultOf(row));
  }
  return results;
}

}  // namespace mustardproxy::peer_detail
