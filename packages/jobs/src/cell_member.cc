#include "cell_member.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

#include "keys.h"
#include "mustardproxy/core/error.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Number of processes that a new owner asks what they have seen.
constexpr std::size_t kMaxWitnesses = 3;

/// A renewal that is sent this late is logged.
constexpr Duration kLateRenewal = milliseconds(100);

/// During a rolling restart, the processes that joined last will not be stopped
/// again soon. Preferring them reduces the number of ownership changes.
bool IsBetterSuccessor(const Registration& a, const Registration& b) {
  return std::make_tuple(-a.node.cpu_milli, -a.node.memory_mb, -a.revision) <
         std::make_tuple(-b.node.cpu_milli, -b.node.memory_mb, -b.revision);
}

}  // namespace

CellMember::CellMember(Executor* executor, KeyValueStore* store, EventLog* log,
                       Metrics* metrics, NodeRecord self, Handlers handlers)
    : executor(executor),
      store(store),
      log(log),
      metrics(metrics),
      self(std::move(self)),
      choice(this->self),
      handlers(std::move(handlers)) {}

void CellMember::Start() {
  this->AcquireLease();
  this->Track(Tracking::kAll);
}

void CellMember::Track(Tracking wanted) {
  this->changing_tracking = false;
  this->tracking = wanted;
  const bool all = wanted == Tracking::kAll;
  if (all) {
    for (const auto& [name, node] : this->nodes) this->choice.Forget(name);
    this->nodes.clear();
  }
  this->mirror = std::make_unique<PrefixMirror>(
      this->executor, this->store, this->log,
      PrefixMirror::Options{
          .prefix = std::string(all ? keys::kCell : keys::kOwners),
          .pause = Duration::zero(),
          .wait = all ? kMaxWatchWait : kOwnerWatchWait},
      PrefixMirror::Handlers{
          .on_change = [this](const StoreEvent& e) { this->OnCellEvent(e); },
          .on_listed = [this] { this->OnListed(); }});
  this->mirror->Start();
  if (all) return;
  this->log->Write("cell", "tracks-owner-alone",
                   {{"processes", this->nodes.size()}});
  this->executor->After(kPeerSampleInterval, this->guard.Wrap([this] {
    this->ReadSample(keys::Node(this->self.name));
  }));
}

void CellMember::OnListed() {
  // Failure: the owner's key is deleted between the last watch of one mirror
  // and the listing of the next, and nobody is told.
  const bool lost =
      this->owner && this->token == 0 && !this->mirror->Contains(keys::Owner());
  if (lost) {
    StoreEvent deleted;
    deleted.item.key = keys::Owner();
    deleted.item.revision = this->owner->token;
    deleted.deleted = true;
    this->OnOwnerKey(deleted);
  }
  this->ConsiderElection();
}

void CellMember::ConsiderTracking() {
  // The rest of a listing is of no use to a process that narrows its view.
  const bool narrows = this->TracksAll() && this->token == 0 &&
                       this->nodes.size() > kMaxTrackedByAll &&
                       this->choice.CountPreferred() >= kTrackingProcesses;
  const bool widens = !this->TracksAll() && this->token != 0;
  if (!narrows && !widens) return;
  if (std::exchange(this->changing_tracking, true)) return;
  // Deferred, because the mirror to be replaced may be on the stack.
  this->executor->Post(this->guard.Wrap([this, widens] {
    if (widens == this->TracksAll()) {
      this->changing_tracking = false;
    } else {
      this->Track(widens ? Tracking::kAll : Tracking::kOwner);
    }
  }));
}

void CellMember::ReadSample(const std::string& after) {
  if (this->TracksAll() || this->leaving) return;
  this->store->List(
      keys::kNodes, after,
      this->guard.Wrap([this, after](const Result<StorePage>& page) {
        this->OnSample(after, page);
      }));
}

