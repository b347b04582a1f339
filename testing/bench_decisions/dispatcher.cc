#include "dispatcher.h"

#include <limits>
#include <string>
#include <utility>

namespace mustardproxy::bench {

ProductDispatcher::ProductDispatcher(const Configuration& configuration,
                                     Ledger* ledger, bool learns,
                                     SchedulerOptions options)
    : scheduler(options), ledger(ledger), learns(learns) {
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

void ProductDispatcher::Done(Instant now, const Placement& placement,
                             bool ran) {
  this->scheduler.OnTaskEnded(now, this->ledger, placement.task,
                              this->learns && ran);
}

void ProductDispatcher::Requeue(Instant now, const QueuedRequest& request) {
  (void)this->scheduler.Enqueue(now, *this->ledger, request, true);
}

std::vector<Preemption> ProductDispatcher::ChooseVictims(Instant now) {
  return this->scheduler.ChooseVictims(now, *this->ledger);
}

EjectingDispatcher::EjectingDispatcher(const CellShape& cell,
                                       const Configuration& configuration,
                                       Ledger* ledger)
    : product(configuration, ledger),
      ledger(ledger),
      health(WorkerHealthOptions{}) {
  for (std::int32_t i = 0; i < cell.workers; ++i) {
    this->health.Add(WorkerName(i));
  }
}

bool EjectingDispatcher::Enqueue(Instant now, const QueuedRequest& request) {
  this->services[request.request] = request.service;
  return this->product.Enqueue(now, request);
}

std::vector<Placement> EjectingDispatcher::Schedule(Instant now) {
  if (this->health.NextWakeup() <= now) this->FollowHealth(now);
  return this->product.Schedule(now);
}

std::vector<RequestId> EjectingDispatcher::Expire(Instant now) {
  return this->product.Expire(now);
}

void EjectingDispatcher::Done(Instant now, const Placement& placement,
                              bool ran) {
  const ServiceId& service = this->services.at(placement.request);
  if (ran) {
    this->health.OnSuccess(now, placement.worker, service);
  } else {
    this->health.OnFailure(now, placement.worker, service, placement.request);
  }
  this->product.Done(now, placement, ran);
  this->FollowHealth(now);
}

void EjectingDispatcher::Requeue(Instant now, const QueuedRequest& request) {
  this->product.Requeue(now, request);
}

std::vector<Preemption> EjectingDispatcher::ChooseVictims(Instant now) {
  return this->product.ChooseVictims(now);
}

void EjectingDispatcher::FollowHealth(Instant now) {
  for (const WorkerId& worker : this->health.TakeChanged(now)) {
    const WorkerAvailability standing = this->health.Availability(now, worker);
    this->ledger->SetPlaceable(worker, standing.placeable, standing.share);
  }
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
      const TaskId task(head.request.Text() + "/" + std::to_string(i) + "/" +
                        std::to_string(head.attempt));
      if (!this->ledger->Reserve(workers[i], task, service.resources)) continue;
      placements.push_back({head.request, task, workers[i], service.resources});
    }
    this->queue.pop_front();
  }
  return placements;
}

std::vector<RequestId> FifoDispatcher::Expire(Instant now) {
  std::vector<RequestId> expired;
  while (!this->queue.empty() &&
         this->queue.front().placement_deadline <= now) {
    expired.push_back(this->queue.front().request);
    this->queue.pop_front();
  }
  return expired;
}

void FifoDispatcher::Done(Instant /*now*/, const Placement& placement,
                          bool /*ran*/) {
  this->ledger->Release(placement.worker, placement.task);
}

void FifoDispatcher::Requeue(Instant /*now*/, const QueuedRequest& request) {
  this->queue.push_back(request);
}

std::vector<Preemption> FifoDispatcher::ChooseVictims(Instant /*now*/) {
  return {};
}

}  // namespace mustardproxy::bench
