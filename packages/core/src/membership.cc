#include "mustardproxy/core/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership_state.h"
#include "pacing.h"
#include "rendezvous_hash.h"

namespace mustardproxy {

using detail::Peer;

namespace {

/// Maximum number of peers. Peers that are not listed in the settings are added
/// only up to this number, so that unknown senders cannot exhaust the memory.
constexpr std::size_t kMaxPeers = 256;
/// A starting process waits this long for members that do not answer.
constexpr Duration kDiscoveryTimeout = std::chrono::seconds(1);
/// Upper bound of the local interval: 8 members stay within their budget at
/// this interval. More members use more bytes, and a failed member is still
/// detected in time.
constexpr Duration kMaxLocalInterval = std::chrono::milliseconds(2500);
constexpr Duration kMaxRemoteInterval = std::chrono::seconds(10);
/// Interval of heartbeats to a lost peer, as a multiple of the interval for a
/// live one.
constexpr std::int32_t kLostPeerIntervalFactor = 4;

}  // namespace

void Membership::State::RefreshIntervals() {
  std::int64_t local = 0;
  std::set<DataCenterId> data_centers;
  for (const auto& [id, peer] : this->peers) {
    if (peer.local) {
      ++local;
    } else {
      data_centers.insert(peer.description.data_center);
    }
  }
  const MembershipOptions& limits = this->options;
  const Duration paced_local = detail::PacedInterval(
      limits.heartbeat_interval, local, detail::kHeartbeatBytes,
      limits.local_bytes_per_second);
  this->idle_local_interval = std::min(
      paced_local, std::max(kMaxLocalInterval, limits.heartbeat_interval));
  const Duration paced_remote = detail::PacedInterval(
      limits.remote_heartbeat_interval,
      static_cast<std::int64_t>(data_centers.size()), detail::kHeartbeatBytes,
      limits.remote_bytes_per_second);
  this->idle_remote_interval =
      std::min(paced_remote,
               std::max(kMaxRemoteInterval, limits.remote_heartbeat_interval));
}

Duration Membership::State::IdleInterval(bool local) const {
  return local ? this->idle_local_interval : this->idle_remote_interval;
}

Duration Membership::State::RetryInterval(bool local) const {
  return local ? this->options.heartbeat_interval
               : this->options.remote_heartbeat_interval;
}

Duration Membership::State::Interval(const Peer& peer) const {
  if (!peer.local) return this->IdleInterval(false);
  // While requests are queued, forwarding needs recent digests; their bytes are
  // then negligible compared with the traffic.
  const bool queueing =
      this->own.queued > 0 || (peer.digest && peer.digest->queued > 0);
  return queueing ? this->options.heartbeat_interval : this->IdleInterval(true);
}

Duration Membership::State::SilenceLimit(const Peer& peer) const {
  // The first missed heartbeat is sent a full interval after the last one;
  // those that follow an unanswered one are sent at the retry interval.
  const Duration retry = this->RetryInterval(peer.local);
  return this->IdleInterval(peer.local) +
         retry * (this->options.missed_heartbeats - 1);
}

Instant Membership::State::NextHeartbeatDue(const Peer& peer) const {
  const Duration retry = this->RetryInterval(peer.local);
  const bool never_tried = !peer.digest && peer.unanswered == 0;
  if (never_tried) return Instant();
  if (!peer.alive) {
    const bool given_up =
        peer.digest || peer.unanswered > this->options.missed_heartbeats;
    return peer.sent +
           (given_up ? this->Interval(peer) * kLostPeerIntervalFactor : retry);
  }
  // Calls that fail immediately, as after a crash, are retried faster, so that
  // the workers of a crashed process are taken over sooner.
  if (peer.unreachable > 0) return peer.sent + retry / 2;
  if (peer.unanswered > 0) return peer.sent + retry;
  const Instant exchanged = std::max(peer.sent, peer.heard);
  if (this->urgent_change_since > exchanged) return exchanged + retry / 4;
  // An exchange shows each side the other's digest, so one exchange per pair is
  // enough: the side with the lower name initiates it, and the other side only
  // if that one does not.
  const bool begins = this->self.process < peer.description.process;
  return exchanged + this->Interval(peer) + (begins ? Duration(0) : retry / 2);
}

bool Membership::State::BetterLink(const Peer& a, const Peer& b) const {
  const bool a_gone = !a.alive && a.unanswered > 0;
  const bool b_gone = !b.alive && b.unanswered > 0;
  return a_gone != b_gone ? b_gone : a.link_weight > b.link_weight;
}

std::vector<Peer*> Membership::State::LinkedPeers() {
  std::vector<Peer*> linked;
  std::map<DataCenterId, Peer*> links;
  for (auto& [id, peer] : this->peers) {
    if (peer.local) {
      linked.push_back(&peer);
      continue;
    }
    Peer*& link = links[peer.description.data_center];
    if (link == nullptr || this->BetterLink(peer, *link)) link = &peer;
  }
  for (const auto& [data_center, link] : links) linked.push_back(link);
  return linked;
}

Peer* Membership::State::Add(PeerDescription description) {
  Peer peer;
  peer.local = description.data_center == this->self.data_center;
  // Computed identically on both sides, so that two processes usually choose
  // each other and one exchange serves both.
  const auto& [low, high] =
      std::minmax(this->self.process, description.process);
  peer.link_weight = detail::RendezvousWeight(low.Text(), high.Text());
  const ProcessId name = description.process;
  peer.description = std::move(description);
  const auto [entry, added] = this->peers.emplace(name, std::move(peer));
  this->RefreshIntervals();
  return &entry->second;
}

const Peer* Membership::State::Find(const ProcessId& process) const {
  const auto found = this->peers.find(process);
  return found == this->peers.end() ? nullptr : &found->second;
}

Peer* Membership::State::FindOrAdd(const Digest& digest) {
  const auto found = this->peers.find(digest.process);
  if (found != this->peers.end()) return &found->second;
  if (this->peers.size() >= kMaxPeers) return nullptr;
  return this->Add({digest.process, digest.data_center});
}

const ProcessId& Membership::State::HighestWeight(std::string_view key) const {
  return *std::ranges::max_element(
      this->local_members, {}, [key](const ProcessId& member) {
        return detail::RendezvousWeight(key, member.Text());
      });
}

void Membership::State::CompensateOwnPause(Instant now) {
  // Failure: after this process was suspended, all peers seem to have been
  // silent, and it would take over all workers of the data centre. A suspension
  // shows as a late wake-up; each peer then gets the time of two more
  // heartbeats to answer before it is considered lost.
  if (!this->started || now <= this->next_wakeup) return;
  const bool paused =
      now - this->next_wakeup >= this->options.heartbeat_interval;
  this->next_wakeup = now;
  if (!paused) return;
  for (auto& [id, peer] : this->peers) {
    const Duration left = this->RetryInterval(peer.local) * 2;
    peer.heard = std::max(peer.heard, now - this->SilenceLimit(peer) + left);
    peer.unreachable = 0;
  }
}

bool Membership::State::RecordDigestChange(Instant now, const Digest& own) {
  const Digest& former = this->own;
  const bool urgent =
      former.configuration_version != own.configuration_version ||
      former.stopping != own.stopping ||
      former.platform_reachable != own.platform_reachable ||
      former.journals != own.journals;
  const bool queueing = (former.queued > 0) != (own.queued > 0);
  if (urgent) this->urgent_change_since = now;
  return urgent || queueing;
}

void Membership::State::ExpireSilentPeers(Instant now) {
  this->CompensateOwnPause(now);
  bool changed = false;
  for (auto& [id, peer] : this->peers) {
    if (!peer.alive) continue;
    const bool silent = now - peer.heard >= this->SilenceLimit(peer);
    if (!silent && peer.unreachable < this->options.missed_heartbeats) continue;
    peer.alive = false;
    // A process of another data centre that no longer sends heartbeats may only
    // have chosen another peer to talk to, so its loss is reported only if it
    // left a heartbeat unanswered.
    peer.lost = peer.local || peer.unanswered > 0;
    peer.reservations.clear();
    changed = true;
  }
  if (changed) this->RebuildLocalMembers();
}

void Membership::State::RebuildLocalMembers() {
  std::vector<ProcessId> members;
  if (!this->own.stopping) members.push_back(this->self.process);
  for (const auto& [id, peer] : this->peers) {
    const bool counts = peer.local && peer.alive && !peer.digest->stopping;
    if (counts) members.push_back(id);
  }
  // The list must not be empty: a process that shuts down as the only member
  // lists itself.
  if (members.empty()) members.push_back(this->self.process);
  std::ranges::sort(members);
  if (members == this->local_members) return;
  this->local_members = std::move(members);
  ++this->generation;
}

Membership::Membership(PeerDescription self, std::vector<PeerDescription> peers,
                       MembershipOptions options)
    : state(std::make_unique<State>()) {
  this->state->self = std::move(self);
  this->state->options = options;
  this->state->RefreshIntervals();
  for (PeerDescription& description : peers) {
    if (description.process == this->state->self.process) continue;
    this->state->Add(std::move(description));
  }
  this->state->RebuildLocalMembers();
}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::Tick(Instant now, const Digest& own, Actions* actions) {
  State& state = *this->state;
  const bool first = !state.started;
  if (first) state.started = now;
  const bool changed = state.RecordDigestChange(now, own);
  if (!first && !changed && now < state.next_wakeup) return;
  state.ExpireSilentPeers(now);
  const bool was_stopping = state.own.stopping;
  state.own = own;
  if (was_stopping != own.stopping) state.RebuildLocalMembers();
  state.next_wakeup = now + state.options.heartbeat_interval;
  for (Peer* peer : state.LinkedPeers()) {
    if (state.NextHeartbeatDue(*peer) <= now) {
      actions->push_back(SendDigest{peer->description.process, own});
      peer->sent = now;
      ++peer->unanswered;
    }
    state.next_wakeup =
        std::min(state.next_wakeup, state.NextHeartbeatDue(*peer));
  }
}

bool Membership::OnDigest(Instant now, const Digest& digest) {
  State& state = *this->state;
  if (digest.process == state.self.process) return false;
  Peer* peer = state.FindOrAdd(digest);
  if (peer == nullptr) return false;
  // A delayed digest from before a restart may arrive after one from after it.
  if (peer->former_incarnation == digest.incarnation) return false;
  const bool restarted =
      peer->digest && peer->digest->incarnation != digest.incarnation;
  if (restarted) peer->former_incarnation = peer->digest->incarnation;
  const bool joined = !peer->alive || restarted;
  const bool members_changed =
      joined || peer->digest->stopping != digest.stopping;
  peer->alive = true;
  if (joined) peer->lost = false;
  peer->heard = now;
  ++peer->digests;
  peer->unanswered = 0;
  peer->unreachable = 0;
  peer->digest = digest;
  detail::DropSeenReservations(now, restarted, &peer->reservations);
  if (members_changed) state.RebuildLocalMembers();
  return joined;
}

void Membership::OnUnreachable(Instant now, const ProcessId& peer) {
  State& state = *this->state;
  const auto found = state.peers.find(peer);
  if (found == state.peers.end() || found->second.unanswered == 0) return;
  ++found->second.unreachable;
  state.ExpireSilentPeers(now);
  state.next_wakeup =
      std::min(state.next_wakeup, state.NextHeartbeatDue(found->second));
}

std::vector<ProcessId> Membership::TakeLostPeers(Instant now) {
  this->state->ExpireSilentPeers(now);
  std::vector<ProcessId> lost;
  for (auto& [id, peer] : this->state->peers) {
    if (peer.lost) lost.push_back(id);
    peer.lost = false;
  }
  return lost;
}

const ProcessId& Membership::Self() const { return this->state->self.process; }

std::uint64_t Membership::Generation() const { return this->state->generation; }

bool Membership::DiscoveryComplete(Instant now) const {
  if (this->state->started &&
      now - *this->state->started >= kDiscoveryTimeout) {
    return true;
  }
  return std::ranges::all_of(this->state->peers, [](const auto& entry) {
    return !entry.second.local || entry.second.alive;
  });
}

bool Membership::Alive(const ProcessId& process) const {
  if (process == this->state->self.process) return true;
  const Peer* peer = this->state->Find(process);
  return peer != nullptr && peer->alive;
}

std::vector<ProcessId> Membership::LocalMembers() const {
  return this->state->local_members;
}

ProcessId Membership::PreferredOwner(const RackId& rack) const {
  return this->state->HighestWeight(rack.Text());
}

bool Membership::IsConfigurationWatcher() const {
  // The first member that reaches the platform watches the configuration. If
  // none does, the first member keeps trying, so that an outage causes calls
  // from only one process per data centre.
  const State& state = *this->state;
  const auto reaches = [&state](const ProcessId& member) {
    if (member == state.self.process) return state.own.platform_reachable;
    return state.Find(member)->digest->platform_reachable;
  };
  const auto watcher = std::ranges::find_if(state.local_members, reaches);
  const ProcessId& chosen = watcher == state.local_members.end()
                                ? state.local_members.front()
                                : *watcher;
  return chosen == state.self.process;
}

std::optional<Digest> Membership::LastDigest(const ProcessId& peer) const {
  const Peer* found = this->state->Find(peer);
  if (found == nullptr || !found->alive) return std::nullopt;
  return found->digest;
}

std::optional<PeerDescription> Membership::PeerWithNewerConfiguration(
    ConfigurationVersion than) const {
  const Peer* best = nullptr;
  const auto better = [](const Peer& a, const Peer& b) {
    const ConfigurationVersion a_version = a.digest->configuration_version;
    const ConfigurationVersion b_version = b.digest->configuration_version;
    return a_version != b_version ? a_version > b_version : a.local && !b.local;
  };
  for (const auto& [id, peer] : this->state->peers) {
    if (!peer.alive || peer.digest->configuration_version <= than) continue;
    if (best == nullptr || better(peer, *best)) best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  return best->description;
}

std::optional<ProcessId> Membership::JournalHolder(
    const JournalId& journal) const {
  const auto holds = [&journal](const Digest& digest) {
    return std::ranges::find(digest.journals, journal) != digest.journals.end();
  };
  if (holds(this->state->own)) return this->state->self.process;
  for (const auto& [id, peer] : this->state->peers) {
    if (peer.alive && holds(*peer.digest)) return id;
  }
  return std::nullopt;
}

ProcessId Membership::PreferredAdopter(const JournalId& journal) const {
  return this->state->HighestWeight(journal.Text());
}

Instant Membership::NextWakeup() const { return this->state->next_wakeup; }

}  // namespace mustardproxy
