#include <algorithm>

#include "membership_state.h"
#include "rendezvous_hash.h"

namespace mustardproxy {

using detail::ForwardReservation;
using detail::Peer;

namespace detail {
namespace {

/// A digest that arrives less than this time after a reservation was made may
/// not reflect it yet: the request may still be in transit, or the digest may
/// have been sent before the request arrived.
constexpr Duration kForwardTransitTime = std::chrono::milliseconds(100);
/// Reservations made within this time of each other are merged.
constexpr Duration kReservationMergeWindow = std::chrono::milliseconds(20);

}  // namespace

void DropSeenReservations(Instant now, bool all,
                          std::vector<ForwardReservation>* reservations) {
  if (all) reservations->clear();
  std::erase_if(*reservations, [now](const ForwardReservation& reservation) {
    return now - reservation.made >= kForwardTransitTime;
  });
}

namespace {

void AddReservation(Instant now, const Resources& resources,
                    std::vector<ForwardReservation>* reservations) {
  if (!reservations->empty() &&
      now - reservations->back().made < kReservationMergeWindow) {
    reservations->back().resources += resources;
    return;
  }
  reservations->push_back({now, resources});
}

Resources DividedBy(const Resources& resources, std::int64_t parts) {
  return {resources.cpu_milli / parts, resources.memory_mb / parts,
          resources.accelerators / parts, resources.slots / parts};
}

/// @return true if this process may send a single task although its share of
///   the peer's free resources is smaller than one task. The decision is
///   redrawn with each digest, so that all competitors together send about as
///   many tasks as the peer has free slots
bool DrawsFractionalShare(const ProcessId& self, const Peer& peer,
                          std::int64_t competitors) {
  const std::uint64_t draw =
      MixBits(RendezvousWeight(self.Text(), peer.description.process.Text()) +
              peer.digests) %
      static_cast<std::uint64_t>(competitors);
  return static_cast<std::int64_t>(draw) < peer.digest->free.slots;
}

/// @return the free resources of a peer that this process may still use
Resources RemainingResources(const ProcessId& self, const Peer& peer,
                             const Resources& needs, std::int64_t competitors) {
  Resources resources = DividedBy(peer.digest->free, competitors);
  const bool too_small =
      !needs.FitsIn(resources) && needs.FitsIn(peer.digest->free);
  if (too_small && DrawsFractionalShare(self, peer, competitors)) {
    resources = needs;
  }
  for (const ForwardReservation& reservation : peer.reservations) {
    resources -= reservation.resources;
  }
  return resources;
}

struct Candidate {
  Peer* peer = nullptr;
  Resources resources;
};

bool Better(const Candidate& a, const Candidate& b) {
  const Duration a_wait = a.peer->digest->predicted_wait;
  const Duration b_wait = b.peer->digest->predicted_wait;
  if (a_wait != b_wait) return a_wait < b_wait;
  if (a.resources.slots != b.resources.slots) {
    return a.resources.slots > b.resources.slots;
  }
  return a.resources.cpu_milli > b.resources.cpu_milli;
}

/// @return the better of two distinct candidates drawn at random
const Candidate& BetterOfTwo(const std::vector<Candidate>& candidates,
                             std::uint64_t random) {
  const std::uint64_t count = candidates.size();
  const std::uint64_t first = (random & 0xffffffffU) % count;
  if (count == 1) return candidates[first];
  const std::uint64_t step = 1 + (random >> 32U) % (count - 1);
  const Candidate& a = candidates[first];
  const Candidate& b = candidates[(first + step) % count];
  return Better(a, b) ? a : b;
}

}  // namespace
}  // namespace detail

std::optional<ProcessId> Membership::ChooseForwardTarget(
    Instant now, const Resources& needs, std::span<const ProcessId> avoid,
    std::uint64_t random) {
  State& state = *this->state;
  const std::int64_t competitors = state.CompetitorCount();
  std::vector<detail::Candidate> local;
  std::vector<detail::Candidate> remote;
  for (auto& [id, peer] : state.peers) {
    if (!peer.alive || peer.digest->stopping) continue;
    if (std::ranges::find(avoid, id) != avoid.end()) continue;
    if (!needs.FitsIn(peer.digest->largest_free)) continue;
    const Resources resources = detail::RemainingResources(
        state.self.process, peer, needs, peer.local ? competitors : 1);
    if (!needs.FitsIn(resources)) continue;
    (peer.local ? local : remote).push_back({&peer, resources});
  }
  const std::vector<detail::Candidate>& near = local.empty() ? remote : local;
  if (near.empty()) return std::nullopt;
  Peer& chosen = *detail::BetterOfTwo(near, random).peer;
  detail::AddReservation(now, needs, &chosen.reservations);
  return chosen.description.process;
}

std::int64_t Membership::State::CompetitorCount() const {
  // Failure: one member is idle and all others are full. All of them see the
  // same free resources in its digest and together forward many times what it
  // can hold. Each process therefore uses only its share, divided among the
  // members whose digests show queued requests.
  std::int64_t count = 1;
  for (const auto& [id, peer] : this->peers) {
    if (peer.local && peer.alive && peer.digest->queued > 0) ++count;
  }
  return count;
}

}  // namespace mustardproxy
