#include "mustardproxy/jobs/job_node.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "callback_guard.h"
#include "cell_member.h"
#include "connection_shares.h"
#include "control_load.h"
#include "group_owner.h"
#include "intake.h"
#include "job_lookup.h"
#include "keys.h"
#include "mustardproxy/core/error.h"
#include "options.h"
#include "order_relay.h"
#include "overload_gate.h"
#include "prefix_mirror.h"
#include "record_codec.h"
#include "relayed_worker_driver.h"

namespace mustardproxy::jobs {
namespace {

SubmitResult CancelRefused() {
  return {.end = SubmitOutcome::kNotAccepted,
          .reason = Error::kStoreUnavailable,
          .detail = {},
          .retry_after = kStoreRetryDelay};
}

SubmitResult NoSuchJob() {
  return {.end = SubmitOutcome::kNoSuchJob,
          .reason = Error::kUnknownJob,
          .detail = {},
          .retry_after = Duration::zero()};
}

SubmitResult NotAccepted(std::error_code reason, std::string detail) {
  return {.end = SubmitOutcome::kNotAccepted,
          .reason = reason,
          .detail = std::move(detail),
          .retry_after = Duration::zero()};
}

/// Delay within which changes of the processes of a large cell are collected.
constexpr Duration kHelpersUpdateDelay = milliseconds(100);

/// Answers of a caller's process are due within 100 ms. A job that can't be
/// looked up in time is accepted.
constexpr Duration kLookupLimit = milliseconds(80);

/// @return why a step of the job can never run within the cap; empty if each
///   can
std::string DescribeExcess(const JobSpec& spec, const Resources& cap) {
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const Step& step = spec.steps[i];
    const std::int64_t needed = step.gang ? step.tasks : 1;
    if (CountUnderCap(cap, {}, step.each, needed) >= needed) continue;
    return "steps[" + std::to_string(i) + "] starts " + std::to_string(needed) +
           " tasks of " + std::to_string(step.each.cpu_milli) + " cpu and " +
           std::to_string(step.each.memory_mb) +
           " MB together; the cap of the team is " +
           std::to_string(cap.cpu_milli) + " cpu and " +
           std::to_string(cap.memory_mb) + " MB";
  }
  return {};
}

SubmitResult CancelAccepted() {
  return {.end = SubmitOutcome::kAccepted,
          .reason = {},
          .detail = {},
          .retry_after = Duration::zero()};
}

}  // namespace

struct JobNode::Internals {
  explicit Internals(const Builder& config);

  void OnDesired(const StoreEvent& event);
  void OnElected(FencingToken token);
  void OnDeposed();
  void OnCellChange();
  /// Gives the owner the processes that may help it.
  void UpdateHelpers();
  /// Tells the driver how many connections it may hold to a worker.
  void UpdateConnectionShare();
  /// Calls `UpdateConnectionShare` again while a former owner may hold some.
  void ScheduleConnectionShare();
  void StepDown(std::string_view reason);
  bool Authorized() const;
  /// @return the driver for a new owner
  WorkerDriver* MakeDriver(FencingToken token);
  /// @return addresses of processes that may write to the store instead of this
  ///   one: the owner first, the others in rotation
  std::vector<std::string> Helpers();
  /// Informs the owner of a key immediately; it would also find the key in the
  /// store.
  /// @param revision 0 for a job that is being stored
  void Announce(const CreateRequest& created, Revision revision);
  void AnnounceJob(const AnnouncedJob& job);
  void AnnounceCancel(const CreateRequest& created, Revision revision);
  /// Answers a cancellation for a job that has ended or never existed.
  void CancelEnded(const Admission& admission, const JobId& id,
                   Duration timeout, std::function<void(SubmitResult)> done);
  /// Stores the cancellation of a job that is not in the store: a write that
  /// creates it may still be under way, started by any process.
  void CancelUnknown(const Admission& admission, const JobId& id,
                     Duration timeout, std::function<void(SubmitResult)> done);
  /// Logs what a cancellation found in the store.
  void LogCancel(const Admission& admission, const JobId& id,
                 std::string_view found);
  /// Logs that a caller is told that a job does not exist or can't be read.
  void LogStateNotShown(const JobId& id, std::error_code reason,
                        Instant asked_at);
  /// Answers a submission that could never run. It may be the repetition of one
  /// that was accepted under a higher cap.
  void SubmitExcessive(const Admission& admission, const JobId& id,
                       std::string excess, Duration timeout,
                       std::function<void(SubmitResult)> done);
  /// Answers a submission that the gate rejects. It may be the repetition of
  /// one that was accepted.
  void SubmitOverloaded(const GateDecision& decision, const Job& job,
                        Duration timeout,
                        std::function<void(SubmitResult)> done);
  void RejectOverloaded(const GateDecision& decision, const Job& job,
                        const std::function<void(SubmitResult)>& done);
  void Store(const Job& job, Duration timeout,
             std::function<void(SubmitResult)> done);
  /// @return the time since the store last confirmed the desired state
  Duration ConfigurationAge() const;
  /// @return the wait of watches of the desired state in a large cell
  Duration ConfigurationWait() const;
  /// @return the age from which on a view of the desired state proves nothing
  Duration MaxConfigurationAge() const;
  /// @return the address of the owner; nothing if there is none or if it is
  ///   this process
  std::optional<std::string> OwnerAddress() const;

