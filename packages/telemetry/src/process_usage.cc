#include "mustardproxy/telemetry/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace mustardproxy {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

std::int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  if (!(statm >> total_pages >> resident_pages)) return 0;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  usage.resident_bytes = ResidentBytes();
  rusage times{};
  if (getrusage(RUSAGE_SELF, &times) == 0) {
    usage.cpu_seconds = Seconds(times.ru_utime) + Seconds(times.ru_stime);
  }
  return usage;
}

}  // namespace mustardproxy
