#include "group_owner.h"

#include <algorithm>
#include <utility>

#include "keys.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {
namespace {

/// Maximum age of the view of accepted jobs for their number to be reported.
/// The number may be 2 s old, and a watch takes up to 1.5 s.
constexpr Duration kMaxJobViewAge = milliseconds(2000);
/// Maximum age of the view of the workers' entries when a start is sent. A
/// worker that starts to drain must receive no new tasks after 2 s, and a
/// reduction of its capacity must be respected after 4.5 s. Exceeds the longest
/// wait of a watch and the pause after it together.
constexpr Duration kMaxWorkerViewAge = milliseconds(1800);
/// The same for the evacuations of data centres, which must be respected after
/// 5 s. Exceeds the longest wait of a watch.
constexpr Duration kMaxEvacuationViewAge = milliseconds(1800);
/// How long the capacity of a job that is being stored is kept: longer than the
/// slowest answers of a working store (0.4 s) and the delay of a peer together.
/// A job that is stored later is placed again.
constexpr Duration kProposalTimeout = milliseconds(1500);
/// Interval between two updates of the gauges, which look at each worker.
constexpr Duration kMetricsInterval = seconds(1);
/// Jobs whose progress is read in one task of a takeover.
constexpr std::size_t kTakeoverSlice = 100;
/// Maximum age that a job's acceptance time may indicate; beyond it, a clock
/// must have jumped.
constexpr Duration kMaxPlausibleAge = seconds(600);

}  // namespace

GroupOwner::GroupOwner(const Parts& parts, FencingToken token,
                       std::shared_ptr<const DesiredState> desired)
    : schema(parts.schema), elected_at(parts.executor->Now()) {
  OwnerContext& shared = this->context;
  shared.executor = parts.executor;
  shared.store = parts.store;
  shared.driver = parts.driver;
  shared.log = parts.log;
  shared.metrics = parts.metrics;
  shared.load = parts.load;
  shared.token = token;
  shared.max_lost_workers = parts.max_lost_workers;
  shared.overload = parts.overload;
  shared.SetDesired(std::move(desired));
  shared.authorized = parts.authorized;
  shared.step_down = parts.step_down;
  shared.publish_load = parts.publish_load;
  shared.worker_view_fresh = [this] { return this->HasFreshWorkerView(); };

  this->writer = std::make_unique<ProgressWriter>(
      ProgressWriter::Parts{
          .executor = shared.executor,
          .store = shared.store,
          .log = shared.log,
          .jobs = &shared.jobs,
          .token = token,
          .store_writes_per_second = parts.store_writes_per_second},
      [this] { this->context.step_down("the store has a newer owner"); });
  this->dispatcher = std::make_unique<Dispatcher>(&shared);
  if (shared.overload.admission) {
    this->forecast = std::make_unique<LoadForecast>();
    shared.forecast = this->forecast.get();
  }
  this->runs = std::make_unique<RunControl>(&shared);
  this->incarnations = std::make_unique<IncarnationTracker>(&shared);
  this->withholding = std::make_unique<LeaseWithholding>(
      LeaseWithholding::Parts{.context = &shared,
                              .store_answers = parts.store_answers,
                              .seen_at = parts.withheld_lease_seen_at},
      [this] { this->FinishLoading(); });
  this->inherited = std::make_unique<InheritedLeases>(InheritedLeases::Parts{
      .context = &shared,
      .peers = parts.peers,
      .elected_at = this->elected_at,
      .former_owners = parts.former_owners,
      .witnesses = parts.witnesses,
      .note_seen = parts.note_seen,
      .forget_former_owners = parts.forget_former_owners});
  this->reservations = std::make_unique<GangReservations>(&shared);
  this->holds = std::make_unique<HoldLoop>(&shared);
  this->advice = std::make_unique<PermissionBroker>(
      PermissionBroker::Parts{shared.executor, parts.adviser, parts.peers,
                              shared.log, shared.metrics},
      [this](const StepRef& step) {
        return this->dispatcher->ChooseForAdvice(step);
      },
      [this](const StepRef& step) {
        this->reservations->OnAnswer(step);
        this->dispatcher->SchedulePass();
      });
  this->ended =
      std::make_unique<EndedJobs>(EndedJobs::Parts{.executor = shared.executor,
                                                   .store = shared.store,
                                                   .log = shared.log,
                                                   .token = token});
  this->tombstones = std::make_unique<CancelTombstones>(
      CancelTombstones::Parts{.executor = shared.executor,
                              .store = shared.store,
                              .log = shared.log,
                              .token = token});
  this->stored = std::make_unique<StoredProgress>(
      StoredProgress::Parts{.executor = shared.executor,
                            .store = shared.store,
                            .log = shared.log,
                            .token = token},
      [this] { this->FinishLoading(); });
  shared.writer = this->writer.get();
  shared.ended = this->ended.get();
  shared.advice = this->advice.get();
  shared.runs = this->runs.get();
  shared.incarnations = this->incarnations.get();
  shared.reservations = this->reservations.get();
  shared.holds = this->holds.get();
  shared.withholding = this->withholding.get();
  shared.dispatcher = this->dispatcher.get();

  this->intake = std::make_unique<PrefixMirror>(
      shared.executor, shared.store, shared.log,
      PrefixMirror::Options{.prefix = std::string(keys::kIntake),
                            .pause = kIntakeWatchInterval},
      PrefixMirror::Handlers{
          [this](const StoreEvent& event) { this->OnIntake(event); },
          [this] { this->FinishLoading(); }});
  this->workers = std::make_unique<PrefixMirror>(
      shared.executor, shared.store, shared.log,
      PrefixMirror::Options{.prefix = std::string(this->schema->WorkerPrefix()),
                            .pause = kWorkerWatchInterval,
                            .revision_key = keys::Owner()},
      PrefixMirror::Handlers{
          [this](const StoreEvent& event) { this->OnWorker(event); },
          [this] { this->FinishLoading(); }});
  this->evacuations = std::make_unique<Evacuations>(
      shared.executor, shared.store, shared.log,
      std::string(this->schema->EvacuationPrefix()),
      Evacuations::Handlers{
          [this](const DataCenterId& center) { this->OnEvacuation(center); },
          [this] { this->FinishLoading(); }});
  shared.evacuations = this->evacuations.get();
}

