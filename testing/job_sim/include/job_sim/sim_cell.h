#ifndef JOB_SIM_SIM_CELL_H_
#define JOB_SIM_SIM_CELL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "job_sim/process.h"
#include "job_sim/promises.h"
#include "job_sim/sim_store.h"
#include "job_sim/sim_worker.h"
#include "job_sim/virtual_time.h"
#include "mustardproxy/jobs/job_node.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"

namespace job_sim {

/// Lines of the structured log, kept to be printed when a test fails.
class KeptLog final : public mustardproxy::EventLog {
 public:
  explicit KeptLog(const VirtualTime* time) : time(time) {}
  void Write(std::string_view part, std::string_view event,
             std::initializer_list<mustardproxy::LogField> fields) override;
  [[nodiscard]] const std::vector<std::string>& Lines() const {
    return this->lines;
  }
  /// @return how many lines tell of this event
  [[nodiscard]] std::size_t Count(std::string_view event) const;

 private:
  const VirtualTime* time;
  std::vector<std::string> lines;
  std::map<std::string, std::size_t, std::less<>> counts;
};

/// A whole cell in virtual time: processes of the product, the platform's
/// store, workers, the policy service, and callers.
class SimCell {
 public:
  class Builder;
  ~SimCell();

  VirtualTime& Time() { return this->time; }
  SimStore& Store() { return this->store; }
  SimWorkers& Workers() { return this->workers; }
  Promises& Judge() { return this->promises; }
  KeptLog& Log() { return this->log; }
  mustardproxy::Metrics& Measured() { return this->metrics; }

  /// Starts a process; a killed one starts again under the same name.
  void StartProcess(std::size_t index);
  void KillProcess(std::size_t index);
  /// Has it give up what it owns, as on SIGTERM, and end two seconds later.
  void StopProcess(std::size_t index);
  /// @return the control thread of a process that runs, else null
  Process* ProcessAt(std::size_t index);
  mustardproxy::jobs::JobNode* NodeAt(std::size_t index);
  /// @return the process that decides, if one does
  std::optional<std::size_t> OwnerIndex();

  /// Adds a worker and its entry in the store.
  SimWorker* AddWorker();
  /// The entry says that it drains, or goes.
  void DrainWorker(SimWorker* worker);
  /// Has each worker write its entry again and again, so often. Each writes
  /// what it said last.
  void StartHeartbeats(Duration interval);
  void StopHeartbeats() { this->heartbeat = Duration::zero(); }
  void UnlistWorker(SimWorker* worker);
  /// Its life ends; another begins at the same address after `down`, under a
  /// new id or, see ReuseWorkerIds, the same.
  void CrashWorker(SimWorker* worker, std::optional<Duration> down);
  /// Its room changes while it runs, and its entry says so.
  void ResizeWorker(SimWorker* worker, const mustardproxy::Resources& capacity);

  /// Has workers start again under the id that they had.
  void ReuseWorkerIds() { this->reuses_ids = true; }
  /// Has neither entries nor answers tell when a worker's life began.
  void HideBirths() { this->hides_births = true; }
  /// Least and most capacity of a life that follows another, as a share of what
  /// the first life had.
  void VaryCapacity(double least);

  /// Has the policy service know workers by their address, so that a life that
  /// follows another is permitted what that was.
  void PermitByAddress() { this->permits_by_address = true; }
  /// Has the next questions to the policy service fail at once, as when their
  /// connections are reset.
  void FailQuestions(std::int32_t count) { this->failing_questions = count; }

  /// @return the data centre of the worker that was added as this one
  [[nodiscard]] mustardproxy::DataCenterId DataCenterAt(
      std::size_t number) const;
  /// Operators evacuate a data centre; `dc`, `dc1`, `dc2` and so on.
  void Evacuate(const mustardproxy::DataCenterId& data_center);
  void CancelEvacuation(const mustardproxy::DataCenterId& data_center);

