#include <dirent.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <thread>
#include <vector>

#include "bench_node.h"

namespace mustardproxy::bench {
namespace {

constexpr int kTargets = 63;
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(500);
/// Finds what the last round did not use, as 30 s do at the real pace.
constexpr auto kShortIdle = std::chrono::milliseconds(600);
constexpr int kRounds = 8;
/// Members of a data centre but oneself at the size to build towards.
constexpr int kLocal = 7;
/// Peers that heartbeats go to there: the local ones and a link to each of the
/// other data centres.
constexpr int kLinked = 14;
/// So many that all others have been used after the last round.
constexpr int kOnce = 7;

using Ports = std::array<std::uint16_t, kTargets>;

struct Footprint {
  bool complete = false;
  long resident_kb = 0;
  int threads = 0;
  /// Thousandths of one processor, with a heartbeat to each peer every 500 ms.
  double cpu_milli = 0;
};

std::string TargetName(int index) { return "target-" + std::to_string(index); }

long ResidentKb() {
  std::ifstream statm("/proc/self/statm");
  long total = 0;
  long resident = 0;
  statm >> total >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

int ThreadCount() {
  int count = 0;
  DIR* const tasks = opendir("/proc/self/task");
  if (tasks == nullptr) return 0;
  while (const dirent* const entry = readdir(tasks)) {
    if (entry->d_name[0] != '.') ++count;
  }
  closedir(tasks);
  return count;
}

template <typename T>
bool ReadAll(int fd, T* value) {
  auto* at = reinterpret_cast<char*>(value);
  std::size_t left = sizeof(T);
  while (left > 0) {
    const ssize_t got = read(fd, at, left);
    if (got <= 0) return false;
    at += got;
    left -= static_cast<std::size_t>(got);
  }
  return true;
}

/// Runs `body` in a process of its own, which writes its result to `write_fd`.
template <typename Body>
pid_t Fork(int write_fd, Body body) {
  const pid_t child = fork();
  if (child != 0) return child;
  const auto result = body();
  const bool written = write(write_fd, &result, sizeof(result)) ==
                       static_cast<ssize_t>(sizeof(result));
  _exit(written ? 0 : 1);
}

/// The peers that a process goes on using, and how many others it uses once in
/// each round, in turn.
struct Use {
  int lasting = 0;
  int once = 0;
};

/// Heartbeats in rounds at the usual pace.
Footprint MeasureIdle(const Ports& ports, const Use& use) {
  const int peers = use.once > 0 ? kTargets : use.lasting;
  std::vector<NodeAddress> addresses;
  addresses.reserve(peers);
  for (int i = 0; i < peers; ++i)
    addresses.push_back(
        {TargetName(i), ports[i], i < kLocal ? "dc1" : "elsewhere"});
  BenchNode node("a", addresses, use.once > 0 ? kShortIdle : kChannelIdle);
  Footprint footprint;
  double cpu = 0;
  std::int64_t expected = 0;
  auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    if (round == 1) {  // all are connected
      cpu = CpuMicros();
      start = std::chrono::steady_clock::now();
    }
    const int first = use.lasting + round * use.once;
    const int last = std::min(first + use.once, peers);
    for (int i = 0; i < use.lasting; ++i) node.Heartbeat(addresses[i].process);
    for (int i = first; i < last; ++i) node.Heartbeat(addresses[i].process);
    expected += use.lasting + std::max(last - first, 0);
    const auto answered = [&](auto& sink) { return sink.digests >= expected; };
    if (!node.sink.Wait(answered)) return footprint;
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
  constexpr double kMilli = 1000;
  footprint.cpu_milli = kMilli * (CpuMicros() - cpu) / taken.count();
  footprint.resident_kb = ResidentKb();
  footprint.threads = ThreadCount();
  footprint.complete = true;
  return footprint;
}

/// Listens as all targets until `stop_fd` is closed at its other end.
[[noreturn]] void ServeTargets(int ports_fd, int stop_fd) {
  std::vector<std::unique_ptr<BenchNode>> nodes;
  Ports ports{};
  for (int i = 0; i < kTargets; ++i) {
    nodes.push_back(
        std::make_unique<BenchNode>(TargetName(i), std::vector<NodeAddress>()));
    ports[i] = nodes.back()->port;
  }
  char byte = 0;
  const bool served = write(ports_fd, ports.data(), sizeof(ports)) > 0 &&
                      read(stop_fd, &byte, 1) == 0;
  _exit(served ? 0 : 1);
}

Footprint RunIdle(const Ports& ports, const Use& use) {
  Footprint footprint;
  std::array<int, 2> result{};
  if (pipe(result.data()) != 0) return footprint;
  const pid_t child = Fork(result[1], [&] { return MeasureIdle(ports, use); });
  close(result[1]);
  if (!ReadAll(result[0], &footprint)) footprint.complete = false;
  close(result[0]);
  waitpid(child, nullptr, 0);
  return footprint;
}

bool PrintIdle(const Ports& ports) {
  const Footprint none = RunIdle(ports, {});
  std::printf("memory: baseline is 0 channels: %ld KB, %d threads\n",
              none.resident_kb, none.threads);
  bool complete = none.complete;
  for (const int peers : {1, 8, 32, kTargets}) {
    const Footprint some = RunIdle(ports, {peers, 0});
    const double grown =
        static_cast<double>(some.resident_kb - none.resident_kb);
    std::printf(
        "memory: %2d channels: %ld KB (x%.2f), %.0f KB for each channel, %d "
        "threads, %.1f thousandths of a processor\n",
        peers, some.resident_kb,
        static_cast<double>(some.resident_kb) /
            static_cast<double>(none.resident_kb),
        grown / peers, some.threads, some.cpu_milli);
    complete = complete && some.complete;
  }
  const Footprint most = RunIdle(ports, {kLinked, kOnce});
  std::printf(
      "memory: %d channels used on and %d others in turn, %d at a time: %ld KB "
      "(x%.2f), %d threads, %.1f thousandths of a processor\n",
      kLinked, kTargets - kLinked, kOnce, most.resident_kb,
      static_cast<double>(most.resident_kb) /
          static_cast<double>(none.resident_kb),
      most.threads, most.cpu_milli);
  return complete && most.complete;
}

}  // namespace

bool MeasureMemory() {
  std::array<int, 2> ports_pipe{};
  std::array<int, 2> stop_pipe{};
  if (pipe(ports_pipe.data()) != 0 || pipe(stop_pipe.data()) != 0) return false;
  const pid_t targets = fork();
  if (targets == 0) {
    close(stop_pipe[1]);
    ServeTargets(ports_pipe[1], stop_pipe[0]);
  }
  Ports ports{};
  bool complete = ReadAll(ports_pipe[0], &ports);
  if (complete) complete = PrintIdle(ports);
  close(stop_pipe[1]);
  waitpid(targets, nullptr, 0);
  return complete;
}

}  // namespace mustardproxy::bench