void CellMember::OnSample(const std::string& after,
                          const Result<StorePage>& page) {
  if (this->TracksAll()) return;
  if (page) {
    const std::vector<StoreItem>& items = page.value().items;
    // Each process reads from its own name on, so that not all of them know the
    // same ones.
    if (!after.empty() && items.size() < kMaxTrackedByAll) {
      this->ReadSample("");
      return;
    }
    if (after.empty() && !page.value().truncated &&
        items.size() < kMaxTrackedByAll) {
      // The cell has become small.
      this->Track(Tracking::kAll);
      return;
    }
    for (const auto& [name, node] : this->nodes) this->choice.Forget(name);
    this->nodes.clear();
    for (const StoreItem& item : items) {
      if (this->nodes.size() == kMaxTrackedByAll) break;
      const auto node = DecodeNode(item.value);
      if (!node) continue;
      this->nodes[node->name] = {*node, item.lease, item.revision};
      this->choice.NoteJoined(*node, this->executor->Now());
    }
  }
  this->executor->After(kPeerSampleInterval, this->guard.Wrap([this] {
    this->ReadSample(keys::Node(this->self.name));
  }));
}

void CellMember::LogMembership(std::string_view event, const ProcessId& process,
                               std::string_view address) {
  if (this->nodes.size() <= kMaxTrackedByAll) {
    this->log->Write("cell", event,
                     {{"process", process.Text()}, {"address", address}});
    return;
  }
  if (std::exchange(this->membership_log_due, true)) return;
  this->executor->After(kMembershipLogInterval, this->guard.Wrap([this] {
    this->LogMembershipChanges();
  }));
}

void CellMember::LogMembershipChanges() {
  this->membership_log_due = false;
  this->log->Write("cell", "processes-changed",
                   {{"joined", std::exchange(this->unlogged_joined, 0)},
                    {"gone", std::exchange(this->unlogged_gone, 0)},
                    {"processes", this->nodes.size()}});
}

bool CellMember::StoreAnswers() const {
  return this->lease != 0 && !this->refused &&
         this->executor->Now() < this->renewed_at + kStoreSilenceTimeout;
}

Instant CellMember::StoreAliveAt() const {
  return std::max(this->renewed_at, this->mirror->LastAnsweredCallAt());
}

void CellMember::AcquireLease() {
  if (this->leaving) return;
  const Instant sent_at = this->executor->Now();
  this->store->GrantLease(
      kStoreLease,
      this->guard.Wrap([this, sent_at](const Result<StoreLease>& granted) {
        this->OnLease(sent_at, granted);
      }));
}

void CellMember::OnLease(Instant sent_at, const Result<StoreLease>& granted) {
  if (this->leaving) return;
  if (!granted) {
    // Retried many times a second while the store is unavailable; logged once.
    if (!std::exchange(this->grant_failing, true)) {
      this->log->Write("cell", "lease-not-granted",
                       {{"reason", granted.error().message()}});
    }
    this->executor->After(kStoreRetryDelay,
                          this->guard.Wrap([this] { this->AcquireLease(); }));
    return;
  }
  this->lease = granted.value().id;
  this->renewed_at = sent_at;
  this->refused = false;
  this->grant_failing = false;
  this->log->Write("cell", "lease-granted", {{"lease", this->lease}});
  this->Register();
  this->ScheduleRenewal();
  this->ConsiderElection();
}

void CellMember::Register() {
  Transaction transaction;
  transaction.puts.push_back(
      {keys::Node(this->self.name), EncodeNode(this->self), this->lease});
  const StoreLeaseId used = this->lease;
  this->store->Commit(
      std::move(transaction),
      this->guard.Wrap([this, used](const CommitResult& result) {
        if (used != this->lease || this->leaving) return;
        if (result.end == CommitOutcome::kCommitted) return;
        if (result.end == CommitOutcome::kLeaseNotFound) {
          this->LoseLease("expired before registration");
          return;
        }
        this->executor->After(kStoreRetryDelay, this->guard.Wrap([this, used] {
          if (used == this->lease && !this->leaving) this->Register();
        }));
      }));
}

