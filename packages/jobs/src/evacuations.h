#ifndef MUSTARDPROXY_JOBS_EVACUATIONS_H_
#define MUSTARDPROXY_JOBS_EVACUATIONS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/telemetry/event_log.h"
#include "prefix_mirror.h"

namespace mustardproxy::jobs {

/// Data centres that operators have evacuated: no task is started on their
/// workers until the evacuation is cancelled. What runs there goes on.
class Evacuations {
 public:
  struct Handlers {
    /// An evacuation of this data centre has begun or was cancelled.
    std::function<void(const DataCenterId&)> on_change;
    /// All evacuations have been read once.
    std::function<void()> on_listed;
  };

  /// @param prefix of the keys that name the evacuated data centres
  Evacuations(Executor* executor, KeyValueStore* store, EventLog* log,
              std::string prefix, Handlers handlers);

  void Start() { this->mirror.Start(); }
  /// Reads all evacuations again.
  void Refresh() { this->mirror.Refresh(); }
  [[nodiscard]] bool Listed() const { return this->mirror.Listed(); }
  /// @return the latest time at which this view is known to have been complete
  [[nodiscard]] Instant ConfirmedAt() const {
    return this->mirror.ConfirmedAt();
  }
  [[nodiscard]] bool Empty() const { return this->evacuated.empty(); }
  [[nodiscard]] bool Contains(const DataCenterId& data_center) const {
    return !this->evacuated.empty() && this->evacuated.contains(data_center);
  }

 private:
  void OnKey(const StoreEvent& event);

  Executor* executor;
  EventLog* log;
  std::string prefix;
  Handlers handlers;
  /// Each with the revision of its key.
  std::map<DataCenterId, Revision> evacuated;
  PrefixMirror mirror;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_EVACUATIONS_H_
