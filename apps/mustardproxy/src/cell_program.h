#ifndef MUSTARDPROXY_APP_CELL_PROGRAM_H_
#define MUSTARDPROXY_APP_CELL_PROGRAM_H_

#include <ostream>
#include <string>
#include <vector>

namespace mustardproxy {

/// Runs `mustardproxy cell [--settings FILE] [--check]` until SIGTERM. Without
/// a file the one that `MUSTARDPROXY_SETTINGS` names is read; SIGHUP reads it
/// again.
/// @param arguments what follows the word `cell`, after the program's name
/// @return the exit code
[[nodiscard]] int RunCell(const std::vector<std::string>& arguments,
                          std::ostream& out, std::ostream& errors);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_CELL_PROGRAM_H_