  Builder config;
  ControlLoad load;
  CellMember member;
  PrefixMirror desired_mirror;
  Intake intake;
  JobLookup lookup;
  OverloadGate gate;
  std::shared_ptr<const DesiredState> desired;
  /// Sends orders for the owner, if that is another process.
  OrderRelay relay;
  /// Driver of `owner` if orders may be relayed.
  std::unique_ptr<RelayedWorkerDriver> relayed;
  std::unique_ptr<GroupOwner> owner;
  std::size_t next_helper = 0;
  ConnectionShares shares;
  /// Share that the driver was told; 0 if none.
  std::size_t connection_share = 0;
  bool share_check_due = false;
  bool helpers_update_due = false;
  bool stepping_down = false;
  bool leaving = false;
  Instant started_at;
  CallbackGuard guard;
};

JobNode::Internals::Internals(const Builder& parts)
    : config(parts),
      load(parts.executor, parts.metrics),
      member(parts.executor, parts.store, parts.log, parts.metrics,
             NodeRecord{parts.process, parts.data_center, parts.peer_address,
                        parts.incarnation, parts.cpu_milli, parts.memory_mb},
             {.on_elected = [this](FencingToken t) { this->OnElected(t); },
              .on_deposed = [this](std::string_view) { this->OnDeposed(); },
              .on_change = [this] { this->OnCellChange(); },
              .progress =
                  [this] {
                    return this->owner ? this->owner->Progress()
                                       : OwnerProgress{};
                  },
              .take_load = [this] { return this->load.TakeSummary(); }}),
      desired_mirror(
          parts.executor, parts.store, parts.log,
          {.prefix = std::string(parts.schema->DesiredStateKey()),
           .pause = Duration::zero()},
          {.on_change = [this](const StoreEvent& e) { this->OnDesired(e); },
           .on_listed = {}}),
      intake({.executor = parts.executor,
              .store = parts.store,
              .peers = parts.peers,
              .log = parts.log,
              .store_answers = [this] { return this->member.StoreAnswers(); },
              .store_alive_at = [this] { return this->member.StoreAliveAt(); },
              .helpers = [this] { return this->Helpers(); },
              .on_sent =
                  [this](const CreateRequest& sent) {
                    constexpr Revision kNotStored = 0;
                    this->Announce(sent, kNotStored);
                  },
              .on_exists =
                  [this](const CreateRequest& created, Revision revision) {
                    this->Announce(created, revision);
                  }}),
      lookup(parts.executor, parts.store),
      relay({.executor = parts.executor,
             .driver = parts.driver,
             .peers = parts.peers,
             .self = parts.process,
             .incarnation = parts.incarnation}),
      shares(NodeRecord{parts.process, parts.data_center, parts.peer_address,
                        parts.incarnation, parts.cpu_milli, parts.memory_mb}) {}

