#include "housekeeper.h"

#include <chrono>
#include <utility>

namespace mustardproxy::gateway_detail {
namespace {

constexpr std::chrono::seconds kInterval(5);

}  // namespace

Housekeeper::Housekeeper(std::function<void()> work)
    : work(std::move(work)), thread([this] { this->Run(); }) {}

Housekeeper::~Housekeeper() {
  {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

void Housekeeper::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    this->changed.wait_for(lock, kInterval, [this] { return this->stopped; });
    this->work();
  }
}

}  // namespace mustardproxy::gateway_detail
