#ifndef MUSTARDPROXY_JOBS_PLATFORM_SCHEMA_H_
#define MUSTARDPROXY_JOBS_PLATFORM_SCHEMA_H_

#include <cstdint>
#include <string_view>

#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/worker_driver.h"

namespace mustardproxy::jobs {

/// Keys and formats of the entries that other systems write to the store.
class PlatformSchema {
 public:
  PlatformSchema() = default;
  PlatformSchema(const PlatformSchema&) = delete;
  PlatformSchema& operator=(const PlatformSchema&) = delete;
  virtual ~PlatformSchema() = default;

  /// Key of the desired state, written by operators.
  [[nodiscard]] virtual std::string_view DesiredStateKey() const = 0;
  [[nodiscard]] virtual Result<DesiredState> ParseDesiredState(
      std::string_view value) const = 0;
  /// Prefix of the keys by which operators evacuate data centres, each with the
  /// data centre as suffix.
  [[nodiscard]] virtual std::string_view EvacuationPrefix() const = 0;
  /// Prefix of the entries under which workers register, each with its id as
  /// suffix.
  [[nodiscard]] virtual std::string_view WorkerPrefix() const = 0;
  /// @param id part of the key after the prefix
  [[nodiscard]] virtual Result<WorkerInfo> ParseWorker(
      std::string_view id, std::string_view value) const = 0;
  /// @return a digest of an entry; equal for entries that only a heartbeat
  ///   tells apart, and different for all others
  [[nodiscard]] virtual std::uint64_t DigestWorker(
      std::string_view value) const = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PLATFORM_SCHEMA_H_
