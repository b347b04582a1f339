#ifndef MUSTARDPROXY_CELL_CELL_H_
#define MUSTARDPROXY_CELL_CELL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/child_process.h"
#include "cell/http.h"
#include "cell/layout.h"

namespace mustardproxy::cell {

/// Limit of everything that is waited for; generous, since machines are busy.
inline constexpr std::chrono::seconds kPatience(60);

/// Polls until `done` gives true.
/// @return false if the limit passed first
[[nodiscard]] bool WaitUntil(const std::function<bool()>& done,
                             std::chrono::milliseconds limit = kPatience);

/// A cell of real processes on this machine. Its processes die with the object
/// and with the thread that starts them. Not thread-safe, but for the urls.
///
/// @par Example
/// @code
/// Cell cell(CellLayout{.data_centers = 1});
/// if (!cell.Start()) return cell.Trouble();
/// cell.Kill("entry-1-1");
/// cell.StartProcess("entry-1-1");
/// @endcode
class Cell {
 public:
  explicit Cell(CellLayout layout);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Starts everything, loads configuration and host list, and waits until
  /// every entry process is ready and every worker has an owner.
  /// @return false if that took too long; `Trouble` says what was missing
  [[nodiscard]] bool Start();
  [[nodiscard]] const std::string& Trouble() const;
  /// Waits until the entry processes that run are ready and together own all
  /// workers.
  [[nodiscard]] bool AwaitReady();

  /// Stops the entry processes with SIGTERM, all at once.
  /// @return true if each ended with exit code 0
  [[nodiscard]] bool StopEntries();
  /// Stops all that still runs.
  void StopAll();

  /// Starts a process that is not running, with its former addresses.
  void StartProcess(const std::string& name);
  /// Sends SIGTERM and waits.
  [[nodiscard]] std::optional<ProcessEnd> Terminate(
      const std::string& name, std::chrono::milliseconds limit = kPatience);
  void Kill(const std::string& name);
  /// SIGSTOP, and its end.
  void Pause(const std::string& name);
  void Resume(const std::string& name);
  [[nodiscard]] bool Running(const std::string& name);
  /// Waits for the end of a process without a signal.
  [[nodiscard]] std::optional<ProcessEnd> AwaitEnd(
      const std::string& name, std::chrono::milliseconds limit = kPatience);

  [[nodiscard]] std::vector<std::string> Entries() const;
  [[nodiscard]] std::vector<std::string> Workers() const;
  [[nodiscard]] std::vector<std::string> Relays() const;
  /// @return processes that run, with their ids
  struct NamedPid {
    std::string name;
    pid_t pid = 0;
  };
  [[nodiscard]] std::vector<NamedPid> Pids();

  /// Callers' address of an entry, or the address of a worker or the platform.
  [[nodiscard]] std::string Url(const std::string& name) const;
  [[nodiscard]] std::string OperatorUrl(const std::string& entry) const;
  /// Sends `POST /switch` to a stand-in or relay.
  /// @return false if it was refused
  bool Switch(const std::string& name, const std::string& json);
  /// Sets the platform's host list, with the named workers as leaving.
  bool SetHosts(const std::vector<std::string>& leaving);
  /// Folder with settings and logs of all processes.
  [[nodiscard]] std::string Folder() const;
  /// @return what a process has written so far
  [[nodiscard]] std::string LogOf(const std::string& name) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy::cell

#endif  // MUSTARDPROXY_CELL_CELL_H_
