#ifndef MUSTARDPROXY_JOBS_WORKER_DRIVER_H_
#define MUSTARDPROXY_JOBS_WORKER_DRIVER_H_

#include <cstddef>
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

/// Fencing token of the scheduler that sends an order. A worker accepts only
/// orders with the highest token that it has seen.
using FencingToken = std::int64_t;

/// Description of one incarnation of a worker, as the worker reports it.
struct WorkerInfo {
  WorkerIncarnation incarnation;
  /// Address for orders, as `ip:port`.
  std::string address;
  ServiceId service;
  DataCenterId data_center;
  Resources capacity;
  std::vector<std::string> labels;
  /// The label that names the worker's rack.
  std::string rack;
  /// The worker accepts no new tasks and is going to stop.
  bool draining = false;
  /// Minimum time for which a draining worker keeps running.
  Duration remaining{0};

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// Incarnation and address of the worker that an order is sent to.
struct WorkerTarget {
  WorkerIncarnation incarnation;
  std::string address;
};

/// One run of one task.
struct RunRef {
  TaskRef task;
  RunNumber run = 0;

  friend bool operator==(const RunRef&, const RunRef&) = default;
  // clang-tidy reports the 0 in the rewritten comparison as a null pointer.
  friend std::strong_ordering operator<=>(const RunRef&,
                                          const RunRef&) = default;  // NOLINT
};

struct StartOrder {
  RunRef run;
  std::string payload;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  /// Permission issued by the policy service; empty if none is required.
  std::string ticket;
  /// End of the lease, in milliseconds on the worker's clock. Unless it is
  /// renewed, the worker kills everything that it runs at that time.
  std::int64_t lease_until_ms = 0;
  FencingToken token = 0;
};

struct StopOrder {
  RunRef run;
  FencingToken token = 0;
};

/// Renews the lease of all runs on a worker, acknowledges ended runs, and asks
/// for the lists of running and ended runs.
struct HoldOrder {
  std::int64_t lease_until_ms = 0;
  /// The worker may forget ended runs up to this number.
  std::int64_t acknowledged_end = 0;
  /// Maximum time that the worker may delay its response while it waits for a
  /// run to end.
  Duration wait{0};
  FencingToken token = 0;
};

/// Outcome of an order.
enum class OrderOutcome {
  kDone,
  /// The worker has seen an order with a higher token.
  kFenced,
  /// The worker has already seen or stopped this run, or a later run of the
  /// task.
  kOldRun,
  /// The lease had already expired when the order arrived.
  kLeaseExpired,
  kNoRoom,
  /// The permission is missing or has expired.
  kNoTicket,
  kInvalid,
  /// Another incarnation of the worker responded; the addressed one has ended.
  kOtherIncarnation,
  /// The worker rejected the order temporarily or could not be reached; the
  /// order was not carried out.
  kRefused,
  /// No response arrived: the order may have been carried out, or may still be
  /// carried out seconds later.
  kUncertain,
  /// The order waited too long for a connection, or was cancelled while it
  /// waited. Nothing was sent, and the worker is not to blame.
  kNotSent,
};

struct OrderResult {
  OrderOutcome end = OrderOutcome::kUncertain;
  /// Time on the worker's clock in milliseconds; 0 if the worker did not
  /// respond.
  std::int64_t clock_ms = 0;
  /// Start time of the incarnation that responded, in Unix milliseconds; 0 if
  /// the response does not contain it.
  std::int64_t start_unix_ms = 0;
};

struct RunningRun {
  RunRef run;
  std::string checkpoint;
  std::int32_t percent = 0;
  /// Measured over the last half second: the tail response time in milliseconds
  /// for a long-running task, otherwise the processors in use in thousandths.
  std::int64_t measured = 0;
};

enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  /// The lease of the worker expired.
  kLapsed,
  /// Another member of the gang ended.
  kGangMemberEnded,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

[[nodiscard]] std::string_view Name(RunEnd end);
[[nodiscard]] std::string_view Name(OrderOutcome end);

struct EndedRun {
  /// Sequence number of the end, counted from 1 within one incarnation of the
  /// worker.
  std::int64_t number = 0;
  RunRef run;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct HoldResult {
  OrderResult order;
  std::vector<RunningRun> running;
  /// In ascending order of their numbers.
  std::vector<EndedRun> ended;
  /// The list of ended runs was truncated to the maximum size of one response.
  bool ended_truncated = false;

  /// @return all runs in `running` and `ended`
  [[nodiscard]] std::set<RunRef> ListedRuns() const;
};

/// Sends orders to workers. Each call invokes `done` exactly once, on the
/// control thread and never before the call returns. Orders are not
/// retransmitted.
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

  /// Sets how many connections to one worker are held, idle and in use
  /// together. Orders wait for one, holds do not.
  virtual void SetConnectionShare(std::size_t /*connections*/) {}
  /// Ends the orders that wait for a connection.
  virtual void CancelWaitingOrders() {}
  /// Closes the connections to all workers, those in use once their orders have
  /// ended.
  virtual void ReleaseConnections() {}
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_DRIVER_H_