void GroupOwner::Start() {
  this->context.log->Write("owner", "taking-over",
                           {{"token", this->context.token}});
  // Read concurrently: nothing is placed until all are complete. Only an
  // owner changes progress or removes a job, and writes of the former owner
  // already fail, so data read at different times is consistent.
  this->intake->Start();
  this->stored->Read();
  this->withholding->Read();
  this->workers->Start();
  this->evacuations->Start();
  this->Tick();
}

void GroupOwner::SetDesired(std::shared_ptr<const DesiredState> desired) {
  this->context.SetDesired(std::move(desired));
  this->dispatcher->SchedulePass();
}

void GroupOwner::SetClients(const std::vector<AdviceClient>& clients) {
  this->advice->SetClients(clients);
}

void GroupOwner::OnIntake(const StoreEvent& event) {
  const std::string& key = event.item.key;
  if (key.starts_with(keys::kCancels)) {
    const JobId id(key.substr(keys::kCancels.size()));
    if (event.deleted) {
      this->early_cancellations.erase(id);
    } else {
      this->OnCancel(id);
    }
  } else if (key.starts_with(keys::kTombstones)) {
    if (event.deleted) {
      this->tombstones->Forget(key);
    } else {
      this->OnTombstone(event.item);
    }
  } else if (key.starts_with(keys::kJobs) && !event.deleted) {
    // A deleted job has ended: an owner removed it.
    this->OnJob(JobId(key.substr(keys::kJobs.size())), event.item.value);
  }
}

void GroupOwner::OnTombstone(const StoreItem& tombstone) {
  this->tombstones->Note(tombstone);
  // The job may have been stored since its caller was told that it is unknown.
  const JobEntry* entry =
      this->context.jobs.Find(CancelTombstones::JobOf(tombstone.key));
  if (entry == nullptr || !this->loaded) return;
  if (this->tombstones->Cover(entry->job)) this->OnCancel(entry->job.id);
}

