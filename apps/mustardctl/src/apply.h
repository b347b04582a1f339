#ifndef MUSTARDPROXY_MUSTARDCTL_APPLY_H_
#define MUSTARDPROXY_MUSTARDCTL_APPLY_H_

#include "command_line.h"
#include "console.h"
#include "exit_code.h"
#include "key_value_store.h"

namespace mustardproxy::ctl {

/// `profile apply FILE`: makes the file's document the next version and waits
/// until it is in force everywhere. Applying what is in force writes nothing.
[[nodiscard]] ExitCode Apply(const CommandLine& line, KeyValueStore* store,
                             const Console& console);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_APPLY_H_
