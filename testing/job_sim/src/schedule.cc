#include "job_sim/schedule.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "job_sim/sim_cell.h"

namespace job_sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kProcesses = 3;
constexpr std::size_t kWorkers = 6;
constexpr std::size_t kDataCenters = 3;
constexpr std::int32_t kJobs = 14;
constexpr std::int32_t kMostFaults = 7;
/// Share of its capacity that a worker has at least after a restart.
constexpr double kLeastCapacity = 0.7;
/// Time in which jobs come and faults strike.
constexpr Duration kBusy = seconds(18);
/// Time in which everything has to end once the faults are over: the longest
/// wait for a worker that can't be reached, twice, and the work itself.
constexpr Duration kCalm = seconds(90);
/// The same where tasks take their workers down: up to 18 of a job are tried
/// one after the other, each four times, and each time a lease lapses.
constexpr Duration kCalmWithCrashes = seconds(18 * 4 * 6);

/// Least and most processors that a team may have running.
constexpr std::int64_t kLeastCap = 10'500;
constexpr std::int64_t kMostCap = 21'000;
/// The widest gang with teams: it fits under the least cap.
constexpr std::int32_t kMostGangTasks = 3;
/// Processes are in touch once nothing has disturbed them for so long.
constexpr Duration kContact = seconds(4);

/// The longest run of a task.
constexpr Duration kLongest = milliseconds(3000);
constexpr Duration kLongestWithTakeovers = seconds(12);

/// Where connections are bounded: what a worker takes, the most tasks of a
/// step, and their size, with which all of them fit on one worker. If it was
/// lost twice under them, they are tried one after the other, 5 s each, and
/// that has to end within `kCalm`.
constexpr std::size_t kWorkerConnections = 64;
constexpr std::size_t kWidest = 14;
constexpr std::int64_t kWideTaskCpu = 100;

/// Plays one seed.
class Player {
 public:
  Player(std::uint64_t seed, const ScheduleOptions& options)
      : cell(MakeCell(seed, options)),
        time(this->cell->Time()),
        options(options) {
    this->cell->in_touch = [this] {
      return this->lasting_faults == 0 &&
             this->time.Now() >= this->disturbed_at + kContact;
    };
    this->cell->Judge().in_touch = this->cell->in_touch;
    this->cell->Store().latency = options.store_latency;
    // With each life drawn anew, so many crashes would leave none permitted.
    if (options.crashing_tasks) this->cell->PermitByAddress();
    if (options.reused_worker_ids) {
      this->cell->ReuseWorkerIds();
      this->cell->Workers().resets_connections = this->time.Chance(0.5);
      // What is permitted on one worker alone must still fit there.
      const bool varies = this->time.Chance(0.5);
      if (varies && !this->cell->queue.advice) {
        this->cell->VaryCapacity(kLeastCapacity);
      }
    }
    if (options.teams) this->AddTeams();
    if (options.evacuations) this->PlanEvacuations();
  }

  ScheduleResult Play();

 private:
  static std::unique_ptr<SimCell> MakeCell(std::uint64_t seed,
                                           const ScheduleOptions& options);
  void AddTeams();
  void PlanTeamChange();
  void PlanEvacuations();
  void Evacuate();
  void ChangeTeam();
  /// @return a key that some team holds or held, or that none ever had
  std::string DrawKey();
  std::string NewKey();
  std::int64_t DrawCap();
  jobs::JobSpec DrawSpec();
  void PlanJob();
  void PlanFault();
  void Strike();
  void StrikeProcess();
  void StrikeProcess(std::size_t index);
  /// Disturbs a worker, and its owner once or more soon after.
  void StrikeWorkerAndOwner();
  void LoseOrCutWorker(SimWorker* worker);
  /// Cuts the owner off, together with a worker.
  void PartitionOwner(const std::string& worker);
  /// Cuts a worker off from all processes but one.
  void CutFromMost(const std::string& worker);
  void StrikeStore();
  void StrikeWorker();
  void ResizeWorker();
  /// Restarts many workers at about the same moment.
  void RestartWorkers();
  std::optional<CrashingTasks> DrawCrashing();
  void Note(const std::string& fault);
  /// Undoes a fault after a while.
  void Undo(Duration least, Duration most, std::function<void()> undo);
  std::size_t DrawProcess();
  /// Asks for each accepted job at some process.
  void AskForAll();
  void CheckWaits();