void JobNode::Internals::OnDesired(const StoreEvent& event) {
  const bool wanted = !event.deleted &&
                      event.item.key == this->config.schema->DesiredStateKey();
  if (!wanted) return;
  Result<DesiredState> parsed =
      this->config.schema->ParseDesiredState(event.item.value);
  if (!parsed) {
    this->config.log->Write("desired", "not-understood",
                            {{"revision", event.item.revision},
                             {"reason", parsed.error().message()}});
    return;
  }
  // The version never decreases: a listing may arrive after a newer event.
  const ConfigurationVersion version = parsed.value().version;
  if (this->desired && version <= this->desired->version) return;
  if (const auto problem = parsed.value().Check()) {
    this->config.log->Write("desired", "rejected",
                            {{"version", version},
                             {"revision", event.item.revision},
                             {"field", problem->field},
                             {"reason", problem->reason}});
    return;
  }
  this->desired =
      std::make_shared<const DesiredState>(std::move(parsed.value()));
  this->config.log->Write("desired", "in-force",
                          {{"version", version},
                           {"revision", event.item.revision},
                           {"queues", this->desired->queues.size()},
                           {"teams", this->desired->teams.size()}});
  if (this->owner) this->owner->SetDesired(this->desired);
}

bool JobNode::Internals::Authorized() const {
  if (this->stepping_down) return false;
  return this->config.executor->Now() <
         this->member.RenewedAt() + kOwnerOutageTolerance;
}

void JobNode::Internals::StepDown(std::string_view reason) {
  if (std::exchange(this->stepping_down, true)) return;
  // Deferred, because functions of the owner to be destroyed are still on the
  // stack.
  this->config.executor->Post(this->guard.Wrap(
      [this, why = std::string(reason)] { this->member.Resign(why); }));
}

WorkerDriver* JobNode::Internals::MakeDriver(FencingToken token) {
  if (this->config.order_relays == 0) return this->config.driver;
  this->relayed =
      std::make_unique<RelayedWorkerDriver>(RelayedWorkerDriver::Parts{
          .executor = this->config.executor,
          .direct = this->config.driver,
          .peers = this->config.peers,
          .log = this->config.log,
          .metrics = this->config.metrics,
          .self = {this->config.process, this->config.data_center,
                   this->config.peer_address, this->config.incarnation,
                   this->config.cpu_milli, this->config.memory_mb},
          .token = token,
          .max_relays = static_cast<std::size_t>(this->config.order_relays),
          .count_workers = [this]() -> std::size_t {
            return this->owner ? this->owner->Progress().workers : 0;
          }});
  return this->relayed.get();
}

void JobNode::Internals::OnElected(FencingToken token) {
  this->stepping_down = false;
  // The owner sends its first orders at once.
  this->UpdateConnectionShare();
  this->owner = std::make_unique<GroupOwner>(
      GroupOwner::Parts{
          .executor = this->config.executor,
          .store = this->config.store,
          .driver = this->MakeDriver(token),
          .adviser = this->config.adviser,
          .peers = this->config.peers,
          .schema = this->config.schema,
          .log = this->config.log,
          .metrics = this->config.metrics,
          .load = &this->load,
          .store_writes_per_second = this->config.store_writes_per_second,
          .max_lost_workers = this->config.max_lost_workers,
          .overload = this->config.overload,
          .authorized = [this] { return this->Authorized(); },
          .step_down = [this](std::string_view why) { this->StepDown(why); },
          .publish_load =
              [this](LoadReportPtr report) {
                this->gate.OnReport(*report);
                this->config.peers->PublishLoad(std::move(report));
              },
          .store_answers = [this] { return this->member.StoreAnswers(); },
          .withheld_lease_seen_at =
              [this](const WithheldLease& lease, Instant read_at) {
                return this->member.WithheldLeaseSeenAt(lease, read_at);
              },
          .former_owners = [this] { return this->member.FindFormerOwners(); },
          .witnesses = [this] { return this->member.FindWitnesses(); },
          .note_seen =
              [this](const std::vector<SeenWithheldLease>& leases) {
                this->member.NoteSeen(leases);
              },
          .forget_former_owners =
              [this] { this->member.ForgetFormerOwners(); }},
      token, this->desired);
  this->owner->Start();
  if (this->relayed) this->relayed->Begin();
}

void JobNode::Internals::OnDeposed() {
  this->stepping_down = true;
  // The caller may be a callback of the store, but never a part of the owner.
  this->owner.reset();
  if (this->config.overload.admission) this->config.peers->PublishLoad(nullptr);
  this->relayed.reset();
  this->config.driver->CancelWaitingOrders();
  // Not at once: a process that is elected again opens none anew.
  this->config.executor->After(kConnectionReleaseDelay,
                               this->guard.Wrap([this] {
                                 if (!this->owner)
                                   this->config.driver->ReleaseConnections();
                               }));
}

