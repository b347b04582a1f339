#include "dispatcher.h"

#include <limits>
#include <string>
#include <utility>

namespace mustardproxy::bench {

ProductDispatcher::ProductDispatcher(const Configuration& configuration,
                                     Ledger* ledger, bool learns)
    : ledger(ledger), learns(learns) {
  this->scheduler.Configure(configuration);
}

bool ProductDispatcher::Enqueue(Instant now, const QueuedRequest& request) {
  return !this->scheduler.Enqueue(now, *this->ledger, request).refusal;
}

std::vector<Placement> ProductDispatcher::Schedule(Instant now) {
  return this->scheduler.Schedule(now, this->ledger,
                                  std::numeric_limits<std::size_t>::max());
}

std::vector<RequestId> ProductDispatcher::Expire(Instant now) {
  return this->scheduler.Expire(now);
}

void ProductDispatcher::Done(Instant now, const Placement& placement) {
  this->scheduler.TaskDone(now, this->ledger, placement.task, this->learns);
}

FifoDispatcher::FifoDispatcher(const Configuration& configuration,
                               Ledger* ledger)
    : configuration(configuration), ledger(ledger) {}

bool FifoDispatcher::Enqueue(Instant /*now*/, const QueuedRequest& request) {
  this->queue.push_back(request);
  return true;
}

std::vector<Placement> FifoDispatcher::Schedule(Instant /*now*/) {
  std::vector<Placement> placements;
  while (!this->queue.empty()) {
    const QueuedRequest& head = this->queue.front();
    const Service& service = this->configuration.services.at(head.service);
    const std::vector<WorkerId> workers = this->ledger->FindGang(
        service.resources, service.tasks, Packing::kFirstFit, {});
    if (workers.empty()) break;
    for (std::size_t i = 0; i < workers.size(); ++i) {
      const TaskId task(head.request.Text() + "/" + std::to_string(i) + "/1");
      if (!this->ledger->Reserve(workers[i], task, service.resources)) continue;
      placements.push_back({head.request, task, workers[i], service.resources});
    }
    this->queue.pop_front();
  }
  return placements;
}

std::vector<RequestId> FifoDispatcher::Expire(Instant now) {
  std::vector<RequestId> expired;
  while (!this->queue.empty() && this->queue.front().place_by <= now) {
    expired.push_back(this->queue.front().request);
    this->queue.pop_front();
  }
  return expired;
}

void FifoDispatcher::Done(Instant /*now*/, const Placement& placement) {
  this->ledger->Free(placement.worker, placement.task);
}

}  // namespace mustardproxy::bench
