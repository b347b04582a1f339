#ifndef MUSTARDPROXY_GATEWAY_TESTS_GATEWAY_FIXTURE_H_
#define MUSTARDPROXY_GATEWAY_TESTS_GATEWAY_FIXTURE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/gateway/gateway.h"
#include "mustardproxy/telemetry/metrics.h"
#include "mustardproxy/telemetry/timeline.h"

namespace mustardproxy::testing {

inline constexpr std::chrono::seconds kGenerousLimit(20);

/// Stands behind the gateway: keeps each event and answers on a thread of its
/// own, as the control thread would.
class FakeCore final : public EventSink {
 public:
  using Behaviour = std::function<void(const Event&)>;

  FakeCore();
  ~FakeCore() override;

  void Post(Event event) override;
  /// What to do with each event; replaces the one before.
  void Behave(Behaviour behaviour);
  /// Waits until `count` events of a kind have come.
  /// @return them, fewer if the limit passed
  template <typename Kind>
  std::vector<Kind> WaitFor(std::size_t count) {
    std::unique_lock lock(this->mutex);
    std::vector<Kind> found;
    this->changed.wait_for(lock, kGenerousLimit, [&] {
      found.clear();
      for (const Event& event : this->seen) {
        if (const auto* kind = std::get_if<Kind>(&event)) {
          found.push_back(*kind);
        }
      }
      return found.size() >= count;
    });
    return found;
  }
  template <typename Kind>
  std::size_t Count() {
    std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const Event& event : this->seen) {
      if (std::holds_alternative<Kind>(event)) ++count;
    }
    return count;
  }

 private:
  void Run();

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Event> waiting;
  std::vector<Event> seen;
  Behaviour behaviour;
  bool stopped = false;
  std::thread thread;
};

/// An answer as a caller reads it.
struct ReceivedAnswer {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  [[nodiscard]] std::string Header(const std::string& name) const {
    auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
  [[nodiscard]] bool Says(std::string_view text) const {
    return this->body.find(text) != std::string::npos;
  }
};

/// A gateway with a fake core and a time line behind it.
class GatewayFixture {
 public:
  GatewayFixture() = default;
  ~GatewayFixture();

  /// Builds and starts; called by each test with the limits it wants.
  void Start(GatewayLimits limits = {});
  /// Sends a request on a connection of its own.
  ReceivedAnswer Send(const std::string& method, const std::string& path,
                      const std::string& body = "",
                      const std::map<std::string, std::string>& headers = {});
  ReceivedAnswer SendToOperators(const std::string& path);
  /// Answers each request with what `make` gives.
  void AnswerWith(std::function<Answer(const Request&)> make);

  FakeCore core;
  Metrics metrics;
  HybridClock clock;
  Timeline timeline{ProcessId("entry-1"), 7, 16, &clock};
  std::unique_ptr<Gateway> gateway;
  Gateway::Ports ports;
  std::atomic<bool> ready = true;
};

/// A caller that sends what it likes, byte by byte.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port);
  ~RawCaller();

  void Send(std::string_view bytes);
  /// Reads until the gateway closes the connection.
  std::string ReadAll();
  /// Reads until `text` has come.
  /// @return false if the connection ended before it
  bool ReadUntil(std::string_view text);
  void CloseSending();
  void Close();

 private:
  int descriptor = -1;
};

[[nodiscard]] Answer Completed(std::string body);

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_GATEWAY_TESTS_GATEWAY_FIXTURE_H_