void JobNode::Internals::UpdateConnectionShare() {
  this->shares.Update(this->member.Owner(), this->member.Nodes(),
                      this->config.executor->Now());
  this->ScheduleConnectionShare();
  const std::size_t share = this->shares.Share();
  if (share == std::exchange(this->connection_share, share)) return;
  this->config.log->Write(
      "cell", "connection-share",
      {{"connections", share}, {"holders", this->shares.Holders()}});
  this->config.driver->SetConnectionShare(share);
}

void JobNode::Internals::ScheduleConnectionShare() {
  if (this->shares.Holders() == 0 || this->share_check_due) return;
  this->share_check_due = true;
  this->config.executor->After(kConnectionShareInterval,
                               this->guard.Wrap([this] {
                                 this->share_check_due = false;
                                 this->UpdateConnectionShare();
                               }));
}

void JobNode::Internals::OnCellChange() {
  this->UpdateConnectionShare();
  this->desired_mirror.SetWait(
      this->member.TracksAll() ? kMaxWatchWait : this->ConfigurationWait());
  if (!this->owner) return;
  if (this->member.Nodes().size() <= kMaxTrackedByAll) {
    this->UpdateHelpers();
    return;
  }
  // Failure: hundreds of processes come at once, and each has the owner copy
  // the list of all others.
  if (std::exchange(this->helpers_update_due, true)) return;
  this->config.executor->After(kHelpersUpdateDelay, this->guard.Wrap([this] {
    this->helpers_update_due = false;
    if (this->owner) this->UpdateHelpers();
  }));
}

void JobNode::Internals::UpdateHelpers() {
  std::vector<AdviceClient> clients;
  std::vector<NodeRecord> processes;
  for (const auto& [name, other] : this->member.Nodes()) {
    const bool self = name == this->config.process;
    clients.push_back({name, self ? std::string() : other.node.peer_address});
    processes.push_back(other.node);
  }
  if (this->relayed) this->relayed->SetProcesses(std::move(processes));
  this->owner->SetClients(clients);
}

std::vector<std::string> JobNode::Internals::Helpers() {
  std::vector<std::string> helpers;
  const auto owner = this->OwnerAddress();
  if (owner) helpers.push_back(*owner);
  std::vector<std::string> others;
  for (const auto& [name, other] : this->member.Nodes()) {
    const std::string& address = other.node.peer_address;
    if (name == this->config.process || address == owner) continue;
    others.push_back(address);
  }
  if (others.empty()) return helpers;
  const auto first =
      static_cast<std::ptrdiff_t>(this->next_helper++ % others.size());
  std::rotate(others.begin(), others.begin() + first, others.end());
  helpers.insert(helpers.end(), others.begin(), others.end());
  return helpers;
}

void JobNode::Internals::Announce(const CreateRequest& created,
                                  Revision revision) {
  if (created.key.starts_with(keys::kJobs)) {
    this->AnnounceJob({created.job, created.value, revision});
  } else if (revision != 0) {
    this->AnnounceCancel(created, revision);
  }
}

void JobNode::Internals::AnnounceJob(const AnnouncedJob& job) {
  if (this->owner) {
    this->owner->OnJobAnnounced(job);
    return;
  }
  const auto address = this->OwnerAddress();
  if (!address) return;
  this->config.peers->AnnounceJob(
      *address, job, this->guard.Wrap([this](const LoadReport& report) {
        if (this->config.overload.admission) this->gate.OnReport(report);
      }));
}

void JobNode::Internals::AnnounceCancel(const CreateRequest& created,
                                        Revision revision) {
  const auto address = this->OwnerAddress();
  if (!this->owner && !address) return;
  const StoreItem item{
      .key = created.key, .value = created.value, .revision = revision};
  const bool known_job = created.key.starts_with(keys::kCancels);
  if (this->owner && known_job) {
    this->owner->OnCancel(created.job);
  } else if (this->owner) {
    this->owner->OnTombstone(item);
  } else if (known_job) {
    this->config.peers->AnnounceCancel(*address, created.job);
  } else {
    this->config.peers->AnnounceTombstone(*address, item);
  }
}

std::optional<std::string> JobNode::Internals::OwnerAddress() const {
  const auto& owner = this->member.Owner();
  if (!owner || owner->owner.name == this->config.process) return std::nullopt;
  return owner->owner.peer_address;
}

