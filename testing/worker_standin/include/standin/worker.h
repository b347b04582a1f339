#ifndef MUSTARDPROXY_STANDIN_WORKER_H_
#define MUSTARDPROXY_STANDIN_WORKER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

/// Stand-ins of what surrounds the product, for tests only.
namespace mustardproxy::standin {

struct WorkerOptions {
  std::string id = "worker";
  /// 0: the operating system chooses.
  std::uint16_t port = 0;
  Resources capacity{4000, 16000, 0, 8};
  std::int32_t connections = 64;
  /// How far the reported usage lies behind.
  Duration usage_lag = std::chrono::seconds(1);
};

/// A worker that speaks the protocol of docs/PROTOCOLS.md on a port of its own.
/// Tasks are timed waits that use no processor.
class StandinWorker {
 public:
  /// Listens once it returns; throws Poco's exceptions if it can not.
  explicit StandinWorker(const WorkerOptions& options);
  /// Closes all connections.
  ~StandinWorker();
  StandinWorker(const StandinWorker&) = delete;
  StandinWorker& operator=(const StandinWorker&) = delete;

  [[nodiscard]] std::uint16_t Port() const;
  /// @return `127.0.0.1:port`
  [[nodiscard]] std::string Address() const;
  /// Same as `POST /switch`.
  /// @return false if a name or value was not understood
  bool Switch(const std::string& json);
  /// @return the answer to `GET /log`
  [[nodiscard]] std::string Log() const;
  /// Closes every connection, as a worker does with one that was idle long.
  void CloseConnections();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_WORKER_H_
