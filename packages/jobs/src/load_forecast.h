#ifndef MUSTARDPROXY_JOBS_LOAD_FORECAST_H_
#define MUSTARDPROXY_JOBS_LOAD_FORECAST_H_

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "mustardproxy/jobs/load_report.h"
#include "start_deadlines.h"

namespace mustardproxy::jobs {

/// Tasks of one step that a pass could not start.
struct WaitingWork {
  const Queue* queue = nullptr;
  TeamId team = {};
  bool exceeds_share = false;
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  Instant start_by;
  /// From the acceptance of the job to `start_by`.
  Duration slack{0};
  /// Time for which it keeps all workers of the service busy.
  Duration work{0};
};

/// Workers of one service after a pass.
struct ServiceUse {
  ServiceId service;
  Resources capacity;
  /// Share of the capacity that is in use, of the scarcest resource.
  double used = 0.0;
};

/// Start or end of a shortage of capacity.
struct ShortageChange {
  ServiceId service;
  bool is_short = false;
  /// Mean share of the capacity in use.
  double used = 0.0;
  /// All waiting work that is not expired.
  Duration waiting{0};
  /// What of it is late.
  Duration late{0};
};

struct Forecast {
  LoadReportPtr report;
  std::vector<ShortageChange> changes;
};

/// Predicts how long new jobs would wait. Answers the load of callers who ask
/// for more than the workers can run.
class LoadForecast {
 public:
  /// @return true if enough time has passed since the last forecast
  [[nodiscard]] bool Due(Instant now) const;
  /// Records the first start of a job.
  /// @param wait since its acceptance
  void NoteFirstStart(const Queue& queue, Duration wait);
  /// Records the start of tasks.
  /// @param resources of all of them
  /// @param run_time predicted for each
  void NoteStart(const Queue& queue, const Resources& resources,
                 Duration run_time);
  /// @param waiting in the order in which the dispatcher starts it
  /// @param ratio_of actual run time relative to the estimate, by queue
  [[nodiscard]] Forecast Make(
      std::span<const WaitingWork> waiting,
      std::span<const ServiceUse> services,
      const std::unordered_map<QueueName, double>& ratio_of, Instant now);

 private:
  /// What starts of one priority take of the capacity.
  struct StartRate {
    /// Work started since the last forecast.
    Duration started{0};
    /// Mean share of the capacity.
    double share = 0.0;
  };
  struct ServiceState {
    double last_used = 0.0;
    double mean_used = 0.0;
    bool is_short = false;
    Resources capacity;
    std::map<std::int32_t, StartRate> starts;

    /// @return the time for work to start while work of higher priority
    ///   continues to arrive
    [[nodiscard]] Duration TimeFor(Duration work, std::int32_t priority) const;
  };

  void UpdateUse(std::span<const ServiceUse> services, Instant now);

  std::optional<Instant> made_at;
  std::map<ServiceId, ServiceState> services;
  std::unordered_map<QueueName, Duration> overheads;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_LOAD_FORECAST_H_
