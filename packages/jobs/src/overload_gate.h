#ifndef MUSTARDPROXY_JOBS_OVERLOAD_GATE_H_
#define MUSTARDPROXY_JOBS_OVERLOAD_GATE_H_

#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "mustardproxy/jobs/load_report.h"

namespace mustardproxy::jobs {

/// Whether to accept a job, and what the decision was made from.
struct GateDecision {
  bool accept = true;
  /// `hopeless` or `late`; empty for an accepted job.
  std::string_view reason;
  Duration predicted_wait{0};
  Duration objective{0};
  Duration report_age{0};
  /// When to come back, for a rejected job.
  Duration retry_after{0};
};

/// Rejects jobs that could not be done usefully. Answers the load of callers
/// who ask for more than the workers can run: a queue of accepted work would
/// make all of it late. Accepts everything without a recent report.
class OverloadGate {
 public:
  /// Replaces the report unless it is older than the current one.
  void OnReport(const LoadReport& given);
  /// Accepts one job for each report that is about to become too old: its
  /// announcement brings another one.
  [[nodiscard]] GateDecision Decide(const JobId& id, const Queue& queue,
                                    const JobSpec& spec, const TeamId& team,
                                    Instant now);
  /// Remembers a rejected job, which is judged more leniently when it returns.
  void NoteRejected(const JobId& id, Instant now);

 private:
  [[nodiscard]] GateDecision Judge(const JobId& id, const Queue& queue,
                                   const JobSpec& spec, const TeamId& team,
                                   Instant now) const;
  [[nodiscard]] bool Returns(const JobId& id, Instant now) const;

  LoadReport report;
  bool reported = false;
  /// A job was accepted only for the sake of a newer report.
  bool renewing = false;
  std::unordered_map<JobId, Instant> rejected;
  std::deque<std::pair<Instant, JobId>> by_time;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OVERLOAD_GATE_H_
