#include "waiting.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace mustardproxy::gateway_detail {
namespace {

using SteadyClock = std::chrono::steady_clock;

int MillisecondsUntil(SteadyClock::time_point deadline) {
  auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline -
                                                           SteadyClock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

}  // namespace

Waiter::Waiter() : descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

Waiter::~Waiter() {
  if (this->descriptor >= 0) close(this->descriptor);
}

void Waiter::Settle(Settlement settlement) {
  std::lock_guard lock(this->mutex);
  if (this->settlement) return;
  this->settlement = std::move(settlement);
  eventfd_write(this->descriptor, 1);
}

Waiter::End Waiter::Wait(int descriptor, Duration timeout) {
  auto deadline = SteadyClock::now() + timeout;
  std::array<pollfd, 2> polled{
      pollfd{.fd = this->descriptor, .events = POLLIN, .revents = 0},
      pollfd{.fd = descriptor, .events = POLLRDHUP, .revents = 0}};
  for (;;) {
    int left = MillisecondsUntil(deadline);
    int ready = poll(polled.data(), polled.size(), left);
    if (ready < 0 && errno == EINTR) continue;
    if (ready == 0) return End::kTimedOut;
    return polled[0].revents != 0 ? End::kSettled : End::kCallerGone;
  }
}

Settlement Waiter::Take() {
  std::lock_guard lock(this->mutex);
  return std::move(*this->settlement);
}

}  // namespace mustardproxy::gateway_detail