void CellMember::ScheduleRenewal() {
  if (std::exchange(this->renewing, true)) return;
  const Instant due = this->executor->Now() + kStoreLeaseRenewal;
  this->executor->AfterUrgent(kStoreLeaseRenewal, this->guard.Wrap([this, due] {
    this->renewing = false;
    this->LogIfLate(due);
    this->Renew();
  }));
}

void CellMember::LogIfLate(Instant due) {
  const std::string load = this->handlers.take_load();
  const Duration late = this->executor->Now() - due;
  if (this->token != 0) this->choice.NoteLateness(late);
  if (late < kLateRenewal) return;
  this->log->Write("cell", "renewal-late",
                   {{"late_ms", WholeMilliseconds(late)},
                    {"owner", this->token != 0 ? 1 : 0},
                    {"load_ms", load}});
}

void CellMember::Renew() {
  if (this->lease == 0) return;
  const Instant sent_at = this->executor->Now();
  const StoreLeaseId renewed = this->lease;
  this->store->RenewLease(
      renewed, this->guard.Wrap(
                   [this, renewed, sent_at](const Result<StoreLease>& answer) {
                     this->OnRenewed(renewed, sent_at, answer);
                   }));
  // The next renewal does not wait for the answer, which may never arrive.
  this->ScheduleRenewal();
  this->ConsiderHandOver();
}

void CellMember::OnRenewed(StoreLeaseId renewed, Instant sent_at,
                           const Result<StoreLease>& answer) {
  if (renewed != this->lease) return;
  if (answer) {
    this->renewed_at = std::max(this->renewed_at, sent_at);
    this->refused = false;
    return;
  }
  // A silent store is detected by the time since the last renewal.
  const Duration took = this->executor->Now() - sent_at;
  if (took < kStoreSilenceTimeout) this->refused = true;
  if (answer.error() == Error::kUnknownRequest) {
    this->LoseLease("lapsed");
  }
}

void CellMember::LoseLease(std::string_view reason) {
  this->log->Write("cell", "lease-lost",
                   {{"lease", this->lease}, {"reason", reason}});
  this->lease = 0;
  this->Depose("the store lease has ended");
  this->AcquireLease();
}

void CellMember::OnCellEvent(const StoreEvent& event) {
  const std::string& key = event.item.key;
  if (key.starts_with(keys::kNodes)) {
    this->OnNodeKey(event);
  } else if (key == keys::Owner()) {
    this->OnOwnerKey(event);
  } else if (key == keys::RecentOwners()) {
    this->OnRecentOwners(event);
  } else if (key == keys::WithheldLeases()) {
    this->OnWithheldLeases(event);
    // Says nothing about processes.
    return;
  }
  this->handlers.on_change();
  this->ConsiderTracking();
  this->ConsiderElection();
}

void CellMember::OnNodeKey(const StoreEvent& event) {
  const ProcessId name(event.item.key.substr(keys::kNodes.size()));
  if (event.deleted) {
    this->nodes.erase(name);
    this->choice.NoteGone(name, this->executor->Now());
    ++this->unlogged_gone;
    this->LogMembership("process-gone", name, "");
    const bool own = name == this->self.name && this->lease != 0;
    if (own && !this->leaving) this->Register();
  } else if (auto node = DecodeNode(event.item.value)) {
    this->nodes[name] = {*node, event.item.lease, event.item.revision};
    this->choice.NoteJoined(*node, this->executor->Now());
    ++this->unlogged_joined;
    this->LogMembership("process-joined", name, node->peer_address);
  } else {
    this->LogMalformed(event);
  }
}

void CellMember::OnRecentOwners(const StoreEvent& event) {
  if (event.deleted) {
    this->recent_owners.NoteRecordDeleted(event.item.revision);
  } else {
    this->recent_owners.NoteRecord(event.item, this->executor->Now());
  }
}

void CellMember::OnWithheldLeases(const StoreEvent& event) {
  if (event.deleted) {
    this->withheld.Clear();
  } else {
    this->withheld.Note(event.item.value, this->executor->Now());
  }
}