  /// The queue of the desired state, which may be changed before `Apply`.
  jobs::Queue queue;
  /// The teams of the desired state, likewise. With none, calls need no keys.
  std::vector<jobs::Team> teams;
  /// Tells whether nothing has disturbed processes and store lately.
  std::function<bool()> in_touch = [] { return true; };
  void Apply();

  /// Hands a job in at a process, and again elsewhere until it is accepted or
  /// its key is turned down.
  SimJob* Submit(jobs::JobSpec spec, std::size_t process = 0,
                 const std::string& key = "");
  /// The same for another queue than `queue`.
  SimJob* SubmitTo(const jobs::QueueName& name, jobs::JobSpec spec,
                   std::size_t process, const std::string& key = "");
  /// Hands the same id in once, at one process.
  /// @return the result; nothing if there was no answer
  std::optional<jobs::SubmitResult> SubmitOnce(const SimJob& job,
                                               std::size_t process,
                                               const std::string& key);
  /// Cancels with a key, once, at one process.
  std::optional<jobs::SubmitResult> CancelOnce(const jobs::JobId& id,
                                               std::size_t process,
                                               const std::string& key);
  /// Asks with a key at one process.
  std::optional<mustardproxy::Result<jobs::JobStatus>> AskOnce(
      const jobs::JobId& id, std::size_t process, const std::string& key);
  void Cancel(const jobs::JobId& id, std::size_t process = 0);
  /// @return what a caller is told; nothing if there was no answer
  std::optional<jobs::JobState> Ask(const jobs::JobId& id,
                                    std::size_t process = 0);
  /// The same, and why.
  std::optional<jobs::JobStatus> AskStatus(const jobs::JobId& id,
                                           std::size_t process = 0);
  /// Runs until the job is final for callers.
  bool AwaitFinal(const jobs::JobId& id, Duration limit);
  /// @return processor time that the control thread of each process took, all
  ///   its lives together
  [[nodiscard]] std::vector<double> ProcessorSeconds() const;
  /// Ends all faults, and judges that every accepted job ends.
  void Settle(Duration limit);

 private:
  struct Slot;
  class Peers;
  class Adviser;
  class Schema;
  explicit SimCell(std::uint64_t seed);
  void SubmitAt(const jobs::JobId& id, std::size_t process, int tries);
  void CancelAt(const jobs::JobId& id, std::size_t process, int tries);
  std::size_t RunningFrom(std::size_t process);
  [[nodiscard]] const jobs::Queue& QueueOf(const jobs::QueueName& name) const;
  /// Has the node judge a call.
  mustardproxy::Result<jobs::Admission> Admit(jobs::JobNode* node,
                                              const jobs::QueueName& queue,
                                              const std::string& key) const;
  [[nodiscard]] std::optional<jobs::SubmitResult> AwaitResult(
      const std::shared_ptr<std::optional<jobs::SubmitResult>>& result);
  SimWorker* ListWorker(const mustardproxy::Resources& capacity);
  void WriteEntry(const SimWorker& worker, std::string_view state);
  /// Writes the entry of a worker again, and then once in an interval.
  void Beat(const std::string& key);
  /// Begins the life that follows a crashed worker's.
  void BeginNextLife(const SimWorker& former);
  /// The worker writes its entry as soon as the store takes it.
  void Register(const SimWorker* worker);
  [[nodiscard]] std::int64_t NewBirth();
  /// @return processor time of a process in thousandths of a core
  [[nodiscard]] std::int64_t HostSize(std::size_t index) const;

