#ifndef MUSTARDPROXY_CORE_SRC_MEMBERSHIP_STATE_H_
#define MUSTARDPROXY_CORE_SRC_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "mustardproxy/core/membership.h"

namespace mustardproxy::detail {

/// Resources of requests forwarded to a peer that its digest cannot show yet.
struct ForwardReservation {
  Instant made;
  Resources resources;
};

/// State that this process keeps about a peer.
struct Peer {
  PeerDescription description;
  bool local = false;
  /// Among the peers of another data centre, heartbeats go to the one with the
  /// highest weight.
  std::uint64_t link_weight = 0;
  bool alive = false;
  /// Found lost and not yet reported by `TakeLostPeers`.
  bool lost = false;
  std::optional<Digest> digest;
  /// Number of digests received.
  std::uint64_t digests = 0;
  /// Previous incarnation, whose delayed digests are ignored.
  std::optional<Incarnation> former_incarnation;
  Instant heard;
  Instant sent;
  /// Number of heartbeats sent since the last digest from the peer arrived.
  std::int32_t unanswered = 0;
  /// Number of these that were reported as unreachable.
  std::int32_t unreachable = 0;
  std::vector<ForwardReservation> reservations;
};

/// Removes reservations that a digest arriving at `now` already reflects, or
/// all of them if the peer has restarted.
void DropSeenReservations(Instant now, bool all,
                          std::vector<ForwardReservation>* reservations);

}  // namespace mustardproxy::detail

namespace mustardproxy {

struct Membership::State {
  PeerDescription self;
  MembershipOptions options;
  std::map<ProcessId, detail::Peer> peers;
  /// Own digest as of the last `Tick`.
  Digest own;
  /// Time of the last change in `own` that peers must learn soon; other changes
  /// may wait for the next heartbeat.
  Instant urgent_change_since;
  /// Intervals of heartbeats while nothing is queued.
  Duration idle_local_interval{0};
  Duration idle_remote_interval{0};
  std::optional<Instant> started;
  Instant next_wakeup;
  std::uint64_t generation = 1;
  std::vector<ProcessId> local_members;

  /// Current interval of heartbeats to the peer while it is alive.
  [[nodiscard]] Duration Interval(const detail::Peer& peer) const;
  [[nodiscard]] Duration IdleInterval(bool local) const;
  /// Interval at which an unanswered heartbeat is repeated.
  [[nodiscard]] Duration RetryInterval(bool local) const;
  /// Time without a digest after which the peer is considered lost.
  [[nodiscard]] Duration SilenceLimit(const detail::Peer& peer) const;
  /// When the next heartbeat to the peer is due.
  [[nodiscard]] Instant NextHeartbeatDue(const detail::Peer& peer) const;
  /// @return the peers that heartbeats are sent to: all peers of this data
  ///   centre and one of each other data centre
  [[nodiscard]] std::vector<detail::Peer*> LinkedPeers();
  [[nodiscard]] bool BetterLink(const detail::Peer& a,
                                const detail::Peer& b) const;
  [[nodiscard]] const detail::Peer* Find(const ProcessId& process) const;
  [[nodiscard]] const ProcessId& HighestWeight(std::string_view key) const;
  void RefreshIntervals();
  detail::Peer* Add(PeerDescription description);
  detail::Peer* FindOrAdd(const Digest& digest);
  /// @return the number of local members that may currently forward requests,
  ///   including this one
  [[nodiscard]] std::int64_t CompetitorCount() const;
  /// Prevents peers from being considered lost because this process was
  /// suspended.
  void CompensateOwnPause(Instant now);
  /// Records changes of the own digest.
  /// @return true if heartbeats may be due earlier because of a change
  bool RecordDigestChange(Instant now, const Digest& own);
  void ExpireSilentPeers(Instant now);
  void RebuildLocalMembers();
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SRC_MEMBERSHIP_STATE_H_