void GroupOwner::OnJobAnnounced(const AnnouncedJob& job) {
  if (job.revision == 0) {
    this->OnProposed(job.id, job.record);
    return;
  }
  // Failure: a process learns late that its write succeeded and announces the
  // job, which has ended under a former owner meanwhile; it would run again. A
  // job stored before this ownership is found by reading the store, or has
  // ended.
  if (job.revision > this->context.token) this->OnJob(job.id, job.record);
}

void GroupOwner::OnProposed(const JobId& id, std::string_view record) {
  const bool known =
      this->context.jobs.Find(id) != nullptr || this->ended->Find(id);
  if (!this->loaded || known) return;
  // The start is stored while the job itself is being stored, which saves one
  // answer of a slow store.
  JobEntry* entry = this->AddJob(id, record);
  // The end of a cancelled job keeps it from being stored.
  if (entry == nullptr || IsFinal(entry->state)) return;
  entry->stored = false;
  this->context.executor->After(kProposalTimeout, this->guard.Wrap([this, id] {
    this->ParkIfNotStored(id);
  }));
}

void GroupOwner::OnJob(const JobId& id, std::string_view record) {
  if (this->ended->Find(id)) return;
  JobEntry* known = this->context.jobs.Find(id);
  if (known == nullptr) {
    (void)this->AddJob(id, record);
  } else if (!known->stored) {
    this->ConfirmStored(known);
  }
}

JobEntry* GroupOwner::AddJob(const JobId& id, std::string_view record) {
  std::optional<Job> job = DecodeJob(record);
  if (!job || job->id != id) {
    this->context.log->Write("jobs", "record-broken",
                             {{"job", id.Text()}, {"bytes", record.size()}});
    return nullptr;
  }
  const Instant now = this->context.executor->Now();
  const Duration age =
      milliseconds(this->context.executor->UnixMs() - job->accepted_unix_ms);
  const bool plausible = age > Duration::zero() && age < kMaxPlausibleAge;
  const bool known = this->context.jobs.Find(id) != nullptr;
  JobEntry* entry = this->context.jobs.Add(std::move(*job), now);
  if (!known) entry->exceeds_share = this->ExceedsShare(*entry);
  if (plausible) entry->learned_at = now - age;
  if (!this->loaded) return entry;
  this->ClaimProgress(entry);
  this->context.log->Write("jobs", "job-learnt",
                           {{"job", id.Text()},
                            {"queue", entry->job.queue.name.Text()},
                            {"steps", entry->job.spec.steps.size()}});
  const bool cancelled = this->early_cancellations.erase(id) > 0 ||
                         this->tombstones->Cover(entry->job);
  if (cancelled) this->OnCancel(id);
  this->dispatcher->SchedulePass();
  return entry;
}

bool GroupOwner::ExceedsShare(const JobEntry& entry) {
  const TeamId& team = entry.job.access.team;
  const auto found = this->context.teams.find(team);
  if (team.Empty() || found == this->context.teams.end()) return false;
  return this->rates.NoteAndCheckExcess(team, entry.job.accepted_unix_ms,
                                        found->second->weight);
}

void GroupOwner::ConfirmStored(JobEntry* entry) {
  entry->stored = true;
  this->context.log->Write(
      "jobs", "job-stored",
      {{"job", entry->job.id.Text()}, {"starts", entry->on_stored.size()}});
  this->context.jobs.Reactivate(entry);
  for (const auto& start : std::exchange(entry->on_stored, {})) start();
  this->dispatcher->SchedulePass();
}

void GroupOwner::ParkIfNotStored(const JobId& id) {
  JobEntry* entry = this->context.jobs.Find(id);
  if (entry == nullptr || entry->stored) return;
  this->context.log->Write("jobs", "job-not-stored", {{"job", id.Text()}});
  entry->on_stored.clear();
  this->context.jobs.Deactivate(entry);
  this->runs->StopJob(*entry);
  this->parked.emplace_back(this->context.executor->Now(), id);
}

