#ifndef MUSTARDPROXY_MUSTARDCTL_CONSOLE_H_
#define MUSTARDPROXY_MUSTARDCTL_CONSOLE_H_

#include <ostream>
#include <string_view>
#include <vector>

#include "mustardproxy/settings/load.h"

namespace mustardproxy::ctl {

/// Where a command prints: results to `out`, all else to `err`.
struct Console {
  std::ostream& out;
  std::ostream& err;
};

/// Prints each problem on a line of its own to `err`, after `title`.
void PrintProblems(const Console& console, std::string_view title,
                   const Problems& problems);
/// Prints a message about a platform that did not answer.
void PrintUnavailable(const Console& console, const std::error_code& error);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_CONSOLE_H_