  VirtualTime time;
  KeptLog log;
  mustardproxy::Metrics metrics;
  Promises promises;
  SimStore store;
  SimWorkers workers;
  std::unique_ptr<Schema> schema;
  std::vector<std::unique_ptr<Slot>> slots;
  /// Runs of processes that have ended; callbacks may still name them.
  std::vector<std::unique_ptr<Slot>> ended;
  mustardproxy::ConfigurationVersion version = 0;
  /// The teams of each version.
  std::map<mustardproxy::ConfigurationVersion, std::vector<jobs::Team>>
      applied_teams;
  std::int32_t next_worker = 0;
  std::int32_t next_job = 0;
  mustardproxy::Incarnation next_incarnation = 1;
  /// Queues beside `queue`.
  std::vector<jobs::Queue> other_queues;
  std::map<jobs::QueueName, double> permitted_shares;
  std::size_t workers_per_rack = 2;
  std::size_t data_centers = 1;
  std::int64_t store_writes_per_second = 400;
  jobs::OverloadControl overload;
  std::vector<std::int64_t> host_sizes;
  std::int32_t order_relays = 0;
  Duration configuration_bound{0};
  /// Interval at which workers write their entries; never if zero.
  Duration heartbeat{0};
  bool permits_by_address = false;
  /// How many of the next questions fail.
  std::int32_t failing_questions = 0;
  bool reuses_ids = false;
  bool hides_births = false;
  double least_capacity = 1.0;
  /// Capacity of the first life at each address.
  std::map<std::string, mustardproxy::Resources> whole_capacity;
};

class SimCell::Builder {
 public:
  Builder& Seed(std::uint64_t value);
  Builder& Processes(std::size_t count);
  /// Time within which they start, at random; all at one moment by default.
  Builder& StartWithin(Duration time);
  Builder& Workers(std::size_t count);
  /// Processors and memory of each worker.
  Builder& Capacity(std::int64_t cpu_milli, std::int64_t memory_mb);
  /// The queue needs permissions, which this share of the workers gets.
  Builder& Advice(double permitted_share, Duration decision);
  Builder& MaxAttempts(std::int32_t attempts);
  Builder& WorkersPerRack(std::size_t count);
  /// Data centres over which the workers are spread; one by default.
  Builder& DataCenters(std::size_t count);
  /// What the store takes from all processes together.
  Builder& StoreWrites(std::int64_t per_second);
  /// Decisions under overload; all off by default.
  Builder& Overload(jobs::OverloadControl control);
  /// Processor time of each process, in thousandths of a core; all alike by
  /// default. Larger hosts are preferred as owners.
  Builder& HostSizes(std::vector<std::int64_t> cpu_milli);
  /// Most processes that send orders for the owner; none by default.
  Builder& OrderRelays(std::int32_t count);
  /// Time within which a change of the desired state must be in force.
  Builder& ConfigurationBound(Duration bound);
  /// See SimCell::HideBirths; from the first life of each worker on.
  Builder& HiddenBirths();
  /// Another queue; its service is that of the cell. If it has a policy, this
  /// share of the workers is permitted.
  Builder& Queue(jobs::Queue queue, double permitted_share);
  /// @return a cell whose processes have started and whose owner is at work
  std::unique_ptr<SimCell> Build();

 private:
  std::uint64_t seed = 1;
  std::size_t processes = 3;
  Duration start_within{0};
  std::size_t workers = 4;
  std::int64_t cpu_milli = 16'000;
  std::int64_t memory_mb = 64'000;
  std::optional<double> permitted_share;
  Duration decision{0};
  std::int32_t max_attempts = 3;
  std::size_t workers_per_rack = 2;
  std::size_t data_centers = 1;
  std::int64_t store_writes_per_second = 400;
  std::vector<std::pair<jobs::Queue, double>> queues;
  jobs::OverloadControl overload;
  std::vector<std::int64_t> host_sizes;
  std::int32_t order_relays = 0;
  Duration configuration_bound{0};
  bool hides_births = false;

  friend class SimCell;
};

/// @return a step of `tasks` tasks of this size and length
[[nodiscard]] jobs::Step MakeStep(std::int32_t tasks, std::int64_t cpu_milli,
                                  Duration length);
[[nodiscard]] jobs::JobSpec MakeSpec(std::vector<jobs::Step> steps);

}  // namespace job_sim

#endif  // JOB_SIM_SIM_CELL_H_