void GroupOwner::OnCancel(const JobId& id) {
  JobEntry* entry = this->context.jobs.Find(id);
  if (entry == nullptr || !this->loaded) {
    this->early_cancellations.insert(id);
    return;
  }
  // It does not matter any more whether the job is in the store: its end is
  // stored, and no job is created once its end exists.
  entry->stored = true;
  if (!this->context.jobs.Cancel(entry)) return;
  // The cancellation itself is stored already.
  entry->published_state = JobState::kCancelled;
  this->context.log->Write("jobs", "job-cancelled", {{"job", id.Text()}});
  this->runs->StoreFinal(entry);
  this->dispatcher->SchedulePass();
}

void GroupOwner::OnWorker(const StoreEvent& event) {
  const std::string_view prefix = this->schema->WorkerPrefix();
  const std::string id = event.item.key.substr(prefix.size());
  WorkerSession* session = this->context.workers.FindLatest(WorkerId(id));
  if (event.deleted) {
    this->MarkUnlisted(session, event.item.revision);
    return;
  }
  const std::uint64_t digest = this->schema->DigestWorker(event.item.value);
  // Most entries of a large cell are heartbeats that tell nothing new.
  const bool known = session != nullptr && session->listed &&
                     session->described && session->entry_digest == digest;
  if (known) return;
  const Result<WorkerInfo> info =
      this->schema->ParseWorker(id, event.item.value);
  if (!info) {
    this->context.log->Write(
        "workers", "entry-broken",
        {{"worker", id}, {"reason", info.error().message()}});
    // Failure: a worker's entry is overwritten by something else, and tasks are
    // still started on a worker that no entry names.
    this->MarkUnlisted(session, event.item.revision);
    return;
  }
  if (WorkerSession* updated = this->AddWorker(info.value())) {
    updated->entry_digest = digest;
  }
}

void GroupOwner::MarkUnlisted(WorkerSession* session, Revision revision) {
  if (session == nullptr || !std::exchange(session->listed, false)) return;
  this->context.log->Write("workers", "worker-unlisted",
                           {{"worker", Text(session->Incarnation())},
                            {"runs", session->runs.size()},
                            {"revision", revision}});
}

WorkerSession* GroupOwner::AddWorker(const WorkerInfo& info) {
  const SessionNumber first_new = this->context.workers.NumberLimit();
  WorkerSession* session = this->incarnations->NoteEntry(
      info, this->inherited->EndAt(info.incarnation));
  if (session == nullptr) return nullptr;
  // Workers found during a takeover are only logged as a total.
  if (session->Number() >= first_new && this->workers->Listed()) {
    this->context.log->Write("workers", "worker-listed",
                             {{"worker", Text(info.incarnation)},
                              {"address", info.address},
                              {"rack", info.rack}});
  }
  if (info.draining && !session->info.draining) {
    session->leaves_at = this->context.executor->Now() + info.remaining;
    this->context.log->Write("workers", "worker-draining",
                             {{"worker", Text(session->Incarnation())},
                              {"runs", session->runs.size()}});
  }
  const WorkerIncarnation incarnation = session->Incarnation();
  session->info = info;
  session->info.incarnation = incarnation;
  session->NoteChange();
  session->listed = true;
  if (session->Overcommitted()) {
    this->runs->WithdrawPlanned(session, PlannedRuns::kExcess);
  }
  if (this->loaded) this->holds->SendIfDue(session);
  this->dispatcher->SchedulePass();
  // Withdrawing runs never removes a session.
  return session;
}

void GroupOwner::ClaimProgress(JobEntry* entry) {
  const auto item = this->stored->Claim(entry->job.id);
  if (!item) return;
  if (!ApplyProgress(&this->context.jobs, entry, item->value)) {
    this->context.log->Write("jobs", "progress-broken",
                             {{"job", entry->job.id.Text()}});
    return;
  }
  entry->progress_revision = item->revision;
  entry->published_state = entry->state;
  if (IsFinal(entry->state)) {
    // Written by the previous version, which stored ends as progress.
    this->runs->StoreFinal(entry);
  } else {
    this->InheritRuns(entry);
  }
}

