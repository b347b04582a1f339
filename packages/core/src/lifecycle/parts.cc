#include "lifecycle/parts.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "journal_size.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

/// Retries allowed per first attempt, and per second regardless of load.
constexpr double kRetryShare = 0.1;
constexpr double kMinRetriesPerSecond = 10;
/// Epoch remainders reserved for the runs of one process, and for all
/// processes.
constexpr Epoch kRunsPerProcess = 4096;
constexpr Epoch kEpochStride = 256 * kRunsPerProcess;
constexpr Duration kMaintenanceInterval = std::chrono::seconds(1);
/// Deferred work of a process that has owned no worker for this long is handed
/// over to a peer that owns workers.
constexpr Duration kStrandedTimeout = std::chrono::seconds(3);

/// @return how many processes of the cell have a lower name
std::int32_t NumberOf(const CoreOptions& options) {
  return static_cast<std::int32_t>(
      std::ranges::count_if(options.peers, [&](const PeerDescription& peer) {
        return peer.process < options.self.process;
      }));
}

/// Assigns disjoint epochs to each run of each process.
void SetEpochs(CoreOptions* options) {
  const auto number = static_cast<Epoch>(NumberOf(*options));
  options->ownership.epoch_stride = kEpochStride;
  options->ownership.epoch_remainder =
      number * kRunsPerProcess + options->incarnation % kRunsPerProcess;
}

CoreContext MakeContext(CoreOptions options) {
  SetEpochs(&options);
  CoreContext context;
  context.random.seed(options.seed);
  context.options = std::move(options);
  return context;
}

}  // namespace

Parts::Parts(CoreOptions options)
    : context(MakeContext(std::move(options))),
      membership(context.options.self, context.options.peers,
                 context.options.membership),
      ownership(context.options.ownership, context.random()),
      health(context.options.worker_health),
      retry_budget(kRetryShare, kMinRetriesPerSecond),
      tasks(this),
      workers(this),
      placing(this),
      requests(this),
      answers(this),
      claims(this),
      forwarding(this),
      journals(this),
      deferred(this),
      adoption(this),
      queries(this),
      orphan_gangs(this),
      consent(this),
      configuration(this),
      shutdown(this) {
  const PeerDescription& self = this->context.options.self;
  for (const PeerDescription& peer : this->context.options.peers) {
    if (peer.process == self.process) {
      continue;
    }
    const bool local = peer.data_center == self.data_center;
    (local ? this->local_peers : this->remote_peers).push_back(peer.process);
  }
  this->process_number = NumberOf(this->context.options);
}

void Parts::Boot() {
  this->context.Record(
      TextEvent(TimelineKind::kProcessStarted, this->context.Self().Text()));
  this->next_maintenance = this->context.now + kMaintenanceInterval;
  this->journals.Boot();
  this->workers.Boot();
}

void Parts::Advance() {
  this->DispatchTaskUpdates();
  this->requests.Tick();
  this->forwarding.Tick();
  this->deferred.Tick();
  this->claims.Tick();
  this->queries.Tick();
  this->orphan_gangs.Tick();
  this->tasks.Tick();
  this->placing.Expire();
  this->placing.Run();
  this->placing.ChooseVictims();
  this->DispatchTaskUpdates();
  this->workers.Tick();
  this->TickMembership();
  this->configuration.Tick();
  this->adoption.Tick();
  this->shutdown.Tick();
  this->DispatchTaskUpdates();
  this->journals.Tick();
  this->RunMaintenance();
}

void Parts::DispatchTaskUpdates() {
  std::vector<TaskUpdate> updates = this->tasks.TakeUpdates();
  while (!updates.empty()) {
    for (const TaskUpdate& each : updates) {
      if (each.request.Empty()) {
        continue;
      }
      if (this->deferred.Find(each.request) != nullptr) {
        this->deferred.OnTaskUpdate(each);
      } else {
        this->requests.OnTaskUpdate(each);
      }
    }
    updates = this->tasks.TakeUpdates();
  }
}

void Parts::TickMembership() {
  const Instant now = this->context.now;
  const AnnouncedState current{
      this->context.configuration.version, this->context.stopping,
      this->context.platform_reachable, this->journals.Generation()};
  const bool due = this->membership.NextWakeup() <= now;
  if (due || current != this->announced_state) {
    this->announced_state = current;
    this->membership.Tick(now, this->OwnDigest(), this->context.actions);
  }
  for (const ProcessId& peer : this->membership.TakeLostPeers(now)) {
    this->context.Record(PeerEvent(TimelineKind::kPeerLost, peer));
    this->adoption.ScheduleList();
  }
}

Digest Parts::OwnDigest() const {
  Digest digest;
  digest.process = this->context.Self();
  digest.incarnation = this->context.options.incarnation;
  digest.data_center = this->context.options.self.data_center;
  digest.configuration_version = this->context.configuration.version;
  digest.journals = this->journals.Names();
  digest.owned_workers = static_cast<std::int32_t>(this->ledger.WorkerCount());
  digest.free = this->ledger.TotalFree();
  digest.largest_free = this->ledger.LargestFree();
  digest.queued = static_cast<std::int32_t>(this->scheduler.QueuedCount());
  digest.stopping = this->context.stopping;
  digest.platform_reachable = this->context.platform_reachable;
  const auto& services = this->context.configuration.services;
  const auto urgent =
      std::ranges::min_element(services, {}, [this](const auto& entry) {
        const auto& profiles = this->context.configuration.profiles;
        const auto found = profiles.find(entry.second.profile);
        return found == profiles.end() ? 0 : found->second.priority;
      });
  if (urgent != services.end()) {
    digest.predicted_wait = this->scheduler.PredictWait(
        this->context.now, this->ledger, urgent->first);
  }
  return digest;
}

