#ifndef MUSTARDPROXY_JOBS_PLATFORM_SCHEMA_H_
#define MUSTARDPROXY_JOBS_PLATFORM_SCHEMA_H_

#include <string_view>

#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/worker_driver.h"

namespace mustardproxy::jobs {

/// Where and how others keep what this product reads in the store.
class PlatformSchema {
 public:
  PlatformSchema() = default;
  PlatformSchema(const PlatformSchema&) = delete;
  PlatformSchema& operator=(const PlatformSchema&) = delete;
  virtual ~PlatformSchema() = default;

  /// Key of the desired state that operators write.
  [[nodiscard]] virtual std::string_view DesiredStateKey() const = 0;
  [[nodiscard]] virtual Result<DesiredState> ParseDesiredState(
      std::string_view value) const = 0;
  /// Prefix of the entries under which workers register, each by its id.
  [[nodiscard]] virtual std::string_view WorkerPrefix() const = 0;
  /// @param id what follows the prefix in the key
  [[nodiscard]] virtual Result<WorkerInfo> ParseWorker(
      std::string_view id, std::string_view value) const = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PLATFORM_SCHEMA_H_
