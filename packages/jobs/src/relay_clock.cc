#include "relay_clock.h"

#include <algorithm>

namespace mustardproxy::jobs {
namespace {

/// Two monotonic clocks differ in rate by less than one in this many.
constexpr std::int64_t kDriftDivisor = 2000;

}  // namespace

Duration RelayClock::Drift(const Bound& bound, Instant now) {
  return std::max(Duration::zero(), now - bound.noted) / kDriftDivisor;
}

void RelayClock::Note(Instant sent, Instant received, Duration reading) {
  const Bound low{reading - received.time_since_epoch(), received};
  const Bound high{reading - sent.time_since_epoch(), received};
  if (!this->least || low.difference >= this->least->difference -
                                            Drift(*this->least, received)) {
    this->least = low;
  }
  if (!this->most || high.difference <= this->most->difference +
                                            Drift(*this->most, received)) {
    this->most = high;
  }
  // The relay's clock was set, for example by a restart of its host.
  if (this->Uncertainty(received) < Duration::zero()) {
    this->least = low;
    this->most = high;
  }
}

Duration RelayClock::Uncertainty(Instant now) const {
  if (!this->least || !this->most) return Duration::max();
  return this->most->difference + Drift(*this->most, now) -
         this->least->difference + Drift(*this->least, now);
}

Duration RelayClock::LeastReading(Instant moment) const {
  return moment.time_since_epoch() + this->least->difference -
         Drift(*this->least, moment);
}

Instant RelayClock::EarliestInstant(Duration reading, Instant now) const {
  return Instant(reading - this->most->difference - Drift(*this->most, now));
}

}  // namespace mustardproxy::jobs
