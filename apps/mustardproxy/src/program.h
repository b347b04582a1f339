#ifndef MUSTARDPROXY_APP_PROGRAM_H_
#define MUSTARDPROXY_APP_PROGRAM_H_

#include <ostream>
#include <string>
#include <vector>

namespace mustardproxy {

/// How the program ends.
enum ExitCode : int {
  kExitOk = 0,
  /// It could not listen or write its address file.
  kExitCannotStart = 1,
  /// The command line or the settings are wrong.
  kExitBadSettings = 2,
  /// The time for a graceful stop ran out; something in progress was cut.
  kExitCut = 3,
};

/// Runs `mustardproxy` until SIGTERM or SIGINT, or as long as its arguments
/// ask for.
/// @param arguments the command line, with the program's name
/// @return the exit code
[[nodiscard]] int RunProgram(const std::vector<std::string>& arguments,
                             std::ostream& out, std::ostream& errors);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_PROGRAM_H_
