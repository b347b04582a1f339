#ifndef JOB_SIM_SIM_WORKER_H_
#define JOB_SIM_SIM_WORKER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "job_sim/process.h"
#include "job_sim/promises.h"
#include "job_sim/sim_connections.h"
#include "job_sim/virtual_time.h"
#include "mustardproxy/jobs/worker_driver.h"

namespace job_sim {

class SimWorkers;

/// One life of one worker: obeys the highest token, keeps everything under one
/// lease on its own slow clock, lists ends until they are noted.
class SimWorker {
 public:
  SimWorker(SimWorkers* all, jobs::WorkerInfo info, double clock_rate);

  jobs::OrderResult Start(const jobs::StartOrder& order, bool late);
  jobs::OrderResult Stop(const jobs::StopOrder& order);
  /// Answers at once, or when something ends, or after the wait.
  void Hold(const jobs::HoldOrder& order,
            std::function<void(jobs::HoldResult)> done);
  /// All that runs ends; the life is over.
  void Crash();
  /// A life that follows a larger one may be given what still fitted there.
  void FollowLife(const SimWorker& former);
  void EndRun(const jobs::RunRef& run, jobs::RunEnd end);

  [[nodiscard]] const jobs::WorkerInfo& Info() const { return this->info; }
  [[nodiscard]] bool Alive() const { return this->alive; }
  [[nodiscard]] std::size_t RunningCount() const {
    return this->running.size();
  }
  /// What the tasks that run take.
  [[nodiscard]] mustardproxy::Resources Used() const;
  /// Its room changes while it runs. The scheduler may still go by the former
  /// one for a while.
  void Resize(const mustardproxy::Resources& capacity);

  /// Each run that it starts fails at once.
  bool fails_all = false;
  /// It turns each start down.
  bool refuses_all = false;
  /// Its runs take this times as long.
  double slowness = 1.0;

 private:
  friend class SimWorkers;
  struct Running {
    Instant started;
    /// Time that it takes to resume.
    Duration restore{0};
    Duration work{0};
    std::int64_t saved_ms = 0;
    bool working = false;
  };
  struct Waiting {
    std::function<void(jobs::HoldResult)> done;
  };
  struct Ended {
    jobs::EndedRun run;
    std::int64_t lapses = 0;
  };

  [[nodiscard]] std::int64_t ClockMs() const;
  jobs::OrderResult Refuse(jobs::OrderOutcome end) const;
  bool Fenced(jobs::FencingToken token);
  void Extend(std::int64_t until_ms);
  void CheckLease();
  void Begin(const jobs::RunRef& run, Running* record);
  [[nodiscard]] mustardproxy::Resources Each(const jobs::RunRef& run) const;
  void CheckCapacity(const jobs::RunRef& run, bool late);
  /// @return the most that the scheduler may take it to have
  [[nodiscard]] mustardproxy::Resources CapacitySince(Instant moment) const;
  /// Has the run take the worker down, if its job is of that kind.
  void PlanCrash(const jobs::RunRef& run);
  /// @return false if its queue asks for a ticket and this one does not hold
  [[nodiscard]] bool Permitted(const jobs::StartOrder& order) const;
  jobs::HoldResult Lists() const;
  void Answer();
  std::string Checkpoint(const Running& record, bool at_stop = false) const;
  std::int64_t DoneMs(const Running& record) const;
  void CountWork(const Ended& entry, const Running& record) const;

  SimWorkers* all;
  jobs::WorkerInfo info;
  double clock_rate;
  /// Its clock counts from here.
  Instant started;
  bool alive = true;
  jobs::FencingToken token = 0;
  std::int64_t lease_until_ms = 0;
  std::int64_t lapses = 0;
  std::map<jobs::RunRef, Running> running;
  std::map<jobs::TaskRef, jobs::RunNumber> closed;
  std::vector<Ended> ended;
  std::int64_t next_end = 1;
  std::vector<std::shared_ptr<Waiting>> waiting;
  /// Former capacities, with the moment at which each ended.
  std::vector<std::pair<Instant, mustardproxy::Resources>> former_capacities;
};

/// All workers, and the faults on the way to them.
class SimWorkers {
 public:
  SimWorkers(VirtualTime* time, Promises* promises)
      : connections(time), time(time), promises(promises) {}

  std::unique_ptr<jobs::WorkerDriver> Connect(Process* process);
  /// Begins a life; one under the same id is over.
  SimWorker* Add(jobs::WorkerInfo info);
  /// @return the life at an address, or null
  [[nodiscard]] SimWorker* At(const std::string& address);
  /// @return the latest life under an id, or null
  [[nodiscard]] SimWorker* Find(const std::string& id);
  /// @return the life under an id that was born then, or null
  [[nodiscard]] SimWorker* FindLife(const std::string& id,
                                    std::int64_t start_unix_ms);
  [[nodiscard]] std::vector<SimWorker*> Alive();
  /// @return how many addresses there are
  [[nodiscard]] std::size_t Size() const { return this->at_address.size(); }

  /// Ends the life of a worker that a task takes down, and begins another; the
  /// life ends here if this is empty.
  std::function<void(SimWorker*)> crash;
  /// Share of the orders that are carried out seconds later, without an
  /// answer, and of those whose answer is lost.
  double late_orders = 0;
  double lost_answers = 0;
  /// How much later a start order is carried out, without an answer; nothing if
  /// it goes the usual way. A test that sets it controls the order of events.
  std::function<std::optional<Duration>(const jobs::WorkerTarget&,
                                        const jobs::StartOrder&)>
      delay_start;
  /// Unbounded unless a test sets the limit.
  SimConnections connections;
  /// Workers that nobody reaches.
  std::set<std::string> cut;
  /// Processes, each with a worker that it does not reach.
  std::set<std::pair<std::string, std::string>> cut_from;
  /// Waiting holds of a worker that crashes end at once, as connections do that
  /// are reset, and not by their time-outs.
  bool resets_connections = false;
  /// Holds that owners have sent, and those of them that reached nobody.
  std::int64_t holds = 0;
  std::int64_t unreached_holds = 0;
  /// Time of one way.
  Duration latency = std::chrono::milliseconds(1);
  Duration gang_wait = std::chrono::seconds(3);
  /// What a stop takes, and what a run takes to resume from a checkpoint.
  Duration stop_time = std::chrono::milliseconds(100);
  Duration restore_time{0};
  /// A run that is stopped saves all its work first.
  bool saves_at_stop = false;
  /// Processor time of all runs that have ended, and that of the work which was
  /// not in a checkpoint when a run was stopped, or was spent on resuming.
  double busy_core_s = 0;
  double lost_core_s = 0;

  VirtualTime* const time;
  Promises* const promises;

 private:
  friend class SimWorker;
  friend class SimDriver;
  struct Gang {
    std::map<jobs::RunRef, SimWorker*> members;
    /// When all of them were present.
    std::optional<Instant> begun;
  };

  void JoinGang(SimWorker* worker, const jobs::RunRef& run);
  void LeaveGang(const jobs::RunRef& run, jobs::RunEnd end);

  std::map<std::string, std::unique_ptr<SimWorker>> workers;
  /// Lives that others under the same id have followed.
  std::vector<std::unique_ptr<SimWorker>> former;
  std::map<std::string, std::string> at_address;
  std::map<std::pair<jobs::StepRef, jobs::RunNumber>, Gang> gangs;
};

}  // namespace job_sim

#endif  // JOB_SIM_SIM_WORKER_H_
