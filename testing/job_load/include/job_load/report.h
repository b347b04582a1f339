#ifndef JOB_LOAD_REPORT_H_
#define JOB_LOAD_REPORT_H_

#include <string>

#include "job_load/deployment.h"
#include "job_load/experiment.h"

namespace job_load {

/// What became of jobs of about one size.
struct SizeFigures {
  std::size_t jobs = 0;
  /// Share that was done within three times the objective.
  double served = 1.0;
  /// Share of the work that earned its worth: whole in time, a fifth if late.
  double worth = 1.0;
};

/// What callers of one queue got.
struct QueueFigures {
  std::string queue;
  std::size_t jobs = 0;
  std::size_t in_time = 0;
  /// Done within three times the objective.
  std::size_t late = 0;
  /// Later, or never.
  std::size_t lost = 0;
  double start_p50_ms = 0.0;
  double start_p99_ms = 0.0;
  /// Time to the end as a multiple of the objective.
  double stretch_p50 = 0.0;
  double stretch_p99 = 0.0;
  SizeFigures all;
  /// By work in core seconds. A scheduler that starves wide gangs serves nine
  /// jobs of ten all the same; these two show it.
  SizeFigures largest_tenth;
  SizeFigures next_fifth;
};

/// @return one row a queue, in their order
[[nodiscard]] std::vector<QueueFigures> Summarize(
    const Deployment& deployment, const ExperimentResult& result);

/// @return tables for a terminal
[[nodiscard]] std::string FormatReport(const Deployment& deployment,
                                       const ExperimentResult& result);

/// @return an SVG picture: waiting time by queue, and use of the cell
[[nodiscard]] std::string PlotReport(const Deployment& deployment,
                                     const ExperimentResult& result);

}  // namespace job_load

#endif  // JOB_LOAD_REPORT_H_
