#include "job_load/experiment.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "job_sim/sim_cell.h"
#include "load.h"

namespace job_load {
namespace {

using job_sim::SimCell;
using job_sim::SimJob;
using job_sim::SimWorker;
using mustardproxy::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSampleEvery = seconds(1);
/// How long jobs may take to end once no more come.
constexpr Duration kTail = seconds(45);
/// Answers of a slow store.
constexpr Duration kSlowStore = milliseconds(370);
constexpr double kMilliPerCore = 1000.0;

/// Plays one description.
class Player {
 public:
  explicit Player(const Deployment& given)
      : deployment(given),
        cell(MakeCell(given)),
        time(this->cell->Time()),
        load(given.seed) {
    this->begun = this->time.Now();
  }

  ExperimentResult Play();

 private:
  static std::unique_ptr<SimCell> MakeCell(const Deployment& deployment);
  [[nodiscard]] Duration Elapsed() const {
    return this->time.Now() - this->begun;
  }
  void PlanJob(std::size_t queue);
  void HandIn(std::size_t queue);
  void PlanFault(const PlannedFault& fault);
  void Strike(const PlannedFault& fault);
  void StrikeWorkers(const PlannedFault& fault);
  void Sample();
  void Collect();
  void CountGivenUp();

  const Deployment& deployment;
  std::unique_ptr<SimCell> cell;
  job_sim::VirtualTime& time;
  /// Of the jobs alone: whatever the scheduler does, the same jobs come.
  job_sim::Random load;
  Instant begun;
  ExperimentResult result;
};

std::unique_ptr<SimCell> Player::MakeCell(const Deployment& deployment) {
  SimCell::Builder builder;
  builder.Seed(deployment.seed)
      .Processes(deployment.processes)
      .Workers(deployment.workers)
      .StoreWrites(deployment.store_writes_per_second)
      .WorkersPerRack(deployment.workers_per_rack)
      .Capacity(deployment.worker_cpu_milli, deployment.worker_memory_mb);
  for (const QueueLoad& load : deployment.queues) {
    builder.Queue(load.queue, load.permitted_share);
  }
  return builder.Build();
}

void Player::PlanJob(std::size_t queue) {
  const Duration pause =
      DrawPause(&this->load, this->deployment.queues[queue], this->Elapsed());
  if (this->Elapsed() + pause >= this->deployment.length) return;
  this->time.After(pause, [this, queue] {
    this->HandIn(queue);
    this->PlanJob(queue);
  });
}

void Player::HandIn(std::size_t queue) {
  const QueueLoad& kind = this->deployment.queues[queue];
  const DrawnJob drawn = DrawJob(&this->load, kind);
  const std::size_t process = this->load.DrawIndex(this->deployment.processes);
  SimJob* job = this->cell->SubmitTo(kind.queue.name, drawn.spec, process);
  job->length_factor = drawn.length_factor;
  job->hopeless = drawn.hopeless;
  if (drawn.crashing) {
    job->crashing = job_sim::CrashingTasks{.after = kind.crash_after};
  }
  JobOutcome outcome;
  outcome.job = job->job.id.Text();
  outcome.queue = queue;
  outcome.handed_in = this->Elapsed();
  outcome.hopeless = drawn.hopeless || drawn.crashing;
  outcome.core_seconds = CoreSeconds(drawn);
  const auto chain = static_cast<double>(LongestChain(drawn).count());
  outcome.objective =
      Duration(std::llround(chain * kind.queue.stretch)) + kind.queue.target;
  this->result.jobs.push_back(std::move(outcome));
}

void Player::PlanFault(const PlannedFault& fault) {
  this->time.After(fault.at, [this, fault] { this->Strike(fault); });
}

void Player::Strike(const PlannedFault& fault) {
  job_sim::SimStore& store = this->cell->Store();
  switch (fault.kind) {
    case PlannedFault::Kind::kKillOwner:
      if (const auto owner = this->cell->OwnerIndex()) {
        this->cell->KillProcess(*owner);
        this->time.After(fault.length, [this, index = *owner] {
          this->cell->StartProcess(index);
        });
      }
      return;
    case PlannedFault::Kind::kStoreSilent:
      store.silent = true;
      this->time.After(fault.length, [&store] { store.silent = false; });
      return;
    case PlannedFault::Kind::kStoreSlow: {
      const Duration usual = std::exchange(store.latency, kSlowStore);
      this->time.After(fault.length,
                       [&store, usual] { store.latency = usual; });
      return;
    }
    case PlannedFault::Kind::kCrashWorkers:
    case PlannedFault::Kind::kCutWorkers:
      this->StrikeWorkers(fault);
  }
}

void Player::StrikeWorkers(const PlannedFault& fault) {
  std::vector<SimWorker*> alive = this->cell->Workers().Alive();
  const auto count = static_cast<std::size_t>(
      std::lround(fault.share * static_cast<double>(alive.size())));
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t drawn = i + this->time.DrawIndex(alive.size() - i);
    std::swap(alive[i], alive[drawn]);
    if (fault.kind == PlannedFault::Kind::kCrashWorkers) {
      this->cell->CrashWorker(alive[i], fault.length);
      continue;
    }
    const std::string name = alive[i]->Info().incarnation.id.Text();
    this->cell->Workers().cut.insert(name);
    this->time.After(fault.length,
                     [this, name] { this->cell->Workers().cut.erase(name); });
  }
}

void Player::Sample() {
  CellSample sample;
  sample.at = this->Elapsed();
  for (const SimWorker* worker : this->cell->Workers().Alive()) {
    sample.cores +=
        static_cast<double>(worker->Info().capacity.cpu_milli) / kMilliPerCore;
    sample.cores_used +=
        static_cast<double>(worker->Used().cpu_milli) / kMilliPerCore;
    sample.tasks_running += static_cast<std::int64_t>(worker->RunningCount());
  }
  for (const auto& [id, job] : this->cell->Judge().Jobs()) {
    if (!job.first_start) ++sample.jobs_waiting;
  }
  this->result.samples.push_back(sample);
}

void Player::CountGivenUp() {
  constexpr std::string_view kEvent = " task-given-up task=";
  constexpr char kEndOfJob = '.';
  for (const std::string& line : this->cell->Log().Lines()) {
    const std::size_t found = line.find(kEvent);
    if (found == std::string::npos) continue;
    ++this->result.given_up;
    const std::size_t begin = found + kEvent.size();
    const jobs::JobId id(
        line.substr(begin, line.find(kEndOfJob, begin) - begin));
    const SimJob* job = this->cell->Judge().Find(id);
    if (job != nullptr && !job->crashing) ++this->result.sound_given_up;
  }
}

void Player::Collect() {
  for (JobOutcome& outcome : this->result.jobs) {
    const SimJob* job = this->cell->Judge().Find(jobs::JobId(outcome.job));
    const Instant handed_in = this->begun + outcome.handed_in;
    if (job->first_start) outcome.first_start = *job->first_start - handed_in;
    if (job->done_at) outcome.done = *job->done_at - handed_in;
  }
  this->result.broken = this->cell->Judge().Broken();
  this->result.runs = this->cell->Judge().Runs();
  this->result.task_crashes = this->cell->Judge().TaskCrashes();
  this->CountGivenUp();
  this->result.played = this->Elapsed();
  for (const double taken : this->cell->ProcessorSeconds()) {
    this->result.control_cpu_seconds += taken;
    this->result.owner_cpu_seconds =
        std::max(this->result.owner_cpu_seconds, taken);
  }
  this->result.log = this->cell->Log().Lines();
}

ExperimentResult Player::Play() {
  for (std::size_t i = 0; i < this->deployment.queues.size(); ++i) {
    this->PlanJob(i);
  }
  for (const PlannedFault& fault : this->deployment.faults) {
    this->PlanFault(fault);
  }
  const Duration end = this->deployment.length + kTail;
  while (this->Elapsed() < end) {
    this->time.RunFor(kSampleEvery);
    this->Sample();
  }
  this->Collect();
  return std::move(this->result);
}

}  // namespace

ExperimentResult RunExperiment(const Deployment& deployment) {
  return Player(deployment).Play();
}

}  // namespace job_load
