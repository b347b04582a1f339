#include "client_calls.h"

#include <grpc/support/time.h>

namespace mustardproxy::peer_detail {

bool CallRegistry::Add(grpc::ClientContext* context,
                       std::shared_ptr<void> call) {
  std::vector<std::shared_ptr<void>> freed;
  const std::lock_guard lock(this->mutex);
  freed.swap(this->ended);
  if (this->closed) return false;
  this->calls.emplace(context, std::move(call));
  return true;
}

void CallRegistry::Retire(grpc::ClientContext* context) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->calls.find(context);
  this->ended.push_back(std::move(found->second));
  this->calls.erase(found);
  if (this->calls.empty()) this->emptied.notify_all();
}

void CallRegistry::Close(std::chrono::milliseconds limit) {
  std::vector<std::shared_ptr<void>> freed;
  std::unique_lock lock(this->mutex);
  this->closed = true;
  const auto empty = [this] { return this->calls.empty(); };
  if (!this->emptied.wait_for(lock, limit, empty)) {
    for (const auto& [context, call] : this->calls) context->TryCancel();
    this->emptied.wait(lock, empty);
  }
  freed.swap(this->ended);
}

void SetTimeout(std::chrono::milliseconds timeout,
                grpc::ClientContext* context) {
  const gpr_timespec span = gpr_time_from_millis(timeout.count(), GPR_TIMESPAN);
  context->set_deadline(gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), span));
}

}  // namespace mustardproxy::peer_detail
