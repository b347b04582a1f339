#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "mustardproxy/adapter/platform_clients.h"
#include "mustardproxy/http/async_client.h"
#include "mustardproxy/http/listener.h"
#include "mustardproxy/peer/job_link.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "mustardproxy/telemetry/process_usage.h"
#include "order_relay.h"
#include "relayed_worker_driver.h"
#include "thread_executor.h"

namespace mustardproxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 300;
constexpr Incarnation kRelayIncarnation = 1;
constexpr Duration kOrderInterval{500};
constexpr Duration kPhase = seconds(4);
constexpr std::size_t kPayloadBytes = 200;
constexpr int kRounds = 2;
constexpr double kMicrosPerSecond = 1e6;

/// All workers: answers each order at once.
class WorkerSurface final : public http::Surface {
 public:
  std::optional<http::HttpAnswer> Handle(
      const http::HttpCall& /*call*/) override {
    return http::TextAnswer(200, "application/json",
                            R"({"clockMs":1000,"born":1700000000000,)"
                            R"("running":[["job.0.0.1",7,"500",40,900]],)"
                            R"("endedRuns":[]})");
  }
  http::HttpAnswer Refuse(std::int32_t status, std::error_code /*error*/,
                          std::string detail) override {
    return http::TextAnswer(status, "text/plain", std::move(detail));
  }
};

/// Calls of the other process.
class Handler final : public jobs::JobPeerHandler {
 public:
  void OnJob(jobs::AnnouncedJob /*job*/) override {}
  void OnCancel(const jobs::JobId& /*job*/) override {}
  void OnTombstone(const jobs::StoreItem& /*tombstone*/) override {}
  void OnQueryJob(const jobs::JobId& /*job*/,
                  Done<jobs::JobAnswer> /*done*/) override {}
  void OnQueryPending(const jobs::QueueName& /*queue*/,
                      Done<std::int64_t> /*done*/) override {}
  void OnCreate(jobs::CreateRequest /*request*/,
                Done<jobs::CreateOutcome> /*done*/) override {}
  void OnAsk(jobs::AdviceQuestion /*question*/,
             Done<jobs::Advice> /*done*/) override {}
  void OnRelay(jobs::RelayBatch batch, Done<jobs::RelayAck> done) override {
    this->relay->OnBatch(std::move(batch), done);
  }
  void OnResults(jobs::RelayedResults results) override {
    this->driver->OnResults(results);
  }
  void OnQueryProcess(Done<jobs::ProcessState> /*done*/) override {}

  jobs::OrderRelay* relay = nullptr;
  jobs::RelayedWorkerDriver* driver = nullptr;
};

/// What owner and relay have in common.
struct Side {
  Side() { this->driver = adapter::MakeWorkerClient(this->Parts()); }
  [[nodiscard]] adapter::ClientParts Parts() {
    return {&this->executor, &this->http, &this->log, &this->metrics};
  }

  ThreadExecutor executor;
  NoEventLog log;
  Metrics metrics;
  http::AsyncClient http;
  std::unique_ptr<jobs::WorkerDriver> driver;
  JobLink link{&this->executor};
  Handler handler;
};

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Runs `serve` in a process of its own.
/// @return the process, and the port that `serve` wrote
std::pair<pid_t, std::uint16_t> Fork(const std::function<void(int)>& serve) {
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) return {};
  const pid_t child = fork();
  if (child == 0) {
    serve(ends[1]);
    _exit(0);
  }
  std::uint16_t port = 0;
  if (read(ends[0], &port, sizeof(port)) != sizeof(port)) port = 0;
  return {child, port};
}

void Tell(int pipe_end, std::uint16_t port) {
  if (write(pipe_end, &port, sizeof(port)) != sizeof(port)) _exit(1);
}

void ServeWorkers(int pipe_end) {
  constexpr std::int32_t kConnections = 64;
  constexpr std::size_t kMaxBytes = 1 << 20;
  http::ConnectionLimits limits;
  limits.max_header_bytes = 1 << 14;
  limits.max_body_bytes = kMaxBytes;
  WorkerSurface surface;
  http::Listener listener("workers", limits, kConnections, &surface);
  Tell(pipe_end, listener.Start("127.0.0.1", 0).value());
  for (;;) pause();
}

void ServeRelay(const std::string& name, int pipe_end) {
  Side side;
  jobs::OrderRelay relay({.executor = &side.executor,
                          .driver = side.driver.get(),
                          .peers = &side.link,
                          .self = ProcessId(name),
                          .incarnation = kRelayIncarnation});
  side.handler.relay = &relay;
  Tell(pipe_end, side.link.Start("127.0.0.1", 0, &side.handler).value());
  for (;;) pause();
}

