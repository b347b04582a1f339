#ifndef MUSTARDPROXY_CORE_SRC_MEMBERSHIP_STATE_H_
#define MUSTARDPROXY_CORE_SRC_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "mustardproxy/core/membership.h"

namespace mustardproxy::detail {

/// Room that was promised to a peer and that its digest can not show yet.
struct ForwardReservation {
  Instant made;
  Resources room;
};

/// What one process knows of another.
struct Peer {
  PeerDescription description;
  bool local = false;
  /// Of several in one data centre the highest one is linked.
  std::uint64_t link_weight = 0;
  bool alive = false;
  /// Found gone and not yet reported by `TakeLostPeers`.
  bool lost = false;
  std::optional<Digest> digest;
  /// Digests received.
  std::uint64_t digests = 0;
  /// Incarnation before the present one; its late digests are ignored.
  std::optional<Incarnation> former_incarnation;
  Instant heard;
  Instant sent;
  /// Sent since the peer was last heard.
  std::int32_t unanswered = 0;
  /// Of these, reported as unreachable.
  std::int32_t unreachable = 0;
  std::vector<ForwardReservation> reservations;
};

/// Drops promises that a digest which arrives at `now` shows already, or all of
/// them if the peer has restarted.
void DropSeenReservations(Instant now, bool all,
                          std::vector<ForwardReservation>* reservations);

}  // namespace mustardproxy::detail

namespace mustardproxy {

struct Membership::State {
  PeerDescription self;
  MembershipOptions options;
  std::map<ProcessId, detail::Peer> peers;
  /// As of the last `Tick`.
  Digest own;
  /// When something in `own` changed that peers must learn soon; the rest of a
  /// digest may wait for the next heartbeat.
  Instant urgent_change_since;
  /// Intervals of heartbeats while nothing is queued.
  Duration idle_local_interval{0};
  Duration idle_remote_interval{0};
  std::optional<Instant> started;
  Instant next_wakeup;
  std::uint64_t generation = 1;
  std::vector<ProcessId> local_members;

  /// Interval of heartbeats to a live peer of that kind at present.
  [[nodiscard]] Duration Interval(const detail::Peer& peer) const;
  [[nodiscard]] Duration IdleInterval(bool local) const;
  /// Interval at which an unanswered heartbeat is repeated.
  [[nodiscard]] Duration RetryInterval(bool local) const;
  /// Silence after which the peer counts as gone.
  [[nodiscard]] Duration SilenceLimit(const detail::Peer& peer) const;
  /// When the next heartbeat to the peer is due.
  [[nodiscard]] Instant NextHeartbeatDue(const detail::Peer& peer) const;
  /// Heartbeats go to all peers of the own data centre and to the chosen one of
  /// each other.
  [[nodiscard]] std::vector<detail::Peer*> LinkedPeers();
  [[nodiscard]] bool BetterLink(const detail::Peer& a,
                                const detail::Peer& b) const;
  [[nodiscard]] const detail::Peer* Find(const ProcessId& process) const;
  [[nodiscard]] const ProcessId& HighestWeight(std::string_view key) const;
  void RefreshIntervals();
  detail::Peer* Add(PeerDescription description);
  detail::Peer* FindOrAdd(const Digest& digest);
  /// Local members that may forward at present, this one included.
  [[nodiscard]] std::int64_t CompetitorCount() const;
  /// Time this process was not running is not held against its peers.
  void CompensateOwnPause(Instant now);
  /// @return true if heartbeats may be due earlier because of the change
  bool RecordDigestChange(Instant now, const Digest& own);
  void ExpireSilentPeers(Instant now);
  void RebuildLocalMembers();
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SRC_MEMBERSHIP_STATE_H_