void JobNode::Internals::CancelEnded(const Admission& admission,
                                     const JobId& id, Duration timeout,
                                     std::function<void(SubmitResult)> done) {
  auto read = [this, admission, id, timeout,
               done = std::move(done)](const Result<StoreItem>& end) {
    const auto ended =
        end ? DecodeStatus(end.value().value) : std::optional<JobStatus>();
    if (ended && !MayAccess(admission.access, ended->access)) {
      this->LogCancel(admission, id, "other-team");
      done(NotAccepted(Error::kJobOfOtherTeam, {}));
    } else if (end) {
      // Nothing of the job runs, so there is nothing to store.
      this->LogCancel(admission, id, "ended");
      done(CancelAccepted());
    } else if (end.error() == Error::kUnknownRequest) {
      this->LogCancel(admission, id, "none");
      this->CancelUnknown(admission, id, timeout, done);
    } else {
      this->LogCancel(admission, id, "unread");
      done(CancelRefused());
    }
  };
  this->config.store->Read(keys::OfEnded(id),
                           this->guard.Wrap(std::move(read)));
}

void JobNode::Internals::CancelUnknown(const Admission& admission,
                                       const JobId& id, Duration timeout,
                                       std::function<void(SubmitResult)> done) {
  const JobAccess& caller = admission.access;
  auto stored = [done = std::move(done)](const SubmitResult& result) {
    done(result.end == SubmitOutcome::kAccepted ? NoSuchJob() : result);
  };
  this->intake.Create(
      {"tombstone", id, keys::OfTombstone(id, caller.key_fingerprint),
       EncodeTombstone(caller), timeout},
      std::move(stored));
}

void JobNode::Internals::LogCancel(const Admission& admission, const JobId& id,
                                   std::string_view found) {
  this->config.log->Write("jobs", "cancel-requested",
                          {{"job", id.Text()},
                           {"team", admission.access.team.Text()},
                           {"key", admission.access.key_fingerprint},
                           {"found", found}});
  this->config.metrics->Count("cancels", "found=" + std::string(found));
}

void JobNode::Internals::LogStateNotShown(const JobId& id,
                                          std::error_code reason,
                                          Instant asked_at) {
  const auto owner = this->OwnerAddress();
  this->config.log->Write(
      "jobs", "state-not-shown",
      {{"job", id.Text()},
       {"reason", reason.message()},
       {"owner", this->owner ? "self" : owner.value_or("none")},
       {"took_ms",
        WholeMilliseconds(this->config.executor->Now() - asked_at)}});
  this->config.metrics->Count("states_not_shown",
                              "code=" + std::to_string(reason.value()));
}

void JobNode::Internals::SubmitExcessive(
    const Admission& admission, const JobId& id, std::string excess,
    Duration timeout, std::function<void(SubmitResult)> done) {
  auto found = [access = admission.access, excess = std::move(excess),
                done =
                    std::move(done)](const Result<JobStatus>& known) mutable {
    if (!known && known.error() == Error::kUnknownRequest) {
      done(NotAccepted(Error::kExceedsTeamCap, std::move(excess)));
    } else if (!known) {
      done({.end = SubmitOutcome::kUnknown,
            .reason = known.error(),
            .detail = {},
            .retry_after = Duration::zero()});
    } else if (!MayAccess(access, known.value().access)) {
      done(NotAccepted(Error::kJobOfOtherTeam, {}));
    } else {
      done(CancelAccepted());
    }
  };
  this->lookup.Find(id, timeout, std::move(found));
}

void JobNode::Internals::SubmitOverloaded(
    const GateDecision& decision, const Job& job, Duration timeout,
    std::function<void(SubmitResult)> done) {
  using Done = std::function<void(SubmitResult)>;
  const auto pending = std::make_shared<Done>(std::move(done));
  this->config.executor->After(
      kLookupLimit, this->guard.Wrap([this, job, timeout, pending] {
        if (*pending) this->Store(job, timeout, std::exchange(*pending, {}));
      }));
  auto found = [this, decision, job, timeout,
                pending](const Result<JobStatus>& known) {
    if (!*pending) return;
    const Done answer = std::exchange(*pending, {});
    if (!known && known.error() == Error::kUnknownRequest) {
      this->RejectOverloaded(decision, job, answer);
    } else if (!known) {
      this->Store(job, timeout, answer);
    } else if (!MayAccess(job.access, known.value().access)) {
      answer(NotAccepted(Error::kJobOfOtherTeam, {}));
    } else {
      answer(CancelAccepted());
    }
  };
  this->lookup.Find(job.id, kLookupLimit, std::move(found));
}