void GroupOwner::FinishLoading() {
  const bool complete = this->intake->Listed() && this->workers->Listed() &&
                        this->evacuations->Listed() &&
                        this->stored->Complete() &&
                        this->withholding->Complete();
  if (!complete || std::exchange(this->taking_over, true)) return;
  if (this->context.workers.Size() <= kMaxWorkersPolledAfterTakeover) {
    for (const auto& [id, session] : this->context.workers) {
      session->ExpectLateStart(this->elected_at);
    }
  }
  this->TakeOver();
}

void GroupOwner::TakeOver() {
  const ControlLoad::Scope scope(this->context.load, ControlWork::kLoad);
  // Failure: thousands of jobs are read in one go, and meanwhile the lease at
  // the store and those of the workers are not renewed.
  const std::vector<JobEntry*>& active = this->context.jobs.Active();
  std::vector<JobEntry*> slice;
  while (this->taken_over < active.size() && slice.size() < kTakeoverSlice) {
    slice.push_back(active[this->taken_over++]);
  }
  for (JobEntry* entry : slice) {
    this->ClaimProgress(entry);
    // A job that was stored as final is not active any more.
    if (IsFinal(entry->state)) --this->taken_over;
  }
  if (this->taken_over < active.size()) {
    this->context.executor->Post(
        this->guard.Wrap([this] { this->TakeOver(); }));
    return;
  }
  this->FinishTakeover();
}

void GroupOwner::FinishTakeover() {
  this->loaded = true;
  this->ApplyEarlyCancellations();
  const Duration took = this->context.executor->Now() - this->elected_at;
  this->context.log->Write("owner", "loaded",
                           {{"token", this->context.token},
                            {"active", this->context.jobs.Active().size()},
                            {"workers", this->context.workers.Size()},
                            {"took_ms", WholeMilliseconds(took)}});
  this->context.metrics->Sample("takeover_read_us", "",
                                static_cast<double>(took.count()));
  this->inherited->Begin();
  this->holds->SendAllDue();
  this->dispatcher->SchedulePass();
  this->ended->Read();
}

void GroupOwner::ApplyEarlyCancellations() {
  std::vector<JobId> cancelled;
  for (const JobEntry* entry : this->context.jobs.Active()) {
    const JobId& id = entry->job.id;
    if (this->early_cancellations.erase(id) > 0 ||
        this->tombstones->Cover(entry->job)) {
      cancelled.push_back(id);
    }
  }
  for (const JobId& id : cancelled) this->OnCancel(id);
}

void GroupOwner::RemoveExpiredProposals() {
  const Instant old = this->context.executor->Now() - kFinalStateRetention;
  while (!this->parked.empty() && this->parked.front().first < old) {
    const JobId id = this->parked.front().second;
    this->parked.pop_front();
    const JobEntry* entry = this->context.jobs.Find(id);
    if (entry == nullptr || entry->stored) continue;
    if (entry->progress_revision != 0) {
      this->stored->Remove(id, entry->progress_revision);
    }
    this->context.jobs.Remove(id);
  }
}

void GroupOwner::InheritRuns(JobEntry* entry) {
  // A job that appears after the takeover was not stored when the previous
  // owner decided, so none of its starts was sent.
  const bool may_be_ordered = !this->loaded;
  for (const auto& [number, occurrence] : entry->occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const std::vector<TaskEntry>& tasks = occurrence.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (!tasks[i].open) continue;
        const TaskRef task{
            {entry->job.id, number, static_cast<std::int32_t>(s)},
            static_cast<std::int32_t>(i)};
        const WorkerIncarnation& worker = tasks[i].worker;
        this->runs->Inherit({task, tasks[i].last_run}, worker,
                            this->inherited->EndAt(worker), may_be_ordered);
      }
    }
  }
}

std::optional<JobStatus> GroupOwner::StatusOf(const JobId& id) const {
  const JobEntry* entry = this->context.jobs.Find(id);
  if (entry == nullptr) return this->ended->Find(id);
  if (!entry->stored) return std::nullopt;
  return JobStatus{entry->published_state, {}, entry->job.access};
}