FormerOwners CellMember::FindFormerOwners() const {
  return this->recent_owners.Before(this->token, this->executor->Now());
}

void CellMember::NoteSeen(const std::vector<SeenWithheldLease>& leases) {
  const Instant now = this->executor->Now();
  for (const SeenWithheldLease& lease : leases) {
    this->withheld.NoteSeen(lease, now - lease.age);
  }
}

std::vector<std::string> CellMember::FindWitnesses() const {
  std::vector<const Registration*> others;
  for (const auto& [name, other] : this->nodes) {
    if (name != this->self.name) others.push_back(&other);
  }
  const std::size_t count = std::min(others.size(), kMaxWitnesses);
  std::partial_sort(
      others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count),
      others.end(),
      [](const auto* a, const auto* b) { return a->revision < b->revision; });
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < count; ++i) {
    addresses.push_back(others[i]->node.peer_address);
  }
  return addresses;
}

void CellMember::ForgetFormerOwners() {
  const bool due = this->token != 0 && this->StoreAnswers() &&
                   !this->handing_over && !this->leaving &&
                   !this->recent_owners.NamesOnly(this->token);
  if (!due || std::exchange(this->forgetting, true)) return;
  const std::string record =
      EncodeOwners({.owners = {{this->self, this->token}}, .complete = true});
  Transaction transaction;
  transaction.conditions.push_back({keys::Owner(), this->token});
  transaction.conditions.push_back(
      {keys::RecentOwners(), this->recent_owners.RecordRevision()});
  transaction.puts.push_back({keys::RecentOwners(), record, 0});
  this->store->Commit(
      std::move(transaction),
      this->guard.Wrap([this, record](const CommitResult& result) {
        this->forgetting = false;
        this->NoteRecentOwners(record, result);
      }));
}

void CellMember::NoteRecentOwners(const std::string& written,
                                  const CommitResult& result) {
  const Instant now = this->executor->Now();
  if (result.end == CommitOutcome::kCommitted) {
    this->recent_owners.NoteRecord({.key = keys::RecentOwners(),
                                    .value = written,
                                    .revision = result.revision},
                                   now);
  }
  // Failure: the record has changed unnoticed, and no process can be elected
  // until a watch tells.
  for (const StoreItem& item : result.found) {
    if (item.key == keys::RecentOwners()) {
      this->recent_owners.NoteRecord(item, now);
    }
  }
}

void CellMember::OnOwnerKey(const StoreEvent& event) {
  if (event.deleted) {
    this->recent_owners.NoteVacant(event.item.revision, this->executor->Now());
    // Ignore a change that is older than the write that made this process the
    // owner.
    if (event.item.revision < this->token) return;
    this->owner.reset();
    this->choice.NoteVacant();
    this->Depose("the owner's key was deleted");
    return;
  }
  const auto node = DecodeNode(event.item.value);
  if (!node) {
    this->LogMalformed(event);
    return;
  }
  this->owner = Ownership{*node, event.item.revision};
  this->recent_owners.NoteOwner(event.item.revision, this->executor->Now());
  this->choice.NoteOwner(*node, event.item.revision, this->executor->Now());
  this->log->Write(
      "cell", "owner-changed",
      {{"owner", node->name.Text()}, {"token", event.item.revision}});
  const bool newer = event.item.revision > this->token;
  const bool ours = *node == this->self && event.item.lease == this->lease;
  if (this->token == 0 && ours) {
    // The answer to our write was lost, and the write was applied later.
    this->BecomeOwner(event.item.revision);
  } else if (this->token != 0 && newer) {
    this->Depose("a newer owner was elected");
  }
}

void CellMember::LogMalformed(const StoreEvent& event) {
  this->log->Write(
      "cell", "record-broken",
      {{"key", event.item.key}, {"revision", event.item.revision}});
}

