#ifndef MUSTARDPROXY_MUSTARDCTL_REPORTS_H_
#define MUSTARDPROXY_MUSTARDCTL_REPORTS_H_

#include <vector>

#include "command_line.h"
#include "console.h"
#include "entries.h"
#include "exit_code.h"

namespace mustardproxy::ctl {

/// `status`: a line per entry process, and those that could not be reached.
[[nodiscard]] ExitCode ShowStatus(const CommandLine& line,
                                  const std::vector<Entry>& entries,
                                  const Console& console);
/// `timeline`: the events of all entry processes in causal order.
[[nodiscard]] ExitCode ShowTimeline(const CommandLine& line,
                                    const std::vector<Entry>& entries,
                                    const Console& console);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_REPORTS_H_
