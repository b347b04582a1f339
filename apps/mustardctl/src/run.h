#ifndef MUSTARDPROXY_MUSTARDCTL_RUN_H_
#define MUSTARDPROXY_MUSTARDCTL_RUN_H_

#include <span>
#include <string>

#include "console.h"
#include "exit_code.h"

namespace mustardproxy::ctl {

/// Runs one command of `mustardctl`.
/// @param arguments without the program's name
[[nodiscard]] ExitCode Run(std::span<const std::string> arguments,
                           const Console& console);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_RUN_H_
