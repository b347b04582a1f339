#include "cell/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace mustardproxy::cell {
namespace {

constexpr std::chrono::milliseconds kPollInterval(5);
constexpr int kExecFailed = 127;
constexpr mode_t kLogMode = 0644;

/// Runs in the child between fork and exec; calls only what is allowed there.
[[noreturn]] void Become(char* const* arguments, const char* log_file,
                         pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have died before the call above.
  if (getppid() != parent) _exit(kExecFailed);
  int log = open(log_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

ProcessEnd Decode(int status) {
  ProcessEnd end;
  if (WIFEXITED(status)) end.exit_code = WEXITSTATUS(status);
  if (WIFSIGNALED(status)) end.signal = WTERMSIG(status);
  return end;
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& part : command) {
    arguments.push_back(const_cast<char*>(part.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t parent = getpid();
  this->pid = fork();
  if (this->pid < 0) throw std::runtime_error("can not start a process");
  if (this->pid == 0) Become(arguments.data(), log_file.c_str(), parent);
}

ChildProcess::~ChildProcess() {
  if (!this->Running()) return;
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
}

void ChildProcess::Signal(int signal) const {
  if (!this->end) kill(this->pid, signal);
}

bool ChildProcess::Running() {
  return !this->Wait(std::chrono::milliseconds(0)).has_value();
}

std::optional<ProcessEnd> ChildProcess::Wait(std::chrono::milliseconds limit) {
  auto deadline = std::chrono::steady_clock::now() + limit;
  while (!this->end) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->end = Decode(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  return this->end;
}

}  // namespace mustardproxy::cell
