#ifndef MUSTARDPROXY_TELEMETRY_LOG_H_
#define MUSTARDPROXY_TELEMETRY_LOG_H_

#include <string>
#include <string_view>

namespace mustardproxy {

/// Parts of the product; each has a fixed prefix in the log.
enum class Part {
  kControl,
  kGateway,
  kPeer,
  kPlatform,
  kWorker,
  kTimeline,
};

enum class Level { kTrace, kDebug, kInfo, kWarn, kError };

/// Sets logging up once for the process: one line per record on standard error,
/// `time process LEVEL prefix: sentence`, with the time in UTC. A second call
/// changes level and name. Until the first call only errors are written.
/// @param level trace, debug, info, warn or error; anything else means info
void StartLog(std::string_view level, std::string_view process);

/// Writes one short sentence. Control characters in it are escaped, so that
/// what a stranger sends can not forge a line. Safe from any thread.
void Log(Part part, Level level, std::string_view sentence);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_TELEMETRY_LOG_H_