/// Sends orders for a while, a hold for each start.
class Load {
 public:
  Load(Side* side, jobs::RelayedWorkerDriver* driver, std::string workers)
      : side(side), driver(driver), workers(std::move(workers)) {}

  /// Prints what an order cost this process.
  /// @param send false to pass the time only, as the measurement itself does
  void Run(std::string_view name, bool send) {
    this->sent = 0;
    this->done = 0;
    const double before = ReadProcessUsage().cpu_seconds;
    const auto begin = std::chrono::steady_clock::now();
    const std::int64_t count = kPhase / kOrderInterval;
    for (std::int64_t i = 0; i < count; ++i) {
      this->side->executor.Post([this, send] {
        if (send) this->SendOne();
      });
      std::this_thread::sleep_until(begin + kOrderInterval * (i + 1));
    }
    std::this_thread::sleep_for(milliseconds(200));
    const double used = ReadProcessUsage().cpu_seconds - before;
    std::printf("%s: %d orders, %d done, %.0f us of processor time each\n",
                std::string(name).c_str(), this->sent.load(), this->done.load(),
                used * kMicrosPerSecond / static_cast<double>(count));
  }

 private:
  void SendOne() {
    const int number = this->sent++;
    jobs::WorkerTarget target;
    target.incarnation.id = WorkerId(std::to_string(number % kWorkers));
    target.incarnation.start_unix_ms = 1;
    target.address = this->workers;
    if (number % 2 == 0) {
      jobs::StartOrder order;
      order.run.task.step.job = jobs::JobId("job-of-a-usual-name");
      order.run.run = number;
      order.payload = std::string(kPayloadBytes, 'p');
      order.token = 1;
      this->driver->Start(target, order, [this](const jobs::OrderResult& end) {
        this->Note(end);
      });
    } else {
      this->driver->Hold(
          target, {.lease_until_ms = 1000, .token = 1},
          [this](const jobs::HoldResult& result) { this->Note(result.order); });
    }
  }
  void Note(const jobs::OrderResult& result) {
    if (result.end == jobs::OrderOutcome::kDone) ++this->done;
  }

  Side* side;
  jobs::RelayedWorkerDriver* driver;
  std::string workers;
  std::atomic<int> sent = 0;
  std::atomic<int> done = 0;
};

int Measure(int relays) {
  // Before any thread of this process begins.
  const auto [workers, workers_port] = Fork(ServeWorkers);
  std::vector<pid_t> children = {workers};
  std::vector<jobs::NodeRecord> nodes;
  for (int i = 0; i < relays; ++i) {
    const std::string name = std::to_string(i);
    const auto [child, port] =
        Fork([&name](int pipe_end) { ServeRelay(name, pipe_end); });
    children.push_back(child);
    jobs::NodeRecord node;
    node.name = ProcessId(name);
    node.peer_address = Address(port);
    node.incarnation = kRelayIncarnation;
    node.cpu_milli = 1000;
    nodes.push_back(std::move(node));
  }
  Side side;
  const auto port = side.link.Start("127.0.0.1", 0, &side.handler);
  std::atomic<std::size_t> known = 0;
  jobs::RelayedWorkerDriver::Parts parts;
  parts.executor = &side.executor;
  parts.direct = side.driver.get();
  parts.peers = &side.link;
  parts.log = &side.log;
  parts.metrics = &side.metrics;
  parts.self.name = ProcessId("owner");
  parts.self.peer_address = Address(port.value());
  parts.token = 1;
  parts.max_relays = static_cast<std::size_t>(relays);
  parts.count_workers = [&known] { return known.load(); };
  jobs::RelayedWorkerDriver driver(parts);
  side.handler.driver = &driver;
  side.executor.Post([&driver, nodes] {
    driver.SetProcesses(nodes);
    driver.Begin();
  });
  Load load(&side, &driver, Address(workers_port));
  for (int round = 0; round < kRounds; ++round) {
    known = 0;
    std::this_thread::sleep_for(seconds(1));
    load.Run("nothing", false);
    load.Run("direct", true);
    known = kWorkers;
    std::this_thread::sleep_for(seconds(2));
    load.Run("relayed", true);
  }
  std::printf("relays: %d\n", relays);
  std::printf("relayed in all: %lld, failures of the relay: %lld\n",
              static_cast<long long>(side.metrics.Total("relayed_orders")),
              static_cast<long long>(side.metrics.Total("relay_failures")));
  side.link.Stop();
  side.http.Stop();
  side.executor.Stop();
  for (const pid_t child : children) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  return 0;
}

}  // namespace
}  // namespace mustardproxy

int main(int argc, char** argv) {
  constexpr int kUsualRelays = 2;
  return mustardproxy::Measure(argc > 1 ? std::stoi(argv[1]) : kUsualRelays);
}
