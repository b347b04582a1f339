#include "signals.h"

namespace mustardproxy {

Signals::Signals(std::span<const int> awaited) {
  sigemptyset(&this->signals);
  for (const int signal : awaited) sigaddset(&this->signals, signal);
  pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int Signals::Wait() const {
  int signal = 0;
  while (sigwait(&this->signals, &signal) != 0) {
  }
  return signal;
}

}  // namespace mustardproxy
