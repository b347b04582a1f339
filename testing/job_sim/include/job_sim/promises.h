#ifndef JOB_SIM_PROMISES_H_
#define JOB_SIM_PROMISES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job_sim/virtual_time.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"

namespace job_sim {

namespace jobs = mustardproxy::jobs;

/// Tasks that take down each worker that starts them.
struct CrashingTasks {
  /// From the start of a run to the crash; with none the start gets no answer.
  Duration after{0};
  /// The one task of each step that does so; all of them if there is none.
  std::optional<std::int32_t> index = std::nullopt;
};

/// A job as the simulated caller handed it in, and what its tasks are like.
struct SimJob {
  jobs::Job job;
  /// The key that its calls carry.
  std::string key;
  bool accepted = false;
  /// When that was first acknowledged.
  std::optional<Instant> accepted_at;
  /// Its key was turned down.
  bool denied = false;
  bool cancelled = false;
  /// When the cancellation was acknowledged.
  Instant cancelled_at;
  /// Each run of it fails.
  bool hopeless = false;
  std::optional<CrashingTasks> crashing;
  /// How long its runs take, as a multiple of what it declares.
  double length_factor = 1.0;
  /// When the first of its tasks began, and the last one ended well.
  std::optional<Instant> first_start;
  std::optional<Instant> done_at;
  std::int64_t tasks_done = 0;
};

/// Watches what workers do and keeps a list of what must never happen. Judged
/// by the workers' side alone, not by what the scheduler believes.
class Promises {
 public:
  Promises(const VirtualTime* time, mustardproxy::EventLog* log)
      : time(time), log(log) {}

  /// Tells whether nothing has disturbed processes and store lately.
  std::function<bool()> in_touch = [] { return true; };
  /// How long after an evacuation has begun tasks may start there.
  Duration evacuation_bound = std::chrono::seconds(5);

  SimJob* Add(jobs::Job job);
  [[nodiscard]] SimJob* Find(const jobs::JobId& id);
  [[nodiscard]] const std::map<jobs::JobId, SimJob>& Jobs() const {
    return this->jobs;
  }
  [[nodiscard]] const jobs::Step* StepOf(const jobs::StepRef& ref) const;
  /// @return how long a run of the step works
  [[nodiscard]] Duration LengthOf(const jobs::StepRef& ref) const;

  /// Operators put these teams in force.
  void OnTeams(std::vector<jobs::Team> teams);
  /// Operators evacuate a data centre, or cancel that.
  void OnEvacuation(const mustardproxy::DataCenterId& data_center,
                    bool evacuated);
  /// A run begins on a worker in this data centre.
  /// @param late the order was carried out seconds after it was sent
  void CheckEvacuation(const mustardproxy::DataCenterId& data_center,
                       const jobs::RunRef& run, bool late);
  /// A call with this key was answered with success.
  /// @param in_touch nothing has disturbed the processes or the store lately
  void OnServed(const std::string& key, Instant sent, bool in_touch);
  /// A worker begins a run.
  /// @param late the order was carried out seconds after it was sent
  void OnStart(const std::string& worker, const jobs::RunRef& run, bool late);
  void OnEnd(const std::string& worker, const jobs::RunRef& run,
             jobs::RunEnd end);
  /// The run takes its worker down.
  void OnTaskCrash(const std::string& worker, const jobs::RunRef& run);
  /// The life of a worker ends while it runs this.
  void OnWorkerCrash(const jobs::RunRef& run);
  /// The worker was told that an end is noted, in one lease with it.
  void OnNoted(const jobs::RunRef& run, jobs::RunEnd end);
  /// A worker is given more than it has.
  void OnOvercommit(const std::string& worker, const jobs::RunRef& run);
  /// The scheduler tells a caller that the job is completed.
  void OnShownCompleted(const jobs::JobId& id);
  /// The scheduler tells a caller that the job has failed. It may give a task
  /// up under which two workers have crashed, whatever they crashed by.
  void OnShownFailed(const jobs::JobId& id);
  /// The scheduler tells a caller that there is no such job.
  /// @param in_touch nothing has disturbed the processes or the store lately
  void OnShownUnknown(const jobs::JobId& id, Instant asked, bool in_touch);
  /// At the end: all accepted jobs that could end have ended.
  void OnUnfinished(const jobs::JobId& id, jobs::JobState state);

  [[nodiscard]] const std::vector<std::string>& Broken() const {
    return this->broken;
  }
  [[nodiscard]] std::int64_t Runs() const { return this->runs; }
  /// @return how many workers were taken down by tasks
  [[nodiscard]] std::int64_t TaskCrashes() const { return this->task_crashes; }
  /// @return how many jobs were shown as failed whose tasks would have ended
  ///   well, because workers crashed under them
  [[nodiscard]] std::size_t GivenUpWrongly() const {
    return this->given_up_wrongly.size();
  }
  /// @return true if each run of the task takes its worker down
  [[nodiscard]] bool Crashes(const jobs::TaskRef& task) const;
  [[nodiscard]] bool Done(const jobs::TaskRef& task) const {
    return this->done.contains(task);
  }

 private:
  /// Teams that operators have put in force, from that moment on.
  struct TeamsInForce {
    Instant since;
    std::vector<jobs::Team> teams;
  };

  void Break(const std::string& promise, const std::string& detail);
  void CheckOrder(const jobs::RunRef& run);
  void CheckCap(const jobs::RunRef& run);
  /// @return true if the teams of a state that was in force at `moment` or
  ///   later, until now, hold the key
  [[nodiscard]] bool WasInForce(const jobs::KeyDigest& key,
                                Instant moment) const;
  void CheckCrashBudget(const jobs::RunRef& run);
  /// @return true if a task, or gang, of the job has failed as often as allowed
  [[nodiscard]] bool HasUsedUpAttempts(const SimJob& job) const;
  /// @return true if so many workers crashed under a task of the job that it
  /// may
  ///   be given up
  [[nodiscard]] bool MayBeGivenUp(const SimJob& job) const;

  const VirtualTime* time;
  mustardproxy::EventLog* log;
  /// Evacuated data centres, each since then.
  std::map<mustardproxy::DataCenterId, Instant> evacuated;
  std::vector<TeamsInForce> team_history;
  std::map<jobs::JobId, SimJob> jobs;
  /// Runs of each task that go on.
  std::map<jobs::TaskRef, std::set<jobs::RunNumber>> running;
  /// Tasks that ended well, and those of which this is noted.
  std::set<jobs::TaskRef> done;
  std::set<jobs::TaskRef> noted_done;
  std::map<jobs::TaskRef, std::set<jobs::RunNumber>> noted_failed;
  /// Runs of each task that ended as failed.
  std::map<jobs::TaskRef, std::set<jobs::RunNumber>> failed;
  /// By task that takes its workers down: how many went, and how often it was
  /// started after the most that may go.
  std::map<jobs::TaskRef, std::int32_t> crashes;
  std::map<jobs::TaskRef, std::int32_t> starts_after_crashes;
  std::int64_t task_crashes = 0;
  /// By task: how many workers crashed while they ran it.
  std::map<jobs::TaskRef, std::int32_t> crashed_under;
  std::set<jobs::JobId> given_up_wrongly;
  std::vector<std::string> broken;
  std::int64_t runs = 0;
};

}  // namespace job_sim

#endif  // JOB_SIM_PROMISES_H_