void Parts::RunMaintenance() {
  if (this->context.now < this->next_maintenance) {
    return;
  }
  this->next_maintenance = this->context.now + kMaintenanceInterval;
  if (this->context.configuration.version > 0) {
    (void)this->store.Expire(this->context.now, this->LongestRetention());
  }
  this->claims.SweepExpired();
  this->journals.EraseExpired();
  this->HandOverStranded();
  this->workers.CloseLost();
  this->workers.ProbeIdle();
}

Duration Parts::LongestRetention() const {
  Duration retention{0};
  for (const auto& [id, profile] : this->context.configuration.profiles) {
    retention = std::max(retention, profile.result_retention);
  }
  return retention;
}

Instant Parts::NextWakeup() const {
  Instant next =
      std::min({this->membership.NextWakeup(), this->ownership.NextWakeup(),
                this->health.NextWakeup(), this->requests.NextWakeup(),
                this->forwarding.NextWakeup(), this->deferred.NextWakeup(),
                this->claims.NextWakeup(), this->queries.NextWakeup(),
                this->orphan_gangs.NextWakeup(), this->tasks.NextWakeup(),
                this->journals.NextWakeup(), this->adoption.NextWakeup(),
                this->configuration.NextWakeup(), this->shutdown.NextWakeup(),
                this->placing.NextWakeup(), this->next_maintenance});
  return next;
}

void Parts::OnDurable(const JournalId& journal, const JournalRecord& record) {
  if (std::holds_alternative<HandedOverRecord>(record)) {
    this->journals.Drop(journal);
    this->shutdown.OnHandedOver(journal);
  } else if (const auto* adopted = std::get_if<AdoptedRecord>(&record)) {
    this->adoption.OnAdopted(journal, *adopted);
  } else if (const auto* accepted = std::get_if<AcceptedRecord>(&record)) {
    this->deferred.OnDurable(journal, *accepted);
  } else if (const auto* started = std::get_if<StartedRecord>(&record)) {
    this->deferred.OnDurable(journal, *started);
  } else if (const auto* finished = std::get_if<FinishedRecord>(&record)) {
    this->deferred.OnDurable(journal, *finished);
  } else if (const auto* cancelled = std::get_if<CancelledRecord>(&record)) {
    this->deferred.OnDurable(journal, *cancelled);
  }
}

void Parts::HandOver(const JournalId& journal) {
  this->deferred.OnFenced(journal);
  this->journals.HandOver(journal);
}

void Parts::HandOverStranded() {
  const Instant now = this->context.now;
  const bool peer_has_workers =
      std::ranges::any_of(this->local_peers, [this](const ProcessId& peer) {
        const auto digest = this->membership.LastDigest(peer);
        return digest && digest->owned_workers > 0 && !digest->stopping;
      });
  const bool stranded = this->ledger.WorkerCount() == 0 && peer_has_workers &&
                        this->deferred.AnyWaiting() && !this->context.stopping;
  if (!stranded) {
    this->stranded_since = Instant::max();
    return;
  }
  this->stranded_since = std::min(this->stranded_since, now);
  if (now - this->stranded_since < kStrandedTimeout) {
    return;
  }
  for (const JournalId& journal : this->journals.Names()) {
    if (!this->journals.IsUnused(journal)) {
      this->HandOver(journal);
    }
  }
}

void Parts::OnFenced(const JournalId& journal) {
  this->deferred.OnFenced(journal);
  this->adoption.OnFenced(journal);
}

bool Parts::IsLocal(const ProcessId& process) const {
  return process == this->context.Self() ||
         std::ranges::find(this->local_peers, process) !=
             this->local_peers.end();
}

bool Parts::IsPeer(const ProcessId& process) const {
  return this->IsLocal(process) ||
         std::ranges::find(this->remote_peers, process) !=
             this->remote_peers.end();
}

TeamId Parts::TeamOf(const RequestId& request) {
  const DeferredWork* work = this->deferred.Find(request);
  if (work != nullptr) {
    return work->request.team;
  }
  const ActiveRequest* entry = this->table.Find(request);
  return entry != nullptr ? entry->request.team
                          : this->context.configuration.default_team;
}

void Parts::SettleLateAnswer(const TaskUpdate& update) {
  const bool running = update.kind == TaskUpdate::Kind::kStarted ||
                       update.kind == TaskUpdate::Kind::kUncertain;
  if (running) {
    return;
  }
  const bool whole = update.kind == TaskUpdate::Kind::kEnded &&
                     (update.ended.end == TaskEnd::kFinished ||
                      update.ended.end == TaskEnd::kFailed);
  if (!whole) {
    this->claims.ForgetUnknown(update.request);
    return;
  }
  Answer answer;
  answer.outcome = Outcome::kCompleted;
  answer.status = update.ended.status;
  answer.content_type = update.ended.content_type;
  answer.body = update.ended.body;
  this->claims.SettleUnknown(update.request, answer);
}

void Parts::StopAtPeers(const RequestId& request) {
  for (const ProcessId& peer : this->local_peers) {
    if (!this->membership.Alive(peer)) {
      continue;
    }
    QueryPeer ask;
    ask.query = this->NewQuery();
    ask.peer = peer;
    ask.request = request;
    ask.stop_orphans = true;
    this->context.Emit(std::move(ask));
  }
}

FinishedRecord Parts::TruncateToFit(FinishedRecord record) const {
  if (EncodedSizeBound(record) <=
      this->context.options.journal.max_batch_bytes) {
    return record;
  }
  record.answer.body.reset();
  record.answer.detail = "the answer is too large to be stored";
  record.state = DeferredState::kFailed;
  return record;
}

}  // namespace mustardproxy::detail
