#include <cstdio>

#include "bench_node.h"
#include "relay.h"

namespace mustardproxy::bench {

bool MeasureHeartbeats() {
  constexpr int kHeartbeats = 2000;
  BenchNode b("b", {});
  testing::Relay relay(b.port);
  BenchNode a("a", {{"b", relay.Port()}});
  a.Heartbeat("b");
  if (!a.sink.Wait([](auto& sink) { return sink.digests == 1; })) return false;
  const std::int64_t bytes_before = relay.Bytes();
  const double cpu_before = CpuMicros();
  for (int sent = 0; sent < kHeartbeats; ++sent) {
    a.Heartbeat("b");
    const auto answered = [&](auto& sink) { return sink.digests == sent + 2; };
    if (!a.sink.Wait(answered)) return false;
  }
  const double cpu = (CpuMicros() - cpu_before) / kHeartbeats;
  const double bytes =
      static_cast<double>(relay.Bytes() - bytes_before) / kHeartbeats;
  std::printf(
      "heartbeats: %.0f bytes both ways, cpu %.1f us both ends and relay\n",
      bytes, cpu);
  return true;
}

}  // namespace mustardproxy::bench