  std::unique_ptr<SimCell> cell;
  VirtualTime& time;
  ScheduleOptions options;
  ScheduleResult result;
  /// All keys that teams ever had.
  std::vector<std::string> keys;
  std::int32_t next_key = 0;
  /// The fault that is being drawn disturbs neither processes nor the store.
  bool strikes_worker = false;
  /// Faults that are not undone, and when processes or the store were last
  /// disturbed.
  std::int32_t lasting_faults = 0;
  Instant disturbed_at;
};

std::unique_ptr<SimCell> Player::MakeCell(std::uint64_t seed,
                                          const ScheduleOptions& options) {
  SimCell::Builder builder;
  builder.Seed(seed)
      .Processes(kProcesses)
      .Workers(kWorkers)
      .Capacity(8000, 64'000);
  if (options.evacuations) builder.DataCenters(kDataCenters);
  if (options.takeovers) builder.HiddenBirths();
  constexpr std::uint64_t kAdviceEvery = 3;
  if (seed % kAdviceEvery == 0) builder.Advice(0.6, milliseconds(60));
  auto cell = builder.Build();
  if (options.bounded_connections) {
    cell->Workers().connections.limit = kWorkerConnections;
  }
  return cell;
}

jobs::JobSpec Player::DrawSpec() {
  std::vector<jobs::Step> steps;
  const std::size_t count = 1 + this->time.DrawIndex(3);
  // Leases matter only to runs that outlast them.
  const Duration longest =
      this->options.takeovers ? kLongestWithTakeovers : kLongest;
  for (std::size_t i = 0; i < count; ++i) {
    jobs::Step step =
        MakeStep(static_cast<std::int32_t>(1 + this->time.DrawIndex(6)),
                 static_cast<std::int64_t>(500 + this->time.DrawIndex(3000)),
                 this->time.DrawBetween(milliseconds(200), longest));
    if (this->options.bounded_connections && this->time.Chance(0.5)) {
      step.tasks = static_cast<std::int32_t>(1 + this->time.DrawIndex(kWidest));
      step.each.cpu_milli = kWideTaskCpu;
    }
    step.gang = this->time.Chance(0.35);
    // What is permitted on one worker alone must still fit.
    const bool advised = this->cell->queue.advice.has_value();
    if (advised && step.gang) step.tasks = std::min(step.tasks, 2);
    if (this->options.teams && step.gang) {
      step.tasks = std::min(step.tasks, kMostGangTasks);
    }
    step.checkpointing = this->time.Chance(0.5);
    if (i > 0 && this->time.Chance(0.7)) {
      step.after.push_back(static_cast<std::int32_t>(i - 1));
    }
    steps.push_back(std::move(step));
  }
  return MakeSpec(std::move(steps));
}

std::int64_t Player::DrawCap() {
  const auto range = static_cast<std::size_t>(kMostCap - kLeastCap);
  return kLeastCap + static_cast<std::int64_t>(this->time.DrawIndex(range));
}

std::string Player::NewKey() {
  this->keys.push_back("key" + std::to_string(this->next_key++));
  return this->keys.back();
}

void Player::AddTeams() {
  constexpr std::size_t kTeams = 3;
  constexpr int kKeys = 2;
  for (std::size_t i = 0; i < kTeams; ++i) {
    jobs::Team team;
    team.id = mustardproxy::TeamId("team" + std::to_string(i));
    team.cap.cpu_milli = this->DrawCap();
    for (int k = 0; k < kKeys; ++k) {
      team.keys.push_back(jobs::KeyDigest::Of(this->NewKey()));
    }
    this->cell->teams.push_back(team);
  }
  this->cell->Apply();
  this->time.RunFor(kContact);
  constexpr int kChanges = 5;
  for (int i = 0; i < kChanges; ++i) this->PlanTeamChange();
}

std::string Player::DrawKey() {
  if (!this->options.teams) return "";
  if (this->time.Chance(0.1)) return "unknown";
  return this->keys[this->time.DrawIndex(this->keys.size())];
}

void Player::PlanTeamChange() {
  const Duration at = this->time.DrawBetween(Duration::zero(), kBusy);
  this->time.After(at, [this] { this->ChangeTeam(); });
}

void Player::PlanEvacuations() {
  constexpr int kEvacuations = 5;
  for (int i = 0; i < kEvacuations; ++i) {
    const Duration at = this->time.DrawBetween(Duration::zero(), kBusy);
    this->time.After(at, [this] { this->Evacuate(); });
  }
}

void Player::Evacuate() {
  constexpr double kAllChance = 0.2;
  const bool all = this->time.Chance(kAllChance);
  const std::size_t chosen = this->time.DrawIndex(kDataCenters);
  const Duration length =
      this->time.DrawBetween(milliseconds(20), milliseconds(9000));
  for (std::size_t i = 0; i < kDataCenters; ++i) {
    if (!all && i != chosen) continue;
    const auto center = this->cell->DataCenterAt(i);
    this->Note("evacuate " + center.Text());
    this->cell->Evacuate(center);
    this->time.After(length, [this, center] {
      this->Note("evacuation cancelled, " + center.Text());
      this->cell->CancelEvacuation(center);
    });
  }
}

void Player::ChangeTeam() {
  jobs::Team& team =
      this->cell->teams[this->time.DrawIndex(this->cell->teams.size())];
  switch (this->time.DrawIndex(4)) {
    case 0:
      this->Note("cap of " + team.id.Text());
      team.cap.cpu_milli = this->DrawCap();
      break;
    case 1:
      this->Note("new key of " + team.id.Text());
      team.keys.push_back(jobs::KeyDigest::Of(this->NewKey()));
      break;
    case 2:
      if (team.keys.empty()) return;
      this->Note("key of " + team.id.Text() + " revoked");
      team.keys.erase(
          team.keys.begin() +
          static_cast<std::ptrdiff_t>(this->time.DrawIndex(team.keys.size())));
      break;
    default:
      this->Note("all keys of " + team.id.Text() + " revoked");
      team.keys.clear();
  }
  this->cell->Apply();
}

void Player::PlanJob() {
  const Duration at = this->time.DrawBetween(Duration::zero(), kBusy);
  const bool cancel = this->time.Chance(0.15);
  const bool hopeless = this->time.Chance(0.1);
  const std::optional<CrashingTasks> crashing = this->DrawCrashing();
  this->time.After(at, [this, cancel, hopeless, crashing] {
    SimJob* job = this->cell->Submit(this->DrawSpec(), this->DrawProcess(),
                                     this->DrawKey());
    job->hopeless = hopeless;
    job->crashing = crashing;
    if (!cancel) return;
    const Duration later =
        this->time.DrawBetween(milliseconds(50), milliseconds(4000));
    this->time.After(later, [this, id = job->job.id] {
      this->cell->Cancel(id, this->DrawProcess());
    });
  });
}

std::optional<CrashingTasks> Player::DrawCrashing() {
  if (!this->options.crashing_tasks || !this->time.Chance(0.2)) {
    return std::nullopt;
  }
  CrashingTasks crashing;
  // Half of them before they have answered.
  if (this->time.Chance(0.5)) {
    crashing.after =
        this->time.DrawBetween(milliseconds(5), milliseconds(1500));
  }
  // Not all of a wide job take their workers down.
  if (this->time.Chance(0.5)) crashing.index = 0;
  return crashing;
}

std::size_t Player::DrawProcess() { return this->time.DrawIndex(kProcesses); }

void Player::Note(const std::string& fault) {
  const auto at = std::chrono::duration_cast<milliseconds>(
      this->time.Now().time_since_epoch());
  this->result.faults.push_back(std::to_string(at.count()) + " ms " + fault);
}

void Player::Undo(Duration least, Duration most, std::function<void()> undo) {
  const bool disturbs = !this->strikes_worker;
  if (disturbs) ++this->lasting_faults;
  this->time.After(this->time.DrawBetween(least, most),
                   [this, disturbs, undo = std::move(undo)] {
                     if (disturbs) {
                       --this->lasting_faults;
                       this->disturbed_at = this->time.Now();
                     }
                     this->strikes_worker = !disturbs;
                     undo();
                   });
}

void Player::PlanFault() {
  const Duration at = this->time.DrawBetween(Duration::zero(), kBusy);
  this->time.After(at, [this] { this->Strike(); });
}

void Player::ResizeWorker() {
  const std::vector<SimWorker*> alive = this->cell->Workers().Alive();
  if (alive.empty()) return;
  SimWorker* worker = alive[this->time.DrawIndex(alive.size())];
  const mustardproxy::Resources whole = worker->Info().capacity;
  mustardproxy::Resources left = whole;
  left.cpu_milli = static_cast<std::int64_t>(
      this->time.Draw() * static_cast<double>(whole.cpu_milli));
  this->Note("shrink " + worker->Info().incarnation.id.Text() + " to " +
             std::to_string(left.cpu_milli));
  this->cell->ResizeWorker(worker, left);
  // It may have crashed meanwhile; its next life has the same room.
  this->Undo(milliseconds(500), milliseconds(9000),
             [this, address = worker->Info().address, whole] {
               SimWorker* now = this->cell->Workers().At(address);
               if (now->Alive()) {
                 this->cell->ResizeWorker(now, whole);
               } else {
                 now->Resize(whole);
               }
             });
}

void Player::RestartWorkers() {
  SimWorkers& workers = this->cell->Workers();
  const bool behind_cut = this->time.Chance(0.3);
  const bool again = this->time.Chance(0.3);
  const double share = 0.3 + 0.7 * this->time.Draw();
  for (SimWorker* worker : workers.Alive()) {
    if (!this->time.Chance(share)) continue;
    const std::string name = worker->Info().incarnation.id.Text();
    const Duration down =
        this->time.Chance(0.3)
            ? Duration::zero()
            : this->time.DrawBetween(milliseconds(1), milliseconds(1500));
    this->Note("restart " + name);
    if (behind_cut && workers.cut.insert(name).second) {
      this->Undo(milliseconds(500), milliseconds(6000),
                 [&workers, name] { workers.cut.erase(name); });
    }
    this->cell->CrashWorker(worker, down);
  }
  if (!again) return;
  this->Undo(milliseconds(200), milliseconds(4000),
             [this] { this->RestartWorkers(); });
}

void Player::Strike() {
  this->strikes_worker = true;
  if (this->options.reused_worker_ids && this->time.Chance(0.4)) {
    this->RestartWorkers();
    return;
  }
  if (this->options.crashing_tasks && this->time.Chance(0.3)) {
    this->ResizeWorker();
    return;
  }
  if (this->options.takeovers && this->time.Chance(0.5)) {
    this->StrikeWorkerAndOwner();
    return;
  }
  const std::size_t kind = this->time.DrawIndex(3);
  this->strikes_worker = kind > 1;
  if (!this->strikes_worker) this->disturbed_at = this->time.Now();
  switch (kind) {
    case 0:
      this->StrikeProcess();
      return;
    case 1:
      this->StrikeStore();
      return;
    default:
      this->StrikeWorker();
  }
}

void Player::StrikeProcess() {
  // The owner is hit more often than by its share: it has most to lose.
  const auto owner = this->cell->OwnerIndex();
  this->StrikeProcess(owner && this->time.Chance(0.6) ? *owner
                                                      : this->DrawProcess());
}

void Player::CutFromMost(const std::string& worker) {
  SimWorkers& workers = this->cell->Workers();
  const auto owner = this->cell->OwnerIndex();
  const std::size_t spared =
      owner && this->time.Chance(0.6) ? *owner : this->DrawProcess();
  this->Note("cut from all but process-" + std::to_string(spared) + " " +
             worker);
  for (std::size_t i = 0; i < kProcesses; ++i) {
    if (i == spared) continue;
    const auto cut = std::make_pair("process-" + std::to_string(i), worker);
    workers.cut_from.insert(cut);
    this->Undo(milliseconds(500), milliseconds(16'000),
               [&workers, cut] { workers.cut_from.erase(cut); });
  }
}

void Player::PartitionOwner(const std::string& worker) {
  const auto owner = this->cell->OwnerIndex();
  if (!owner) return;
  SimWorkers& workers = this->cell->Workers();
  this->Note("partition process-" + std::to_string(*owner) + " with " + worker);
  std::set<std::pair<std::string, std::string>> cuts;
  for (const SimWorker* other : workers.Alive()) {
    const std::string name = other->Info().incarnation.id.Text();
    for (std::size_t i = 0; i < kProcesses; ++i) {
      if ((i == *owner) == (name == worker)) continue;
      cuts.emplace("process-" + std::to_string(i), name);
    }
  }
  workers.cut_from.insert(cuts.begin(), cuts.end());
  Process* process = this->cell->ProcessAt(*owner);
  process->store_cut = true;
  process->peers_cut = this->time.Chance(0.5);
  this->strikes_worker = false;
  this->Undo(milliseconds(500), milliseconds(16'000),
             [&workers, cuts, process] {
               for (const auto& cut : cuts) workers.cut_from.erase(cut);
               process->store_cut = false;
               process->peers_cut = false;
             });
  this->strikes_worker = true;
}

void Player::LoseOrCutWorker(SimWorker* worker) {
  SimWorkers& workers = this->cell->Workers();
  const std::string name = worker->Info().incarnation.id.Text();
  switch (this->time.DrawIndex(4)) {
    case 0:
      this->Note("lose " + name);
      this->cell->AddWorker();
      this->cell->CrashWorker(worker, std::nullopt);
      return;
    case 1:
      this->Note("cut " + name);
      workers.cut.insert(name);
      this->Undo(milliseconds(300), milliseconds(9000),
                 [&workers, name] { workers.cut.erase(name); });
      return;
    case 2:
      this->CutFromMost(name);
      return;
    default:
      this->PartitionOwner(name);
  }
}

void Player::StrikeWorkerAndOwner() {
  std::vector<SimWorker*> busy = this->cell->Workers().Alive();
  std::erase_if(busy, [](const auto* one) { return one->RunningCount() == 0; });
  this->strikes_worker = true;
  if (!busy.empty()) {
    this->LoseOrCutWorker(busy[this->time.DrawIndex(busy.size())]);
  }
  constexpr std::size_t kMostChanges = 3;
  const std::size_t changes = 1 + this->time.DrawIndex(kMostChanges);
  for (std::size_t i = 0; i < changes; ++i) {
    const Duration at = this->time.DrawBetween(Duration::zero(), seconds(5));
    this->time.After(at, [this] {
      const auto owner = this->cell->OwnerIndex();
      if (!owner) return;
      this->strikes_worker = false;
      this->disturbed_at = this->time.Now();
      this->StrikeProcess(*owner);
    });
  }
}

void Player::StrikeProcess(std::size_t index) {
  Process* process = this->cell->ProcessAt(index);
  if (process == nullptr) return;
  const std::string name = process->Name();
  switch (this->time.DrawIndex(6)) {
    case 0:
      this->Note("kill " + name);
      this->cell->KillProcess(index);
      this->Undo(milliseconds(200), milliseconds(6000),
                 [this, index] { this->cell->StartProcess(index); });
      return;
    case 1:
      this->Note("stop " + name);
      this->cell->StopProcess(index);
      this->Undo(milliseconds(2200), milliseconds(5000),
                 [this, index] { this->cell->StartProcess(index); });
      return;
    case 2:
      this->Note("pause " + name);
      process->Pause();
      this->Undo(milliseconds(500), milliseconds(9000),
                 [process] { process->Resume(); });
      return;
    case 3:
      this->Note("cut from the store " + name);
      process->store_cut = true;
      this->Undo(milliseconds(500), milliseconds(9000),
                 [process] { process->store_cut = false; });
      return;
    case 4:
      this->Note("cut from the workers " + name);
      process->workers_cut = true;
      this->Undo(milliseconds(500), milliseconds(7000),
                 [process] { process->workers_cut = false; });
      return;
    default:
      this->Note("cut from the others " + name);
      process->peers_cut = true;
      this->Undo(milliseconds(500), milliseconds(9000),
                 [process] { process->peers_cut = false; });
  }
}

void Player::StrikeStore() {
  SimStore& store = this->cell->Store();
  switch (this->time.DrawIndex(6)) {
    case 0:
      this->Note("store silent");
      store.silent = true;
      store.leases_run_on = this->time.Chance(0.5);
      this->Undo(milliseconds(500), milliseconds(9500),
                 [&store] { store.silent = false; });
      return;
    case 1:
      this->Note("store refuses");
      store.refusing = true;
      store.leases_run_on = this->time.Chance(0.5);
      this->Undo(milliseconds(500), milliseconds(9500),
                 [&store] { store.refusing = false; });
      return;
    case 2:
      this->Note("answers of the store lost");
      store.lost_answers = 0.35;
      this->Undo(milliseconds(500), milliseconds(5000),
                 [&store] { store.lost_answers = 0; });
      return;
    case 3:
      this->Note("writes of the store late");
      store.late_writes = 0.35;
      this->Undo(milliseconds(500), milliseconds(5000),
                 [&store] { store.late_writes = 0; });
      return;
    case 4:
      this->Note("store forgets its history");
      store.Compact();
      return;
    default:
      this->Note("leases revoked");
      store.RevokeLeases();
  }
}

void Player::StrikeWorker() {
  SimWorkers& workers = this->cell->Workers();
  const std::vector<SimWorker*> alive = workers.Alive();
  if (alive.size() < 2) return;
  SimWorker* worker = alive[this->time.DrawIndex(alive.size())];
  const std::string name = worker->Info().incarnation.id.Text();
  switch (this->time.DrawIndex(6)) {
    case 0:
      this->Note("crash " + name);
      this->cell->CrashWorker(
          worker, this->time.DrawBetween(milliseconds(300), seconds(5)));
      return;
    case 1:
      this->Note("cut " + name);
      workers.cut.insert(name);
      this->Undo(milliseconds(500), milliseconds(9000),
                 [&workers, name] { workers.cut.erase(name); });
      return;
    case 2:
      this->Note("orders late");
      workers.late_orders = 0.1;
      this->Undo(milliseconds(500), milliseconds(5000),
                 [&workers] { workers.late_orders = 0; });
      return;
    case 3:
      this->Note("answers of workers lost");
      workers.lost_answers = 0.1;
      this->Undo(milliseconds(500), milliseconds(5000),
                 [&workers] { workers.lost_answers = 0; });
      return;
    case 4:
      this->Note("fails all " + name);
      worker->fails_all = true;
      this->Undo(milliseconds(500), milliseconds(5000),
                 [worker] { worker->fails_all = false; });
      return;
    default:
      this->Note("drain " + name);
      this->cell->AddWorker();
      this->cell->DrainWorker(worker);
      this->Undo(milliseconds(3000), milliseconds(6000), [this, worker] {
        if (!worker->Alive()) return;
        worker->Crash();
        this->cell->UnlistWorker(worker);
      });
  }
}

// A gang that waits for good shows only if nothing helps it by chance until the
// end. What each waiting step waits for is logged, so a wait without an end
// shows at once.
void Player::CheckWaits() {
  for (const std::string& line : this->cell->Log().Lines()) {
    if (line.find("until=nothing") == std::string::npos) continue;
    this->result.broken.push_back("waits for nothing: " + line);
  }
}

void Player::AskForAll() {
  for (const auto& [id, job] : this->cell->Judge().Jobs()) {
    if (job.accepted) (void)this->cell->Ask(id, this->DrawProcess());
  }
}

ScheduleResult Player::Play() {
  for (std::int32_t i = 0; i < kJobs; ++i) this->PlanJob();
  const std::size_t faults = 1 + this->time.DrawIndex(kMostFaults);
  for (std::size_t i = 0; i < faults; ++i) this->PlanFault();
  constexpr Duration kAskEvery = milliseconds(700);
  for (Duration at{0}; at < kBusy; at += kAskEvery) {
    this->time.RunFor(kAskEvery);
    const auto& all = this->cell->Judge().Jobs();
    if (all.empty()) continue;
    auto asked = all.begin();
    std::advance(asked,
                 static_cast<std::ptrdiff_t>(this->time.DrawIndex(all.size())));
    const jobs::JobId id = asked->first;
    (void)this->cell->Ask(id, this->DrawProcess());
  }
  // Faults undo themselves within this.
  this->time.RunFor(seconds(10));
  this->cell->Settle(this->options.crashing_tasks ? kCalmWithCrashes : kCalm);
  this->AskForAll();
  this->result.broken = this->cell->Judge().Broken();
  this->CheckWaits();
  this->result.log = this->cell->Log().Lines();
  this->result.runs = this->cell->Judge().Runs();
  this->result.given_up_wrongly = this->cell->Judge().GivenUpWrongly();
  this->result.jobs = std::ssize(this->cell->Judge().Jobs());
  return std::move(this->result);
}

}  // namespace

ScheduleResult PlaySchedule(std::uint64_t seed,
                            const ScheduleOptions& options) {
  return Player(seed, options).Play();
}

}  // namespace job_sim
