#ifndef MUSTARDPROXY_PEER_TESTS_NODE_H_
#define MUSTARDPROXY_PEER_TESTS_NODE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event_list.h"
#include "mustardproxy/peer/peer_link.h"

namespace mustardproxy::testing {

inline constexpr Incarnation kIncarnation = 0xabcdef0123456789;

/// Connections to other data centres that stay open without being used.
inline constexpr std::int32_t kSpareChannels = 1;

/// Where a node finds another.
struct NodeAddress {
  std::string process;
  std::uint16_t port = 0;
  std::string data_center = "dc1";
};

/// A peer link with all that it needs, listening on a port of the system's.
class Node {
 public:
  explicit Node(const std::string& process,
                const std::vector<NodeAddress>& peers = {},
                const std::string& customer = "dlonie",
                Duration stop_limit = std::chrono::milliseconds(100))
      : process(process) {
    std::vector<PeerAddress> addresses;
    addresses.reserve(peers.size());
    for (const NodeAddress& peer : peers) {
      addresses.push_back(
          {{ProcessId(peer.process), DataCenterId(peer.data_center)},
           "127.0.0.1:" + std::to_string(peer.port)});
    }
    this->link =
        PeerLink::Builder()
            .Customer(customer)
            .Self({ProcessId(process), DataCenterId("dc1")}, kIncarnation)
            .Listen("127.0.0.1", 0)
            .Peers(std::move(addresses))
            .ConfigurationParser(ParseVersion)
            .Sink(&this->events)
            .Clock(&this->clock)
            .Measure(&this->metrics)
            .StopLimit(stop_limit)
            .SpareChannels(kSpareChannels, Duration(0))
            .Build();
    const Result<std::uint16_t> started = this->link->Start();
    if (started) this->port = started.value();
  }

  [[nodiscard]] NodeAddress Address() const {
    return {this->process, this->port, "dc1"};
  }

  /// @return a digest that names this node
  [[nodiscard]] Digest MakeDigest() const {
    Digest digest;
    digest.process = ProcessId(this->process);
    digest.incarnation = kIncarnation;
    digest.data_center = DataCenterId("dc1");
    return digest;
  }

  /// Sends heartbeats until one is answered.
  [[nodiscard]] bool Connect(const std::string& peer) {
    const auto limit = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < limit) {
      this->link->Perform(SendDigest{ProcessId(peer), this->MakeDigest()});
      if (!this->events.WaitForAny<DigestArrived, PeerUnreachable>()) break;
      if (this->events.Holds<DigestArrived>()) {
        this->events.Take<DigestArrived>();
        return true;
      }
      this->events.Take<PeerUnreachable>();
    }
    return false;
  }

  std::string process;
  std::uint64_t wall_micros = 1'700'000'000'000'000;
  HybridClock clock{[this] { return this->wall_micros; }};
  EventList events;
  Metrics metrics;
  std::unique_ptr<PeerLink> link;
  std::uint16_t port = 0;

 private:
  /// The document of these tests is its version.
  static std::optional<Configuration> ParseVersion(std::string_view text) {
    if (text.find_first_not_of("0123456789") != std::string_view::npos) {
      return std::nullopt;
    }
    Configuration configuration;
    configuration.version = std::stoull(std::string(text));
    return configuration;
  }
};

/// @return a request with a body
inline Request MakeRequest(const std::string& id, std::string body = "in") {
  Request request;
  request.id = RequestId(id);
  request.service = ServiceId("screen");
  request.team = TeamId("addis");
  request.hops = 1;
  request.origin = ProcessId("e1");
  request.body = std::make_shared<const std::string>(std::move(body));
  return request;
}

/// @return a completed answer with a body
inline Answer MakeAnswer(std::string body) {
  Answer answer;
  answer.outcome = Outcome::kCompleted;
  answer.status = 200;
  answer.content_type = "text/plain";
  answer.body = std::make_shared<const std::string>(std::move(body));
  return answer;
}

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_PEER_TESTS_NODE_H_
