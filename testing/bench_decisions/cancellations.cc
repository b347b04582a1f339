#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "cell.h"
#include "mustardproxy/core/scheduler.h"
#include "sections.h"

namespace mustardproxy::bench {
namespace {

constexpr int kWave = 10'000;
constexpr int kSmallWave = 1'000;

using SteadyClock = std::chrono::steady_clock;

double Nanoseconds(SteadyClock::time_point since) {
  return std::chrono::duration<double, std::nano>(SteadyClock::now() - since)
      .count();
}

/// A cell that is full of deferred work, with more of it queued.
class FullCell {
 public:
  FullCell()
      : cell(Dlonie()),
        mix(MakeMix(this->cell, {"a"})),
        ledger(OpenCell(this->cell)) {
    this->scheduler.Configure(this->mix.configuration);
    this->now = Instant(std::chrono::seconds(1));
    for (int i = 0; i < 200; ++i) this->Enqueue("run", i, "rota");
    this->running = this->scheduler.Schedule(this->now, &this->ledger, 1000);
  }

  void Enqueue(const char* prefix, int number, const char* service) {
    QueuedRequest request;
    request.request =
        RequestId(std::string(prefix).append(std::to_string(number)));
    request.service = ServiceId(service);
    request.team = TeamId("a");
    request.arrived = this->now;
    request.placement_deadline = this->now + std::chrono::minutes(10);
    (void)this->scheduler.Enqueue(this->now, this->ledger, request, true);
  }

  /// Cancels `count` of the queued requests.
  /// @return ns for all
  double Cancel(int count) {
    std::vector<RequestId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      ids.emplace_back(std::string("wait").append(std::to_string(i)));
    }
    const auto begin = SteadyClock::now();
    for (const RequestId& id : ids) this->scheduler.Cancel(id);
    return Nanoseconds(begin);
  }

  /// @return ns until an urgent request is placed once room is there
  double PlaceUrgent() {
    this->scheduler.OnTaskEnded(this->now, &this->ledger,
                                this->running.back().task, true);
    this->running.pop_back();
    const auto begin = SteadyClock::now();
    this->Enqueue("urgent", ++this->urgent, "screen");
    (void)this->scheduler.Expire(this->now);
    const auto placed =
        this->scheduler.Schedule(this->now, &this->ledger, 1000);
    const double passed = Nanoseconds(begin);
    if (placed.empty()) std::printf("urgent request was not placed\n");
    return passed;
  }

 private:
  CellShape cell;
  Mix mix;
  Ledger ledger;
  Scheduler scheduler;
  Instant now;
  std::vector<Placement> running;
  int urgent = 0;
};

/// Cancels a wave of requests out of a queue of `waiting`, those that are due
/// first, as callers give up.
void CancelWave(int waiting, double small_ns) {
  FullCell large;
  for (int i = 0; i < waiting; ++i) large.Enqueue("wait", i, "rota");
  large.PlaceUrgent();
  const double before = large.PlaceUrgent();
  const double wave = large.Cancel(kWave);
  const double first = large.PlaceUrgent();
  const double after = large.PlaceUrgent();
  std::printf("%d wait, ", waiting);
  std::printf(
      "%d cancellations: %.0f ns each; baseline: %.0f ns each in a "
      "wave of %d; ratio %.2f\n",
      kWave, wave / kWave, small_ns, kSmallWave, wave / kWave / small_ns);
  std::printf(
      "urgent request, arrival to placement: first after the wave %.1f "
      "us, next %.1f us; baseline: %.1f us before it; ratio %.2f; the "
      "wave itself holds the control thread for %.2f ms\n",
      first / 1e3, after / 1e3, before / 1e3, first / before, wave / 1e6);
}

}  // namespace

void BenchCancellations(const BenchOptions& /*options*/) {
  FullCell small;
  for (int i = 0; i < kSmallWave; ++i) small.Enqueue("wait", i, "rota");
  const double small_ns = small.Cancel(kSmallWave) / kSmallWave;
  for (const int waiting : {kWave, 2 * kWave}) CancelWave(waiting, small_ns);
}

}  // namespace mustardproxy::bench
