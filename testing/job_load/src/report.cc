#include "job_load/report.h"

#include <algorithm>
#include <cstdio>
#include <span>
#include <vector>

namespace job_load {
namespace {

/// A job is worth nothing after this times its objective.
constexpr std::int64_t kWorthlessAfter = 3;
constexpr double kLateWorth = 0.2;
constexpr double kMicrosPerMilli = 1000.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
constexpr double kPercent = 100.0;
constexpr std::size_t kTenths = 10;

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0.0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(share * last);
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

/// @return a line, formatted as by printf
template <typename... Values>
std::string Line(const char* format, Values... values) {
  const int size = std::snprintf(nullptr, 0, format, values...);
  std::string line(static_cast<std::size_t>(size) + 1, '\0');
  std::snprintf(line.data(), line.size(), format, values...);
  line.back() = '\n';
  return line;
}

bool IsServed(const JobOutcome& job) {
  return job.done && *job.done <= kWorthlessAfter * job.objective;
}

double Earned(const JobOutcome& job) {
  if (!IsServed(job)) return 0.0;
  const bool in_time = *job.done <= job.objective;
  return in_time ? job.core_seconds : kLateWorth * job.core_seconds;
}

SizeFigures SummarizeSize(std::span<const JobOutcome* const> jobs) {
  SizeFigures figures;
  figures.jobs = jobs.size();
  std::size_t served = 0;
  double owed = 0.0;
  double earned = 0.0;
  for (const JobOutcome* job : jobs) {
    if (IsServed(*job)) ++served;
    owed += job->core_seconds;
    earned += Earned(*job);
  }
  if (owed == 0.0) return figures;
  figures.served =
      static_cast<double>(served) / static_cast<double>(jobs.size());
  figures.worth = earned / owed;
  return figures;
}

/// @return the queue's jobs that can be done, the largest first
std::vector<const JobOutcome*> BySize(const ExperimentResult& result,
                                      std::size_t queue) {
  std::vector<const JobOutcome*> jobs;
  for (const JobOutcome& job : result.jobs) {
    if (job.queue == queue && !job.hopeless) jobs.push_back(&job);
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const JobOutcome* a, const JobOutcome* b) {
                     return a->core_seconds > b->core_seconds;
                   });
  return jobs;
}

QueueFigures SummarizeQueue(const Deployment& deployment,
                            const ExperimentResult& result, std::size_t queue) {
  QueueFigures figures;
  figures.queue = deployment.queues[queue].queue.name.Text();
  const std::vector<const JobOutcome*> jobs = BySize(result, queue);
  figures.jobs = jobs.size();
  std::vector<double> starts;
  std::vector<double> stretches;
  for (const JobOutcome* job : jobs) {
    if (job->first_start) starts.push_back(Millis(*job->first_start));
    if (job->done) {
      stretches.push_back(Millis(*job->done) / Millis(job->objective));
    }
    if (!IsServed(*job)) {
      ++figures.lost;
    } else if (*job->done <= job->objective) {
      ++figures.in_time;
    } else {
      ++figures.late;
    }
  }
  figures.start_p50_ms = Quantile(starts, kMedian);
  figures.start_p99_ms = Quantile(starts, kTail);
  figures.stretch_p50 = Quantile(stretches, kMedian);
  figures.stretch_p99 = Quantile(stretches, kTail);
  const std::span all(jobs);
  const std::size_t tenth = jobs.size() / kTenths;
  figures.all = SummarizeSize(all);
  figures.largest_tenth = SummarizeSize(all.first(tenth));
  figures.next_fifth = SummarizeSize(all.subspan(tenth, 2 * tenth));
  return figures;
}

}  // namespace

std::vector<QueueFigures> Summarize(const Deployment& deployment,
                                    const ExperimentResult& result) {
  std::vector<QueueFigures> rows;
  for (std::size_t i = 0; i < deployment.queues.size(); ++i) {
    rows.push_back(SummarizeQueue(deployment, result, i));
  }
  return rows;
}

std::string FormatReport(const Deployment& deployment,
                         const ExperimentResult& result) {
  std::string text =
      Line("seed %llu, %zu workers, %zu processes, %.0f s",
           static_cast<unsigned long long>(deployment.seed), deployment.workers,
           deployment.processes,
           static_cast<double>(deployment.length.count()) / kMicrosPerSecond);
  text += Line("%-16s %6s %8s %6s %6s %7s %10s %10s %8s %8s", "queue", "jobs",
               "in time", "late", "lost", "worth", "start p50", "start p99",
               "end p50", "end p99");
  const std::vector<QueueFigures> rows = Summarize(deployment, result);
  for (const QueueFigures& row : rows) {
    text +=
        Line("%-16s %6zu %8zu %6zu %6zu %7.3f %7.0f ms %7.0f ms %8.2f %8.2f",
             row.queue.c_str(), row.jobs, row.in_time, row.late, row.lost,
             row.all.worth, row.start_p50_ms, row.start_p99_ms, row.stretch_p50,
             row.stretch_p99);
  }
  text += Line("%-16s %8s %14s %12s %8s %14s %12s", "by work", "served",
               "largest tenth", "next fifth", "worth", "largest tenth",
               "next fifth");
  for (const QueueFigures& row : rows) {
    text +=
        Line("%-16s %8.2f %14.2f %12.2f %8.3f %14.3f %12.3f", row.queue.c_str(),
             row.all.served, row.largest_tenth.served, row.next_fifth.served,
             row.all.worth, row.largest_tenth.worth, row.next_fifth.worth);
  }
  double used = 0.0;
  double cores = 0.0;
  for (const CellSample& sample : result.samples) {
    if (sample.at > deployment.length) continue;
    used += sample.cores_used;
    cores += sample.cores;
  }
  text += Line("processors in use while jobs came: %.1f %%",
               cores > 0.0 ? kPercent * used / cores : 0.0);
  const auto runs = static_cast<double>(std::max<std::int64_t>(1, result.runs));
  text += Line(
      "%lld runs; control threads took %.2f s, the owner's %.2f s: "
      "%.0f us a run",
      static_cast<long long>(result.runs), result.control_cpu_seconds,
      result.owner_cpu_seconds,
      kMicrosPerSecond * result.owner_cpu_seconds / runs);
  if (result.task_crashes > 0) {
    text += Line("tasks took %lld workers down; %zu were given up, %zu wrongly",
                 static_cast<long long>(result.task_crashes), result.given_up,
                 result.sound_given_up);
  }
  for (const std::string& line : result.broken) {
    text += "BROKEN " + line + "\n";
  }
  return text;
}

}  // namespace job_load
