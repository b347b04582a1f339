// Starts per second that one worker link reaches on loopback. With an address
// (`bench_worker [seconds] [in flight] [body bytes] [ip:port...]`) the workers
// are other processes, so that only the link's own cost is measured here.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/worker/worker_link.h"
#include "standin/worker.h"

namespace mustardproxy {
namespace {

using std::chrono::seconds;

constexpr Epoch kEpoch = 1;

/// Counts results and keeps the time of each start.
class Results : public EventSink {
 public:
  void Begun(const TaskId& task) {
    const std::lock_guard lock(this->mutex);
    this->begun[task] = SteadyNow();
  }

  void Post(Event event) override {
    const std::lock_guard lock(this->mutex);
    if (const auto* ended = std::get_if<TaskEnded>(&event)) {
      const auto found = this->begun.find(ended->ended.task);
      this->micros.push_back((SteadyNow() - found->second).count());
      this->begun.erase(found);
      ++this->ended;
    } else if (std::holds_alternative<WorkerAttached>(event)) {
      ++this->attached;
    } else {
      ++this->others;
    }
    this->changed.notify_all();
  }

  void AwaitAttached(int count) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->attached >= count; });
  }

  /// Waits until fewer than `limit` starts are in flight.
  void AwaitRoom(std::int64_t sent, std::int64_t limit) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(
        lock, [&] { return sent - this->ended - this->others < limit; });
  }

  /// @return quantile of the time from start to answer, in microseconds
  std::int64_t Quantile(double q) {
    const std::lock_guard lock(this->mutex);
    if (this->micros.empty()) return 0;
    std::sort(this->micros.begin(), this->micros.end());
    const auto last = static_cast<double>(this->micros.size() - 1);
    return this->micros[static_cast<std::size_t>(q * last)];
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::unordered_map<TaskId, Instant> begun;
  std::vector<std::int64_t> micros;
  std::int64_t ended = 0;
  std::int64_t others = 0;
  int attached = 0;
};

double ProcessorSeconds() {
  constexpr double kMicro = 1e-6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicro * static_cast<double>(usage.ru_utime.tv_usec +
                                      usage.ru_stime.tv_usec);
}

struct Plan {
  seconds length{5};
  std::int64_t in_flight = 8;
  std::size_t body_bytes = 100;
  std::vector<std::string> addresses;
};

void Attach(const Plan& plan, WorkerLink* link, Results* results) {
  for (const std::string& address : plan.addresses) {
    link->Perform(AttachWorker{WorkerId("worker"), address, kEpoch,
                               std::chrono::minutes(10)});
  }
  results->AwaitAttached(static_cast<int>(plan.addresses.size()));
}

void Run(const Plan& plan) {
  Results results;
  const auto link = WorkerLink::Builder()
                        .Holder(ProcessId("bench"), 1)
                        .Sink(&results)
                        .Build();
  Attach(plan, link.get(), &results);
  StartTask start;
  start.worker = WorkerId("worker");
  start.epoch = kEpoch;
  start.timeout = seconds(30);
  start.spec.resources = {1, 1, 0, 1};
  start.spec.body = std::make_shared<const std::string>(plan.body_bytes, 'b');
  const double processor = ProcessorSeconds();
  const Instant begin = SteadyNow();
  std::int64_t sent = 0;
  while (SteadyNow() < begin + plan.length) {
    results.AwaitRoom(sent, plan.in_flight);
    start.address = plan.addresses[sent % plan.addresses.size()];
    // Workers are told apart by id, for their number of connections.
    start.worker = WorkerId(start.address);
    start.spec.task =
        TaskId("bench/" + std::to_string(begin.time_since_epoch().count()) +
               "/" + std::to_string(sent));
    results.Begun(start.spec.task);
    link->Perform(start);
    ++sent;
  }
  results.AwaitRoom(sent, 1);
  const double elapsed =
      std::chrono::duration<double>(SteadyNow() - begin).count();
  const double used = ProcessorSeconds() - processor;
  std::cout << "bench_worker: " << plan.addresses.size() << " workers, "
            << plan.in_flight << " in flight, " << plan.body_bytes
            << " byte bodies: " << results.ended << " ended, " << results.others
            << " otherwise, " << static_cast<double>(results.ended) / elapsed
            << " starts/s, p50 " << results.Quantile(0.5) << " us, p99 "
            << results.Quantile(0.99) << " us, " << used / elapsed
            << " processors in this process\n";
}

Plan ReadPlan(const std::vector<std::string>& arguments) {
  Plan plan;
  if (!arguments.empty()) plan.length = seconds(std::stoi(arguments[0]));
  if (arguments.size() > 1) plan.in_flight = std::stoll(arguments[1]);
  if (arguments.size() > 2) plan.body_bytes = std::stoull(arguments[2]);
  for (std::size_t i = 3; i < arguments.size(); ++i) {
    plan.addresses.push_back(arguments[i]);
  }
  return plan;
}

}  // namespace
}  // namespace mustardproxy

int main(int argc, char** argv) {
  auto plan = mustardproxy::ReadPlan({argv + 1, argv + argc});
  std::unique_ptr<mustardproxy::standin::StandinWorker> worker;
  if (plan.addresses.empty()) {
    mustardproxy::standin::WorkerOptions options;
    options.capacity = {100'000, 100'000, 0, 64};
    worker = std::make_unique<mustardproxy::standin::StandinWorker>(options);
    plan.addresses.push_back(worker->Address());
  }
  mustardproxy::Run(plan);
  return 0;
}
