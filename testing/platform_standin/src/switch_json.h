#ifndef MUSTARDPROXY_STANDIN_SRC_SWITCH_JSON_H_
#define MUSTARDPROXY_STANDIN_SRC_SWITCH_JSON_H_

#include <string>

#include "standin/standin_platform.h"

namespace mustardproxy::standin {

/// What a `POST /switch` asks for.
struct SwitchReading {
  PlatformSwitches switches;
  /// Empty if all of it was understood.
  std::string problem;
};

/// Reads the switches that `json` names; the others stay as in `present`.
[[nodiscard]] SwitchReading ReadSwitches(const std::string& json,
                                         PlatformSwitches present);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_SWITCH_JSON_H_