void JobNode::Internals::RejectOverloaded(
    const GateDecision& decision, const Job& job,
    const std::function<void(SubmitResult)>& done) {
  this->gate.NoteRejected(job.id, this->config.executor->Now());
  this->config.log->Write(
      "jobs", "job-rejected",
      {{"job", job.id.Text()},
       {"queue", job.queue.name.Text()},
       {"team", job.access.team.Text()},
       {"predicted_wait_ms", WholeMilliseconds(decision.predicted_wait)},
       {"objective_ms", WholeMilliseconds(decision.objective)},
       {"report_age_ms", WholeMilliseconds(decision.report_age)},
       {"retry_after_ms", WholeMilliseconds(decision.retry_after)},
       {"reason", decision.reason}});
  this->config.metrics->Count("jobs_rejected",
                              "queue=" + job.queue.name.Text());
  done({.end = SubmitOutcome::kNotAccepted,
        .reason = Error::kOverloaded,
        .detail = {},
        .retry_after = decision.retry_after});
}

void JobNode::Internals::Store(const Job& job, Duration timeout,
                               std::function<void(SubmitResult)> done) {
  this->intake.Create(
      {"job", job.id, keys::OfJob(job.id), EncodeJob(job), timeout},
      std::move(done));
}

Duration JobNode::Internals::ConfigurationAge() const {
  return std::max(Duration::zero(), this->config.executor->Now() -
                                        this->desired_mirror.ConfirmedAt());
}

Duration JobNode::Internals::ConfigurationWait() const {
  // The same share of the bound as `kMaxWatchWait` of the least one.
  return kMaxWatchWait * this->config.configuration_bound.count() /
         kMinConfigurationBound.count();
}

Duration JobNode::Internals::MaxConfigurationAge() const {
  return this->member.TracksAll() ? kMaxConfigurationAge
                                  : this->config.configuration_bound;
}

JobNode::JobNode(std::unique_ptr<Internals> state) : state(std::move(state)) {}

JobNode::~JobNode() = default;

void JobNode::Start() {
  this->state->started_at = this->state->config.executor->Now();
  this->state->desired_mirror.Start();
  this->state->member.Start();
}

void JobNode::Leave() {
  this->state->leaving = true;
  this->state->member.Leave();
}

bool JobNode::Ready() const {
  return this->state->desired && !this->state->leaving &&
         this->state->member.StoreAnswers();
}

bool JobNode::Owns() const {
  return this->state->owner && this->state->owner->Loaded();
}

std::shared_ptr<const DesiredState> JobNode::Desired() const {
  return this->state->desired;
}

Result<Admission> JobNode::AdmitCall(const QueueChooser& choose,
                                     const Credentials& credentials) {
  const Duration age = this->state->ConfigurationAge();
  const DesiredState* desired = this->state->desired.get();
  Result<Admission> admitted = jobs::Admit(desired, age, choose, credentials,
                                           this->state->MaxConfigurationAge());
  if (admitted) return admitted;
  const std::string key = credentials.key.empty()
                              ? "none"
                              : KeyDigest::Of(credentials.key).Fingerprint();
  this->state->config.log->Write(
      "jobs", "call-denied",
      {{"reason", admitted.error().message()},
       {"key", key},
       {"version", desired == nullptr ? 0 : desired->version},
       {"age_ms", WholeMilliseconds(age)}});
  this->state->config.metrics->Count(
      "calls_denied", "code=" + std::to_string(admitted.error().value()));
  return admitted;
}

