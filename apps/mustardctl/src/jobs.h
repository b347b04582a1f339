#ifndef MUSTARDPROXY_MUSTARDCTL_JOBS_H_
#define MUSTARDPROXY_MUSTARDCTL_JOBS_H_

#include "command_line.h"
#include "console.h"
#include "exit_code.h"

namespace mustardproxy::ctl {

/// `job submit`, `job state`, `job cancel` and `job pending`: asks the first
/// process named on the command line and prints its answer.
[[nodiscard]] ExitCode CallJobs(const CommandLine& line,
                                const Console& console);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_JOBS_H_
