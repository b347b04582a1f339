#ifndef MUSTARDPROXY_TELEMETRY_PROCESS_USAGE_H_
#define MUSTARDPROXY_TELEMETRY_PROCESS_USAGE_H_

#include <cstdint>

namespace mustardproxy {

/// What this process takes of its machine.
struct ProcessUsage {
  std::int64_t resident_bytes = 0;
  /// User and system time since the start of the process.
  double cpu_seconds = 0;
};

/// @return the usage at this moment; a part that can't be read is 0
[[nodiscard]] ProcessUsage ReadProcessUsage();

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_TELEMETRY_PROCESS_USAGE_H_