OwnerProgress GroupOwner::Progress() const {
  OwnerProgress progress;
  progress.loaded = this->loaded;
  for (const auto& [id, session] : this->context.workers) {
    if (!session->listed || session->gone) continue;
    if (!this->context.HasService(session->info.service)) continue;
    // In a large cell the turn of some to be asked has not come yet.
    if (!session->fenced && session->hold_sent == Instant()) continue;
    ++progress.workers;
    if (session->fenced && !session->unresponsive) ++progress.reached;
  }
  return progress;
}

bool GroupOwner::HasFreshJobView() const {
  return this->loaded &&
         this->context.executor->Now() <
             this->intake->LastAnsweredCallAt() + kMaxJobViewAge;
}

bool GroupOwner::HasFreshWorkerView() {
  const Instant now = this->context.executor->Now();
  const Duration workers_age = now - this->workers->ConfirmedAt();
  const Duration evacuations_age = now - this->evacuations->ConfirmedAt();
  const bool workers_fresh = workers_age < kMaxWorkerViewAge;
  const bool evacuations_fresh = evacuations_age < kMaxEvacuationViewAge;
  const bool fresh = workers_fresh && evacuations_fresh;
  if (std::exchange(this->worker_view_fresh, fresh) != fresh) {
    this->context.log->Write(
        "workers", fresh ? "view-recent" : "view-outdated",
        {{"workers_age_ms", WholeMilliseconds(workers_age)},
         {"evacuations_age_ms", WholeMilliseconds(evacuations_age)}});
  }
  if (!workers_fresh) this->workers->Refresh();
  if (!evacuations_fresh) this->evacuations->Refresh();
  return fresh;
}

void GroupOwner::OnEvacuation(const DataCenterId& data_center) {
  std::size_t affected = 0;
  std::size_t running = 0;
  const bool evacuated = this->evacuations->Contains(data_center);
  for (const auto& [id, session] : this->context.workers) {
    if (session->info.data_center != data_center) continue;
    ++affected;
    session->NoteChange();
    if (evacuated) {
      this->runs->WithdrawPlanned(session.get(), PlannedRuns::kAll);
    }
    running += session->runs.size();
  }
  this->context.log->Write("workers", "evacuation-applied",
                           {{"data_center", data_center.Text()},
                            {"evacuated", evacuated ? 1 : 0},
                            {"workers", affected},
                            {"runs", running}});
  this->dispatcher->SchedulePass();
}

std::int64_t GroupOwner::PendingIn(const QueueName& queue) const {
  const auto& active = this->context.jobs.Active();
  return std::count_if(active.begin(), active.end(), [&](const JobEntry* job) {
    return job->job.queue.name == queue && !job->begun && job->stored;
  });
}

void GroupOwner::Tick() {
  if (this->loaded) {
    this->OpenDueOccurrences();
    this->inherited->Update();
    this->holds->SendAllDue();
    this->reservations->CheckAll();
    this->ended->RemoveExpired();
    this->tombstones->RemoveExpired();
    this->stored->RemoveUnclaimed();
    this->RemoveExpiredProposals();
    this->dispatcher->SchedulePass();
    if (this->context.executor->Now() >= this->next_metrics) {
      this->next_metrics = this->context.executor->Now() + kMetricsInterval;
      this->PublishMetrics();
    }
  }
  this->context.executor->After(kTickInterval,
                                this->guard.Wrap([this] { this->Tick(); }));
}

void GroupOwner::OpenDueOccurrences() {
  const std::int64_t unix_ms = this->context.executor->UnixMs();
  for (JobEntry* entry : this->context.jobs.Active()) {
    JobTable::OpenDueOccurrences(entry, unix_ms);
  }
}

void GroupOwner::PublishMetrics() {
  std::size_t running = 0;
  for (const auto& [id, session] : this->context.workers) {
    running += session->runs.size();
  }
  const auto set = [this](std::string_view name, std::size_t value) {
    this->context.metrics->Set(name, "", static_cast<double>(value));
  };
  set("job_runs", running);
  set("active_jobs", this->context.jobs.Active().size());
  set("known_workers", this->context.workers.Size());
  set("attended_workers", this->holds->Attended());
  set("progress_backlog", this->writer->Backlog());
}

}  // namespace mustardproxy::jobs
