#include <cstdio>
#include <memory>
#include <string>

#include "bench_node.h"

namespace mustardproxy::bench {
namespace {

struct Load {
  int window = 1;
  std::size_t body_bytes = 1024;
  int requests = 0;
};

struct Cost {
  double per_second = 0;
  double cpu_micros = 0;
  bool complete = false;
};

Request MakeRequest(int number, const Body& body) {
  Request request;
  request.id = RequestId("a.1." + std::to_string(number));
  request.service = ServiceId("screen");
  request.team = TeamId("team");
  request.body = body;
  request.hops = 1;
  return request;
}

/// Keeps `window` requests in progress until all have been answered.
Cost Run(const Load& load) {
  BenchNode b("b", {});
  BenchNode a("a", {{"b", b.port}});
  a.Heartbeat("b");
  Cost cost;
  if (!a.sink.Wait([](auto& sink) { return sink.digests == 1; })) return cost;
  const Body body = std::make_shared<const std::string>(load.body_bytes, 'x');
  const double cpu = CpuMicros();
  const auto start = std::chrono::steady_clock::now();
  for (int sent = 0; sent < load.requests; ++sent) {
    a.link->Perform(ForwardRequest{ProcessId("b"), MakeRequest(sent, body)});
    const auto room = [&](auto& sink) {
      return sent + 1 - sink.answered - sink.failed < load.window;
    };
    if (!a.sink.Wait(room)) return cost;
  }
  const auto all = [&](auto& sink) {
    return sink.answered + sink.failed == load.requests;
  };
  if (!a.sink.Wait(all)) return cost;
  const std::chrono::duration<double> taken =
      std::chrono::steady_clock::now() - start;
  cost.per_second = load.requests / taken.count();
  cost.cpu_micros = (CpuMicros() - cpu) / load.requests;
  cost.complete = a.sink.failed == 0;
  return cost;
}

void Print(const Load& load, const Cost& cost, const Cost& baseline) {
  std::printf(
      "forwards: window %3d, %7zu bytes: %8.0f/s (x%.2f), cpu %7.1f us both "
      "ends (x%.2f)%s\n",
      load.window, load.body_bytes, cost.per_second,
      cost.per_second / baseline.per_second, cost.cpu_micros,
      cost.cpu_micros / baseline.cpu_micros,
      cost.complete ? "" : " INCOMPLETE");
}

}  // namespace

bool MeasureForwards() {
  constexpr std::size_t kKilobyte = 1024;
  const Load first{1, kKilobyte, 5000};
  std::printf("forwards: baseline is window 1 with 1024 bytes\n");
  const Cost baseline = Run(first);
  Print(first, baseline, baseline);
  bool complete = baseline.complete;
  for (const Load& load :
       {Load{16, kKilobyte, 20000}, Load{64, kKilobyte, 20000},
        Load{256, kKilobyte, 20000}, Load{4, 64 * kKilobyte, 2000},
        Load{4, 1024 * kKilobyte, 200}}) {
    const Cost cost = Run(load);
    Print(load, cost, baseline);
    complete = complete && cost.complete;
  }
  return complete;
}

}  // namespace mustardproxy::bench
