#ifndef MUSTARDPROXY_JOBS_WORKER_DRIVER_H_
#define MUSTARDPROXY_JOBS_WORKER_DRIVER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/worker_incarnation.h"

namespace mustardproxy::jobs {

/// Fencing token of the scheduler that orders; a worker obeys its highest only.
using FencingToken = std::int64_t;

/// One life of a worker as it describes itself.
struct WorkerInfo {
  WorkerIncarnation incarnation;
  /// `ip:port` for orders.
  std::string address;
  ServiceId service;
  DataCenterId data_center;
  Resources capacity;
  std::vector<std::string> labels;
  /// The one of its labels that names its rack.
  std::string rack;
  /// Takes no new tasks and will leave.
  bool draining = false;
  /// Least time that it still runs while it drains.
  Duration remaining{0};

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// Which life of which worker an order is for.
struct WorkerTarget {
  WorkerIncarnation incarnation;
  std::string address;
};

/// One run of one task.
struct RunRef {
  TaskRef task;
  RunNumber run = 0;

  friend bool operator==(const RunRef&, const RunRef&) = default;
  // clang-tidy takes the 0 of its own rewriting for a null pointer.
  friend std::strong_ordering operator<=>(const RunRef&,
                                          const RunRef&) = default;  // NOLINT
};

struct StartOrder {
  RunRef run;
  std::string payload;
  /// Where to resume; empty for the beginning.
  std::string checkpoint;
  /// Permission of the policy service; empty if none is needed.
  std::string ticket;
  /// On the worker's clock: everything there is killed then unless renewed.
  std::int64_t lease_until_ms = 0;
  FencingToken token = 0;
};

struct StopOrder {
  RunRef run;
  FencingToken token = 0;
};

/// Renews the lease of all that runs on a worker, notes ends and lists both.
struct HoldOrder {
  std::int64_t lease_until_ms = 0;
  /// Ends up to this number are forgotten there.
  std::int64_t acknowledged_end = 0;
  /// How long the answer may wait for an end.
  Duration wait{0};
  FencingToken token = 0;
};

/// How an order ended.
enum class OrderOutcome {
  kDone,
  /// The worker has seen a higher token.
  kFenced,
  /// This run, or a higher one, has been there already, or was stopped before.
  kOldRun,
  /// The lease would have lapsed on arrival.
  kLeaseExpired,
  kNoRoom,
  /// The permission is missing or has lapsed.
  kNoTicket,
  kInvalid,
  /// Another life of the worker answered: the one meant is gone.
  kOtherIncarnation,
  /// The worker said no for now, or was never reached; nothing was done.
  kRefused,
  /// No answer: it may have been done, or be done seconds later.
  kUncertain,
};

struct OrderResult {
  OrderOutcome end = OrderOutcome::kUncertain;
  /// The worker's clock, if it answered; else 0.
  std::int64_t clock_ms = 0;
  /// Start of the life that answered, in Unix milliseconds; 0 if the answer
  /// does not tell.
  std::int64_t start_unix_ms = 0;
};

struct RunningRun {
  RunRef run;
  std::string checkpoint;
  std::int32_t percent = 0;
  /// For a long-running task the tail of its response times in milliseconds,
  /// else processors in use in thousandths; over the last half second.
  std::int64_t measured = 0;
};

enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  /// The lease of the worker lapsed.
  kLapsed,
  /// Another member of its gang ended.
  kGangMemberEnded,
  /// The other members of its gang did not come in time.
  kGangIncomplete,
};

[[nodiscard]] std::string_view Name(RunEnd end);
[[nodiscard]] std::string_view Name(OrderOutcome end);

struct EndedRun {
  /// Counts the ends of one life of the worker from 1.
  std::int64_t number = 0;
  RunRef run;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct HoldResult {
  OrderResult order;
  std::vector<RunningRun> running;
  /// In order of their numbers.
  std::vector<EndedRun> ended;
  /// The list of ends was cut at the most that one answer holds.
  bool more_ended = false;

  /// @return all runs that either list names
  [[nodiscard]] std::set<RunRef> ListedRuns() const;
};

/// Sends orders to workers. Each ends by one call of `done` on the control
/// thread, never before the call returns. Nothing is sent twice.
class WorkerDriver {
 public:
  WorkerDriver() = default;
  WorkerDriver(const WorkerDriver&) = delete;
  WorkerDriver& operator=(const WorkerDriver&) = delete;
  virtual ~WorkerDriver() = default;

  virtual void Start(const WorkerTarget& worker, StartOrder order,
                     std::function<void(OrderResult)> done) = 0;
  virtual void Stop(const WorkerTarget& worker, StopOrder order,
                    std::function<void(OrderResult)> done) = 0;
  virtual void Hold(const WorkerTarget& worker, HoldOrder order,
                    std::function<void(HoldResult)> done) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_DRIVER_H_
