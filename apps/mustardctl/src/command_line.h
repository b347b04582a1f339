#ifndef MUSTARDPROXY_MUSTARDCTL_COMMAND_LINE_H_
#define MUSTARDPROXY_MUSTARDCTL_COMMAND_LINE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::ctl {

enum class Command {
  kHelp,
  kVersion,
  kProfileList,
  kProfileShow,
  kProfileApply,
  kProfileHistory,
  kStatus,
  kTimeline,
  kJobSubmit,
  kJobState,
  kJobCancel,
  kJobPending,
};

/// What the operator asked for.
struct CommandLine {
  Command command = Command::kHelp;
  /// `http://ip:port` of the platform; empty if not given.
  std::string platform;
  /// `ip:port` of entry processes' operator listeners.
  std::vector<std::string> entries;
  /// File to apply, or to hand in as a job.
  std::string file;
  /// Profile to show; empty for the whole document.
  ProfileId profile;
  bool dry_run = false;
  bool json = false;
  /// Version that must be in force for an apply to go on.
  std::optional<ConfigurationVersion> base;
  /// Time to wait until an applied version is in force.
  Duration timeout = std::chrono::seconds(9);
  /// Past versions to show.
  std::size_t last = 20;
  /// Queue and job of the `job` commands.
  std::string queue;
  std::string job;
  RequestId request;
  WorkerId worker;
  /// Events of this long before the newest one; nothing means all.
  std::optional<Duration> since;
};

/// A command line that can not be understood.
struct UsageError {
  std::string message;
};

/// @param arguments without the program's name
[[nodiscard]] std::variant<CommandLine, UsageError> ParseCommandLine(
    std::span<const std::string> arguments);

/// @return the text of `--help`
[[nodiscard]] std::string HelpText();

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_COMMAND_LINE_H_
