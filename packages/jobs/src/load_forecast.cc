#include "load_forecast.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

#include "mustardproxy/core/resource_math.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Minimum time between two forecasts.
constexpr Duration kForecastInterval = milliseconds(100);
/// Period over which the use of the capacity is averaged. Callers wait for
/// seconds, so a shorter burst concerns nobody.
constexpr Duration kUsePeriod = seconds(1);
/// Mean use at which a shortage begins and below which it ends.
constexpr double kShortageBegin = 0.92;
constexpr double kShortageEnd = 0.9;
/// Minimum share of the capacity that work of a priority is expected to get.
constexpr double kMinShare = 0.05;
/// Weight of one job in the moving average of the overhead.
constexpr double kOverheadWeight = 0.05;
/// Longer waits have other causes than the work of the scheduler.
constexpr Duration kMaxOverhead = milliseconds(1000);

/// Work that is on time, of one service and priority, in order of start.
struct Level {
  std::vector<Instant> start_by;
  /// Work up to and including each of them, of all higher priorities too.
  std::vector<Duration> work;
};

struct ServiceSums {
  Duration on_time{0};
  Duration late{0};
  /// What of `on_time` will be late when its turn comes.
  Duration late_soon{0};
  /// The same, and all that is late or expired.
  Duration overdue{0};
  std::map<std::int32_t, Level> levels;
  std::map<std::int32_t, Duration> late_by_priority;
};

struct QueueSums {
  const Queue* queue = nullptr;
  Duration slack{0};
  std::int64_t on_time = 0;
  Duration late_work{0};
  Duration late_work_of_all{0};
};

/// Sums of one pass over the waiting work.
class Totals {
 public:
  /// @return the time for work of a queue to start
  using TimeFor = std::function<Duration(const Queue&, Duration)>;

  Totals(std::span<const WaitingWork> waiting, const TimeFor& time_for,
         Instant now) {
    for (const WaitingWork& one : waiting) this->Add(one, time_for, now);
  }

  [[nodiscard]] const ServiceSums& Of(const ServiceId& service) {
    return this->services[service];
  }
  [[nodiscard]] const std::map<QueueName, QueueSums>& Queues() const {
    return this->queues;
  }
  /// @return the work that precedes a new job of the queue
  [[nodiscard]] Duration WorkBefore(const QueueSums& sums, Instant now) {
    const ServiceSums& service = this->services[sums.queue->service];
    const Duration slack =
        sums.on_time == 0 ? sums.queue->target : sums.slack / sums.on_time;
    Duration before{0};
    for (const auto& [priority, level] : service.levels) {
      if (priority > sums.queue->priority) break;
      if (priority < sums.queue->priority) {
        before = level.work.back();
        continue;
      }
      const auto end = std::upper_bound(level.start_by.begin(),
                                        level.start_by.end(), now + slack);
      const auto count = end - level.start_by.begin();
      if (count > 0) before = level.work[static_cast<std::size_t>(count - 1)];
    }
    return before;
  }
  [[nodiscard]] Duration LateWait(const Queue& queue) {
    const ServiceSums& service = this->services[queue.service];
    Duration wait = service.on_time;
    for (const auto& [priority, late] : service.late_by_priority) {
      if (priority <= queue.priority) wait += late;
    }
    return wait;
  }

 private:
  void Add(const WaitingWork& one, const TimeFor& time_for, Instant now) {
    QueueSums& sums = this->queues[one.queue->name];
    sums.queue = one.queue;
    ServiceSums& service = this->services[one.queue->service];
    if (one.deadline_status == DeadlineStatus::kExpired) {
      service.overdue += one.work;
      return;
    }
    const bool on_time = one.deadline_status == DeadlineStatus::kOnTime;
    bool will_be_late = !on_time;
    if (on_time) {
      // Jobs are judged by these figures until the next ones.
      will_be_late =
          now + kForecastInterval + time_for(*one.queue, service.on_time) >
          one.start_by;
      service.on_time += one.work;
      if (will_be_late) service.late_soon += one.work;
      sums.slack += one.slack;
      ++sums.on_time;
      if (!one.exceeds_share) AddToLevel(one, &service);
    } else {
      service.late += one.work;
      service.late_by_priority[one.queue->priority] += one.work;
    }
    if (!will_be_late) return;
    service.overdue += one.work;
    sums.late_work_of_all += one.work;
    if (!one.exceeds_share) sums.late_work += one.work;
  }
  static void AddToLevel(const WaitingWork& one, ServiceSums* service) {
    Level& level = service->levels[one.queue->priority];
    // Work that precedes by another rule than its time of start.
    const Instant start_by =
        level.start_by.empty() ? one.start_by
                               : std::max(one.start_by, level.start_by.back());
    level.start_by.push_back(start_by);
    level.work.push_back(service->on_time);
  }

  std::map<ServiceId, ServiceSums> services;
  std::map<QueueName, QueueSums> queues;
};

}  // namespace

