#ifndef MUSTARDPROXY_BENCH_DECISIONS_DRIVER_H_
#define MUSTARDPROXY_BENCH_DECISIONS_DRIVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell.h"
#include "dispatcher.h"

namespace mustardproxy::bench {

/// Requests of one team for one service arriving at random.
struct Stream {
  ServiceLoad load;
  TeamId team;
  double requests_per_second = 0;
};

/// Waiting times of one kind of request and what became of the others.
struct Outcomes {
  std::vector<double> wait_ms;
  std::int64_t refused = 0;
  std::int64_t expired = 0;
  /// Given up after the last attempt failed.
  std::int64_t failed = 0;
  /// Tasks that ran to their end.
  std::int64_t finished_tasks = 0;
  /// Still waiting at the end of the run.
  std::int64_t waiting = 0;

  /// @return a quantile of the waiting times of placed requests
  [[nodiscard]] double Wait(double quantile);
  [[nodiscard]] double MeanWait() const;
  /// @return placed requests as a share of all
  [[nodiscard]] double Placed() const;
  /// @return requests that waited in vain as a share of all
  [[nodiscard]] double Expired() const;
};

/// What a run shows, by `<team>/<service>`.
struct RunResult {
  std::map<std::string, Outcomes> by_stream;
  /// Mean share in use of the part that is used most.
  double utilisation = 0;
  /// Tasks started in all, and those of them that met a failing worker or were
  /// stopped for urgent work.
  std::int64_t tasks = 0;
  std::int64_t failed_tasks = 0;
  std::int64_t stopped_tasks = 0;
  /// Run time that was lost with the stopped tasks.
  double lost_seconds = 0;
  /// Most that a team's tasks held at once: the part that it held most of.
  std::map<TeamId, double> most_held;
  /// Adds up all streams of a service.
  [[nodiscard]] Outcomes OfService(const std::string& service) const;
  [[nodiscard]] Outcomes Of(const std::string& team,
                            const std::string& service) const;
};

/// One run in virtual time.
struct RunPlan {
  CellShape cell;
  Configuration configuration;
  std::vector<Stream> streams;
  double seconds = 60;
  /// Requests that arrive in this first part are not counted.
  double warm_up_seconds = 10;
  std::uint64_t seed = 0;
  /// Share of the workers that fail every task soon after its start.
  double failing_share = 0;
  /// Whether the dispatcher is asked for tasks to stop.
  bool preempts = false;
};

/// Drives a dispatcher on an empty cell through random arrivals and ends. The
/// same plan gives every dispatcher the same arrivals and run times.
[[nodiscard]] RunResult Drive(const RunPlan& plan, Ledger* ledger,
                              Dispatcher* dispatcher);

/// @return streams of all of a mix's services, for one team, that ask for
///   `load` of the scarcest resource together
[[nodiscard]] std::vector<Stream> StreamsOf(const CellShape& cell,
                                            const Mix& mix,
                                            const std::string& team,
                                            double load);

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_DRIVER_H_
