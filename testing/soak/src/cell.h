#ifndef SOAK_SRC_CELL_H_
#define SOAK_SRC_CELL_H_

#include <memory>
#include <string>
#include <vector>

#include "cell/child_process.h"
#include "cell/reserved_port.h"
#include "mustardproxy/adapter_standin/platform.h"
#include "soak/soak.h"
#include "standin/relay.h"

namespace soak {

using mustardproxy::adapter_standin::Platform;
using mustardproxy::cell::ChildProcess;
using mustardproxy::cell::ReservedPort;
using mustardproxy::standin::Relay;

/// One process of the product, and its own way to the store.
class SoakProcess {
 public:
  SoakProcess(std::size_t index, const Platform& platform, std::string folder);

  void Start();
  /// SIGKILL, whatever state it is in.
  void Kill();
  /// SIGTERM, without a wait.
  void Terminate();
  /// @return true if it was told to end and has not been started again
  [[nodiscard]] bool Ending() const { return this->ending; }
  /// SIGSTOP, and its end.
  void Pause();
  void Resume();
  /// @return true if a started process has ended, or none was started
  [[nodiscard]] bool Ended();
  /// @return how it ended, waiting for that at most `limit`
  [[nodiscard]] std::optional<mustardproxy::cell::ProcessEnd> AwaitEnd(
      std::chrono::milliseconds limit);
  [[nodiscard]] bool Paused() const { return this->paused; }
  [[nodiscard]] std::string CallerUrl() const { return this->callers.Url(); }
  [[nodiscard]] std::string ReadyUrl() const { return this->readiness.Url(); }
  [[nodiscard]] const std::string& Name() const { return this->name; }
  [[nodiscard]] Relay& StoreLink() { return *this->store_link; }
  [[nodiscard]] pid_t Pid() const { return this->child->Pid(); }

 private:
  void WriteSettings(const Platform& platform) const;

  std::string name;
  std::string folder;
  ReservedPort callers;
  ReservedPort readiness;
  ReservedPort peers;
  ReservedPort operators;
  std::unique_ptr<Relay> store_link;
  std::unique_ptr<ChildProcess> child;
  bool paused = false;
  bool ending = false;
};

/// The whole: platform, relays, processes.
class SoakCell {
 public:
  explicit SoakCell(const SoakOptions& options);

  /// @return false if not all processes were ready in time
  [[nodiscard]] bool Start();
  [[nodiscard]] bool AwaitReady(std::chrono::milliseconds limit);

  Platform& Machines() { return this->platform; }
  std::vector<std::unique_ptr<SoakProcess>>& Processes() {
    return this->processes;
  }
  std::vector<std::unique_ptr<Relay>>& RackLinks() { return this->rack_links; }
  [[nodiscard]] const std::string& Folder() const { return this->folder; }

 private:
  std::string folder;
  Platform platform;
  std::vector<std::unique_ptr<Relay>> rack_links;
  std::vector<std::unique_ptr<SoakProcess>> processes;
};

}  // namespace soak

#endif  // SOAK_SRC_CELL_H_
