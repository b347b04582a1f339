#ifndef MUSTARDPROXY_MUSTARDCTL_PROFILES_H_
#define MUSTARDPROXY_MUSTARDCTL_PROFILES_H_

#include "command_line.h"
#include "console.h"
#include "exit_code.h"
#include "key_value_store.h"

namespace mustardproxy::ctl {

/// `profile list`: a line per profile.
[[nodiscard]] ExitCode ListProfiles(const CommandLine& line,
                                    KeyValueStore* store,
                                    const Console& console);
/// `profile show [NAME]`: the document or one profile, as JSON.
[[nodiscard]] ExitCode ShowProfile(const CommandLine& line,
                                   KeyValueStore* store,
                                   const Console& console);
/// `profile history`: past versions and what each changed.
[[nodiscard]] ExitCode ShowHistory(const CommandLine& line,
                                   KeyValueStore* store,
                                   const Console& console);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_PROFILES_H_
