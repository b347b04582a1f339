#ifndef MUSTARDPROXY_CELL_CHILD_PROCESS_H_
#define MUSTARDPROXY_CELL_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mustardproxy::cell {

/// How a process ended.
struct ProcessEnd {
  /// Exit code, or -1 if a signal ended it.
  int exit_code = -1;
  /// Signal that ended it, or 0.
  int signal = 0;
};

/// A process that we started; killed with the object. It also dies with the
/// thread that started it, so that a crashed test leaves nothing behind.
class ChildProcess {
 public:
  /// @param command the program and its arguments
  /// @param log_file gets its standard output and error
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  [[nodiscard]] pid_t Pid() const { return this->pid; }
  void Signal(int signal) const;
  /// @return how it ended, or nothing if it still runs after `limit`
  std::optional<ProcessEnd> Wait(std::chrono::milliseconds limit);
  [[nodiscard]] bool Running();

 private:
  pid_t pid = -1;
  std::optional<ProcessEnd> end;
};

}  // namespace mustardproxy::cell

#endif  // MUSTARDPROXY_CELL_CHILD_PROCESS_H_