bool CellMember::OwnerRestarted() const {
  // The sample of a process that tracks the owner alone may be old.
  if (!this->owner || !this->TracksAll()) return false;
  const auto node = this->nodes.find(this->owner->owner.name);
  return node != this->nodes.end() &&
         node->second.node.incarnation != this->owner->owner.incarnation;
}

void CellMember::ConsiderElection() {
  const bool vacant = !this->owner || this->OwnerRestarted();
  const bool may_run = this->mirror->Listed() && vacant && this->lease != 0 &&
                       this->token == 0 && !this->leaving;
  if (!may_run || std::exchange(this->electing, true)) return;
  Duration delay = this->choice.ElectionDelay(this->executor->Now());
  if (!this->TracksAll()) delay += kUntrackedElectionDelay;
  this->executor->After(delay,
                        this->guard.Wrap([this] { this->RunForElection(); }));
}

void CellMember::RunForElection() {
  const bool vacant = !this->owner || this->OwnerRestarted();
  if (!vacant || this->lease == 0 || this->leaving) {
    this->electing = false;
    return;
  }
  Transaction transaction;
  // If the owner was restarted, its key is taken over before its lease expires.
  transaction.conditions.push_back(
      {keys::Owner(), this->owner ? this->owner->token : 0});
  transaction.puts.push_back(
      {keys::Owner(), EncodeNode(this->self), this->lease});
  const std::string recent = this->AddRecentOwners(this->self, &transaction);
  this->store->Commit(std::move(transaction),
                      this->guard.Wrap([this, used = this->lease,
                                        recent](const CommitResult& result) {
                        this->OnElectionResult(used, recent, result);
                      }));
}

std::string CellMember::AddRecentOwners(const NodeRecord& next,
                                        Transaction* transaction) const {
  std::string record =
      this->recent_owners.EncodeNext(next, this->executor->Now());
  transaction->conditions.push_back(
      {keys::RecentOwners(), this->recent_owners.RecordRevision()});
  transaction->puts.push_back({keys::RecentOwners(), record, 0});
  return record;
}

void CellMember::OnElectionResult(StoreLeaseId used, const std::string& recent,
                                  const CommitResult& result) {
  this->NoteRecentOwners(recent, result);
  switch (result.end) {
    case CommitOutcome::kCommitted:
      // Failure: the answer arrives when the lease has ended and another
      // process owns the group, and this one acts as its owner.
      if (used != this->lease ||
          (this->owner && this->owner->token > result.revision)) {
        this->VerifyElection();
        return;
      }
      this->electing = false;
      this->BecomeOwner(result.revision);
      return;
    case CommitOutcome::kConflict:
      // Another process was first, and the mirror soon shows which. Failure:
      // the former owner's key was deleted with its lease while the write was
      // in flight; the mirror has reported that already, no further event
      // follows, and the group stays without an owner. So the key is read again
      // below.
    case CommitOutcome::kUncertain:
      this->VerifyElection();
      return;
    case CommitOutcome::kLeaseNotFound:
    case CommitOutcome::kNotApplied:
      break;
  }
  this->executor->After(kStoreRetryDelay, this->guard.Wrap([this] {
    this->electing = false;
    this->ConsiderElection();
  }));
}

void CellMember::VerifyElection() {
  // Failure: the answer to the write that made this process the owner is lost.
  // The key shows who wrote it, because no other process uses our lease.
  this->store->Read(
      keys::Owner(), this->guard.Wrap([this](const Result<StoreItem>& item) {
        this->electing = false;
        const bool ours = item && item.value().lease == this->lease &&
                          this->lease != 0 && !this->leaving;
        if (ours) {
          this->BecomeOwner(item.value().revision);
          return;
        }
        this->executor->After(kStoreRetryDelay, this->guard.Wrap([this] {
          this->ConsiderElection();
        }));
      }));
}