bool LoadForecast::Due(Instant now) const {
  return !this->made_at || now >= *this->made_at + kForecastInterval;
}

void LoadForecast::NoteFirstStart(const Queue& queue, Duration wait) {
  const auto found = this->services.find(queue.service);
  const bool is_short =
      found != this->services.end() &&
      (found->second.is_short || found->second.mean_used >= kShortageEnd);
  // What a job waits for capacity is no overhead.
  if (is_short) return;
  const Duration bounded =
      std::clamp<Duration>(wait, Duration::zero(), kMaxOverhead);
  const auto [known, added] = this->overheads.try_emplace(queue.name, bounded);
  if (added) return;
  const auto change = static_cast<double>((bounded - known->second).count());
  known->second +=
      Duration(static_cast<std::int64_t>(kOverheadWeight * change));
}

void LoadForecast::NoteStart(const Queue& queue, const Resources& resources,
                             Duration run_time) {
  const auto found = this->services.find(queue.service);
  if (found == this->services.end()) return;
  const double share = DominantShare(resources, found->second.capacity);
  found->second.starts[queue.priority].started += Duration(
      static_cast<std::int64_t>(share * static_cast<double>(run_time.count())));
}

Duration LoadForecast::ServiceState::TimeFor(Duration work,
                                             std::int32_t priority) const {
  double left = 1.0;
  for (const auto& [level, rate] : this->starts) {
    if (level < priority) left -= rate.share;
  }
  return Duration(static_cast<std::int64_t>(static_cast<double>(work.count()) /
                                            std::max(left, kMinShare)));
}

void LoadForecast::UpdateUse(std::span<const ServiceUse> uses, Instant now) {
  const Duration passed =
      this->made_at ? now - *this->made_at : Duration::zero();
  const double kept = std::exp(-static_cast<double>(passed.count()) /
                               static_cast<double>(kUsePeriod.count()));
  for (const ServiceUse& use : uses) {
    ServiceState& state = this->services[use.service];
    state.mean_used = kept * state.mean_used + (1.0 - kept) * state.last_used;
    state.last_used = use.used;
    for (auto& [priority, rate] : state.starts) {
      const Duration started = std::exchange(rate.started, Duration::zero());
      if (passed == Duration::zero()) continue;
      const double share = static_cast<double>(started.count()) /
                           static_cast<double>(passed.count());
      rate.share = kept * rate.share + (1.0 - kept) * share;
    }
    state.capacity = use.capacity;
  }
  this->made_at = now;
}

Forecast LoadForecast::Make(
    std::span<const WaitingWork> waiting, std::span<const ServiceUse> uses,
    const std::unordered_map<QueueName, double>& ratio_of, Instant now) {
  this->UpdateUse(uses, now);
  const auto time_for = [this](const Queue& queue, Duration work) {
    return this->services[queue.service].TimeFor(work, queue.priority);
  };
  Totals totals(waiting, time_for, now);
  Forecast forecast;
  for (const ServiceUse& use : uses) {
    ServiceState& state = this->services[use.service];
    const ServiceSums& sums = totals.Of(use.service);
    const Duration left = sums.on_time + sums.late;
    // Failure: a burst fills the queue for seconds before the mean has risen.
    if (use.used >= kShortageBegin && sums.late_soon > Duration::zero()) {
      state.mean_used = std::max(state.mean_used, use.used);
    }
    const bool begins =
        state.mean_used >= kShortageBegin && left > Duration::zero();
    const bool is_short =
        state.is_short ? state.mean_used >= kShortageEnd : begins;
    if (std::exchange(state.is_short, is_short) == is_short) continue;
    forecast.changes.push_back(
        {use.service, is_short, state.mean_used, left, sums.late});
  }
  auto report = std::make_shared<LoadReport>();
  report->made_at = now;
  for (const auto& [name, sums] : totals.Queues()) {
    const ServiceState& state = this->services[sums.queue->service];
    if (!state.is_short) continue;
    const Queue& queue = *sums.queue;
    const auto overhead = this->overheads.find(name);
    const auto ratio = ratio_of.find(name);
    report->queues.push_back(
        {.queue = name,
         .wait = time_for(queue, totals.WorkBefore(sums, now)),
         .wait_above_share = time_for(queue, totals.Of(queue.service).on_time),
         .late_wait = time_for(queue, totals.LateWait(queue)),
         .late_work = sums.late_work,
         .late_work_of_all = sums.late_work_of_all,
         .overdue_work = totals.Of(queue.service).overdue,
         .overhead = overhead == this->overheads.end() ? Duration::zero()
                                                       : overhead->second,
         .run_time_ratio = ratio == ratio_of.end() ? 1.0 : ratio->second,
         .capacity = state.capacity});
  }
  std::set<TeamId> above;
  for (const WaitingWork& one : waiting) {
    if (one.exceeds_share) above.insert(one.team);
  }
  report->teams_above_share.assign(above.begin(), above.end());
  forecast.report = std::move(report);
  return forecast;
}

}  // namespace mustardproxy::jobs
