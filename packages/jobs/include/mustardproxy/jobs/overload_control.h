#ifndef MUSTARDPROXY_JOBS_OVERLOAD_CONTROL_H_
#define MUSTARDPROXY_JOBS_OVERLOAD_CONTROL_H_

namespace mustardproxy::jobs {

/// Decisions for a cell whose callers ask for more than its workers can run.
/// Each is off unless the settings of the deployment ask for it.
struct OverloadControl {
  /// Jobs that could not be done usefully are rejected when they are submitted.
  bool admission = false;
  /// Tasks of queues with priority 0 may take capacity from running tasks of
  /// the other queues.
  bool preemption = false;
  /// While capacity is short, teams share it by their weights.
  bool team_shares = false;

  friend bool operator==(const OverloadControl&,
                         const OverloadControl&) = default;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OVERLOAD_CONTROL_H_
