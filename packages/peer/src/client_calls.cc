#include "client_calls.h"

#include <grpc/support/time.h>

namespace mustardproxy::detail {

bool CallRegistry::Add(grpc::ClientContext* call) {
  const std::lock_guard lock(this->mutex);
  if (this->closed) return false;
  this->calls.insert(call);
  return true;
}

void CallRegistry::Remove(grpc::ClientContext* call) {
  const std::lock_guard lock(this->mutex);
  this->calls.erase(call);
  if (this->calls.empty()) this->emptied.notify_all();
}

void CallRegistry::Close(std::chrono::milliseconds limit) {
  std::unique_lock lock(this->mutex);
  this->closed = true;
  const auto empty = [this] { return this->calls.empty(); };
  if (this->emptied.wait_for(lock, limit, empty)) return;
  for (grpc::ClientContext* const call : this->calls) call->TryCancel();
  this->emptied.wait(lock, empty);
}

void SetTimeout(std::chrono::milliseconds timeout,
                grpc::ClientContext* context) {
  const gpr_timespec span = gpr_time_from_millis(timeout.count(), GPR_TIMESPAN);
  context->set_deadline(gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), span));
}

}  // namespace mustardproxy::detail
