#ifndef MUSTARDPROXY_TESTING_BENCH_PEER_BENCH_NODE_H_
#define MUSTARDPROXY_TESTING_BENCH_PEER_BENCH_NODE_H_

#include <sys/resource.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/peer/peer_link.h"

namespace mustardproxy::bench {

/// @return processor time of this process so far, in microseconds
inline double CpuMicros() {
  constexpr double kMicrosPerSecond = 1e6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// Counts what comes back, and answers forwarded requests at once.
class CountingSink final : public EventSink {
 public:
  void Post(Event event) override {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      this->Echo(arrived->request);
      return;
    }
    const std::lock_guard lock(this->mutex);
    if (std::holds_alternative<ForwardAnswered>(event)) ++this->answered;
    if (std::holds_alternative<DigestArrived>(event)) ++this->digests;
    if (std::holds_alternative<ForwardFailed>(event) ||
        std::holds_alternative<PeerUnreachable>(event)) {
      ++this->failed;
    }
    this->changed.notify_all();
  }

  /// Waits until a condition on the counts holds.
  /// @return false if it did not within a minute
  template <typename Condition>
  bool Wait(Condition condition) {
    constexpr auto kLimit = std::chrono::minutes(1);
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kLimit,
                                  [&] { return condition(*this); });
  }

  PeerLink* link = nullptr;
  std::int64_t answered = 0;
  std::int64_t digests = 0;
  std::int64_t failed = 0;

 private:
  void Echo(const Request& request) {
    Answer answer;
    answer.outcome = Outcome::kCompleted;
    answer.status = 200;
    answer.body = request.body;
    this->link->TryPerform(Reply{request.id, std::move(answer)});
  }

  std::mutex mutex;
  std::condition_variable changed;
};

/// Where a node finds another.
struct NodeAddress {
  std::string process;
  std::uint16_t port = 0;
  std::string data_center = "dc1";
};

/// As an entry process keeps them.
inline constexpr std::int32_t kSpareChannels = 8;
inline constexpr auto kChannelIdle = std::chrono::seconds(30);

/// A peer link on a port of the system's.
class BenchNode {
 public:
  BenchNode(const std::string& process, const std::vector<NodeAddress>& peers,
            Duration idle = kChannelIdle) {
    this->digest.process = ProcessId(process);
    this->digest.incarnation = 1;
    this->digest.data_center = DataCenterId("dc1");
    this->digest.journals = {JournalId("journal.of." + process)};
    std::vector<PeerAddress> addresses;
    addresses.reserve(peers.size());
    for (const NodeAddress& peer : peers) {
      addresses.push_back(
          {{ProcessId(peer.process), DataCenterId(peer.data_center)},
           "127.0.0.1:" + std::to_string(peer.port)});
    }
    this->link = PeerLink::Builder()
                     .Customer("bench")
                     .Self({this->digest.process, this->digest.data_center}, 1)
                     .Listen("127.0.0.1", 0)
                     .Peers(std::move(addresses))
                     .Sink(&this->sink)
                     .Clock(&this->clock)
                     .SpareChannels(kSpareChannels, idle)
                     .Build();
    this->sink.link = this->link.get();
    const Result<std::uint16_t> started = this->link->Start();
    if (started) this->port = started.value();
    this->link->Publish(this->digest, "{}");
  }

  void Heartbeat(const std::string& peer) {
    this->link->Perform(SendDigest{ProcessId(peer), this->digest});
  }

  CountingSink sink;
  HybridClock clock;
  Digest digest;
  std::uint16_t port = 0;
  std::unique_ptr<PeerLink> link;
};

/// Each measurement prints its lines and returns false if it did not come to
/// its end.
[[nodiscard]] bool MeasureMemory();
[[nodiscard]] bool MeasureForwards();
[[nodiscard]] bool MeasureHeartbeats();

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_TESTING_BENCH_PEER_BENCH_NODE_H_