void CellMember::BecomeOwner(Revision revision) {
  // What was given up must not be taken up again: others may have been told.
  if (this->token != 0 || this->leaving || revision <= this->given_up) return;
  this->token = revision;
  this->recent_owners.NoteOwner(revision, this->executor->Now());
  this->owner = Ownership{this->self, revision};
  this->choice.NoteOwner(this->self, revision, this->executor->Now());
  this->log->Write("cell", "elected", {{"token", revision}});
  this->handlers.on_elected(revision);
  this->handlers.on_change();
  this->ConsiderTracking();
}

void CellMember::Depose(std::string_view reason) {
  if (this->token == 0) return;
  this->log->Write("cell", "deposed",
                   {{"token", this->token}, {"reason", reason}});
  this->given_up = std::exchange(this->token, 0);
  this->handlers.on_deposed(reason);
}

void CellMember::Resign(std::string_view reason) {
  this->Depose(reason);
  if (this->lease == 0 || this->leaving) return;
  // Failure: a process that no longer acts as owner keeps the owner's key alive
  // with its lease, and no other process takes over. Ending the lease deletes
  // the key.
  this->store->EndLease(this->lease);
  this->lease = 0;
  this->AcquireLease();
}

void CellMember::Leave() {
  if (std::exchange(this->leaving, true)) return;
  const Registration* successor = this->Successor();
  if (this->token == 0 || successor == nullptr) {
    this->EndMembership();
  } else {
    this->HandOverAndLeave(*successor);
  }
}

const Registration* CellMember::Successor() const {
  const Registration* best = nullptr;
  for (const auto& [name, other] : this->nodes) {
    if (name == this->self.name) continue;
    if (best == nullptr || IsBetterSuccessor(other, *best)) best = &other;
  }
  return best;
}

void CellMember::NameSuccessor(const Registration& successor,
                               std::string_view reason,
                               std::function<void(const CommitResult&)> done) {
  // Handing over keeps the group owned at all times. Ending the lease and
  // electing a new owner would stop placement for three answers of the store
  // plus the election delays.
  this->log->Write("cell", "handing-over",
                   {{"token", this->token},
                    {"successor", successor.node.name.Text()},
                    {"reason", reason},
                    {"cpu_milli", this->self.cpu_milli},
                    {"successor_cpu_milli", successor.node.cpu_milli}});
  if (this->metrics != nullptr) {
    this->metrics->Count("owner_handovers", "reason=" + std::string(reason));
  }
  Transaction transaction;
  transaction.conditions.push_back({keys::Owner(), this->token});
  transaction.puts.push_back(
      {keys::Owner(), EncodeNode(successor.node), successor.lease});
  (void)this->AddRecentOwners(successor.node, &transaction);
  this->store->Commit(std::move(transaction),
                      this->guard.Wrap(std::move(done)));
}

void CellMember::HandOverAndLeave(const Registration& successor) {
  this->NameSuccessor(
      successor, "leaving",
      // Regardless of the result: a key that is still ours is
      // deleted with the lease, and the others elect an owner.
      [this](const CommitResult& /*result*/) { this->EndMembership(); });
}

void CellMember::ConsiderHandOver() {
  const bool may = this->token != 0 && !this->leaving && !this->handing_over &&
                   this->StoreAnswers();
  if (!may) return;
  const auto decision =
      this->choice.Consider(this->executor->Now(), this->handlers.progress());
  if (!decision) return;
  const auto successor = this->nodes.find(decision->successor.name);
  if (successor == this->nodes.end()) return;
  this->handing_over = true;
  this->NameSuccessor(
      successor->second, Name(decision->reason),
      [this](const CommitResult& result) { this->OnHandedOver(result); });
}

void CellMember::OnHandedOver(const CommitResult& result) {
  this->handing_over = false;
  // If the answer is lost, the mirror shows who owns the group.
  if (result.end != CommitOutcome::kCommitted) return;
  this->Depose("the group was handed over");
}

void CellMember::EndMembership() {
  this->Depose("this process is stopping");
  if (this->lease != 0) this->store->EndLease(this->lease);
  this->lease = 0;
}

}  // namespace mustardproxy::jobs