void JobNode::Submit(const Admission& admission, JobId id, JobSpec spec,
                     Duration timeout, std::function<void(SubmitResult)> done) {
  std::string excess = DescribeExcess(spec, admission.cap);
  this->state->config.log->Write("jobs", "job-submitted",
                                 {{"job", id.Text()},
                                  {"queue", admission.queue.name.Text()},
                                  {"team", admission.access.team.Text()},
                                  {"key", admission.access.key_fingerprint},
                                  {"version", admission.version},
                                  {"age_ms", WholeMilliseconds(admission.age)},
                                  {"excess", excess}});
  if (!excess.empty()) {
    this->state->SubmitExcessive(admission, id, std::move(excess), timeout,
                                 std::move(done));
    return;
  }
  Job job;
  job.id = id;
  job.queue = admission.queue;
  job.spec = std::move(spec);
  job.accepted_unix_ms = this->state->config.executor->UnixMs();
  job.access = admission.access;
  job.team_cap = admission.cap;
  if (this->state->config.overload.admission) {
    const GateDecision decision =
        this->state->gate.Decide(id, job.queue, job.spec, job.access.team,
                                 this->state->config.executor->Now());
    if (!decision.accept) {
      this->state->SubmitOverloaded(decision, job, timeout, std::move(done));
      return;
    }
  }
  this->state->Store(job, timeout, std::move(done));
}

void JobNode::Cancel(const Admission& admission, const JobId& id,
                     Duration timeout, std::function<void(SubmitResult)> done) {
  auto known = [this, admission, id, timeout,
                done = std::move(done)](const Result<StoreItem>& job) {
    if (job && !MayAccess(admission.access, DecodeAccess(job.value().value))) {
      this->state->LogCancel(admission, id, "other-team");
      done(NotAccepted(Error::kJobOfOtherTeam, {}));
    } else if (job) {
      this->state->LogCancel(admission, id, "active");
      this->state->intake.Create(
          {"cancel", id, keys::OfCancel(id), "1", timeout}, done);
    } else if (job.error() == Error::kUnknownRequest) {
      this->state->CancelEnded(admission, id, timeout, done);
    } else {
      this->state->LogCancel(admission, id, "unread");
      done(CancelRefused());
    }
  };
  this->state->config.store->Read(keys::OfJob(id),
                                  this->state->guard.Wrap(std::move(known)));
}

void JobNode::State(const Admission& admission, const JobId& id,
                    Duration timeout,
                    std::function<void(Result<JobStatus>)> done) {
  auto answer = [this, id, access = admission.access,
                 asked_at = this->state->config.executor->Now(),
                 done = std::move(done)](const Result<JobStatus>& status) {
    if (!status) {
      this->state->LogStateNotShown(id, status.error(), asked_at);
    }
    const bool denied = status && !MayAccess(access, status.value().access);
    done(denied ? make_error_code(Error::kJobOfOtherTeam) : status);
  };
  if (this->Owns()) {
    if (const auto known = this->state->owner->StatusOf(id)) {
      answer(*known);
      return;
    }
  }
  const auto address = this->state->OwnerAddress();
  if (!address) {
    this->state->lookup.Find(id, timeout, std::move(answer));
    return;
  }
  auto asked = [this, id, timeout,
                answer = std::move(answer)](const Result<JobAnswer>& reply) {
    if (reply && reply.value().status) {
      answer(*reply.value().status);
      return;
    }
    this->state->lookup.Find(id, timeout, answer);
  };
  this->state->config.peers->QueryJob(
      *address, id, this->state->guard.Wrap(std::move(asked)));
}

void JobNode::Pending(const QueueName& queue, Duration /*timeout*/,
                      std::function<void(Result<std::int64_t>)> done) {
  if (this->Owns() && this->state->owner->HasFreshJobView()) {
    done(this->state->owner->PendingIn(queue));
    return;
  }
  const auto address = this->state->OwnerAddress();
  if (!address) {
    done(make_error_code(Error::kPlatformUnavailable));
    return;
  }
  this->state->config.peers->QueryPending(*address, queue, std::move(done));
}

void JobNode::OnJob(AnnouncedJob job) {
  if (this->state->owner) this->state->owner->OnJobAnnounced(job);
}

void JobNode::OnCancel(const JobId& job) {
  if (this->state->owner) this->state->owner->OnCancel(job);
}

void JobNode::OnTombstone(const StoreItem& tombstone) {
  if (!tombstone.key.starts_with(keys::kTombstones)) return;
  if (this->state->owner) this->state->owner->OnTombstone(tombstone);
}

void JobNode::OnQueryJob(const JobId& job,
                         JobPeerHandler::Done<JobAnswer> done) {
  if (!this->Owns()) {
    done(make_error_code(Error::kNotOwner));
    return;
  }
  done(JobAnswer{this->state->owner->StatusOf(job)});
}

void JobNode::OnQueryPending(const QueueName& queue,
                             JobPeerHandler::Done<std::int64_t> done) {
  if (!this->Owns() || !this->state->owner->HasFreshJobView()) {
    done(make_error_code(Error::kNotOwner));
    return;
  }
  done(this->state->owner->PendingIn(queue));
}

void JobNode::OnCreate(CreateRequest request,
                       JobPeerHandler::Done<CreateOutcome> done) {
  this->state->intake.CreateForPeer(
      std::move(request), [done = std::move(done)](const SubmitResult& result) {
        const bool refused = result.end == SubmitOutcome::kNotAccepted;
        done(result.end == SubmitOutcome::kAccepted ? CreateOutcome::kExists
             : refused                              ? CreateOutcome::kNotDone
                       : CreateOutcome::kUncertain);
      });
}

void JobNode::OnAsk(AdviceQuestion question,
                    JobPeerHandler::Done<Advice> done) {
  this->state->config.adviser->Ask(std::move(question), std::move(done));
}

void JobNode::OnRelay(RelayBatch batch, JobPeerHandler::Done<RelayAck> done) {
  this->state->relay.OnBatch(std::move(batch), done);
}

void JobNode::OnQueryProcess(JobPeerHandler::Done<ProcessState> done) {
  if (this->state->started_at == Instant()) {
    done(make_error_code(Error::kStarting));
    return;
  }
  ProcessState answer;
  answer.process = this->state->config.process;
  answer.incarnation = this->state->config.incarnation;
  answer.given_up = this->state->member.GivenUp();
  answer.age = this->state->config.executor->Now() - this->state->started_at;
  answer.withheld_leases = this->state->member.SeenWithheldLeases();
  done(answer);
}

void JobNode::OnResults(RelayedResults results) {
  if (this->state->relayed) this->state->relayed->OnResults(results);
}

JobNode::Builder& JobNode::Builder::Self(ProcessId name, DataCenterId center,
                                         Incarnation drawn) {
  this->process = std::move(name);
  this->data_center = std::move(center);
  this->incarnation = drawn;
  return *this;
}

JobNode::Builder& JobNode::Builder::PeerAddress(std::string address) {
  this->peer_address = std::move(address);
  return *this;
}

JobNode::Builder& JobNode::Builder::Strength(std::int64_t cpu,
                                             std::int64_t memory) {
  this->cpu_milli = cpu;
  this->memory_mb = memory;
  return *this;
}

JobNode::Builder& JobNode::Builder::StoreWrites(std::int64_t per_second) {
  this->store_writes_per_second = per_second;
  return *this;
}

JobNode::Builder& JobNode::Builder::MaxLostWorkers(std::int32_t count) {
  this->max_lost_workers = count;
  return *this;
}

JobNode::Builder& JobNode::Builder::Overload(OverloadControl control) {
  this->overload = control;
  return *this;
}

JobNode::Builder& JobNode::Builder::ConfigurationBound(Duration bound) {
  this->configuration_bound = std::max<Duration>(bound, kMinConfigurationBound);
  return *this;
}

JobNode::Builder& JobNode::Builder::OrderRelays(std::int32_t count) {
  this->order_relays = count;
  return *this;
}

JobNode::Builder& JobNode::Builder::On(Executor* thread) {
  this->executor = thread;
  return *this;
}

JobNode::Builder& JobNode::Builder::Store(KeyValueStore* client) {
  this->store = client;
  return *this;
}

JobNode::Builder& JobNode::Builder::Workers(WorkerDriver* client) {
  this->driver = client;
  return *this;
}

JobNode::Builder& JobNode::Builder::Adviser(PlacementAdviser* client) {
  this->adviser = client;
  return *this;
}

JobNode::Builder& JobNode::Builder::Peers(JobPeers* client) {
  this->peers = client;
  return *this;
}

JobNode::Builder& JobNode::Builder::Schema(const PlatformSchema* layout) {
  this->schema = layout;
  return *this;
}

JobNode::Builder& JobNode::Builder::Log(EventLog* sink) {
  this->log = sink;
  return *this;
}

JobNode::Builder& JobNode::Builder::Measure(Metrics* sink) {
  this->metrics = sink;
  return *this;
}

std::unique_ptr<JobNode> JobNode::Builder::Build() {
  return std::unique_ptr<JobNode>(
      new JobNode(std::make_unique<Internals>(*this)));
}

}  // namespace mustardproxy::jobs
