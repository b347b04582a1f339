#ifndef MUSTARDPROXY_CORE_MEMBERSHIP_H_
#define MUSTARDPROXY_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/digest.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// An entry process as listed in the settings.
struct PeerDescription {
  ProcessId process;
  DataCenterId data_center;

  friend bool operator==(const PeerDescription&,
                         const PeerDescription&) = default;
};

/// Timing and byte budgets of the heartbeats between entry processes.
struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Interval of heartbeats to processes in other data centres.
  Duration remote_heartbeat_interval = std::chrono::seconds(2);
  /// Number of heartbeat intervals without an answer after which a peer is
  /// considered lost.
  std::int32_t missed_heartbeats = 4;
  /// Bytes per second that heartbeats inside the data centre may use while
  /// nothing is queued; with many members the interval is lengthened instead.
  /// See src/pacing.h.
  std::int32_t local_bytes_per_second = 900;
  /// The same limit for heartbeats to other data centres.
  std::int32_t remote_bytes_per_second = 400;
};

/// Tracks which entry processes are alive from the view of this process. Views
/// of different processes may differ; no guarantee against duplicate execution
/// depends on them.
///
/// All processes of a data centre exchange heartbeats. Towards each other data
/// centre, every process talks to one or two processes chosen by rendezvous
/// hashing, so that the number of messages grows with the number of data
/// centres and not with the square of the number of processes.
class Membership {
 public:
  Membership(PeerDescription self, std::vector<PeerDescription> peers,
             MembershipOptions options);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Sends the heartbeats that are due.
  void Tick(Instant now, const Digest& own, Actions* actions);
  /// @return true if the peer was not alive before, or has restarted
  bool OnDigest(Instant now, const Digest& digest);
  void OnUnreachable(Instant now, const ProcessId& peer);
  /// @return peers that were found lost since the last call
  [[nodiscard]] std::vector<ProcessId> TakeLostPeers(Instant now);

  /// @return the id of this process
  [[nodiscard]] const ProcessId& Self() const;
  /// @return a counter that grows with each change of `LocalMembers`, so that
  ///   callers recompute dependent state only then
  [[nodiscard]] std::uint64_t Generation() const;
  /// @return true once every member of the data centre has answered or has had
  ///   one second to answer; before that, a starting process would claim all
  ///   workers
  [[nodiscard]] bool DiscoveryComplete(Instant now) const;
  [[nodiscard]] bool Alive(const ProcessId& process) const;
  /// @return the live members of this data centre in ascending order, including
  ///   this process; members that are shutting down are excluded
  [[nodiscard]] std::vector<ProcessId> LocalMembers() const;
  /// @return the member that should own the workers of `rack`, by rendezvous
  ///   hashing over `LocalMembers`
  [[nodiscard]] ProcessId PreferredOwner(const RackId& rack) const;
  /// @return true if this process watches the configuration for its data centre
  [[nodiscard]] bool IsConfigurationWatcher() const;
  /// Chooses a peer for a request that does not fit here: the better of two
  /// random peers among those whose digest shows enough free resources, with
  /// peers of this data centre preferred. Resources of requests that were
  /// forwarded to a peer since its last digest are subtracted, so that an idle
  /// peer is not overloaded by many requests at once.
  /// @param random 64 random bits
  [[nodiscard]] std::optional<ProcessId> ChooseForwardTarget(
      Instant now, const Resources& needs, std::span<const ProcessId> avoid,
      std::uint64_t random);
  /// @return the last digest of a live peer
  [[nodiscard]] std::optional<Digest> LastDigest(const ProcessId& peer) const;
  /// @return the live peer that reported the highest configuration version
  ///   above `than`, if any
  [[nodiscard]] std::optional<PeerDescription> PeerWithNewerConfiguration(
      ConfigurationVersion than) const;
  /// @return the live process that writes or has adopted `journal`, if any
  [[nodiscard]] std::optional<ProcessId> JournalHolder(
      const JournalId& journal) const;
  /// @return the local member that should adopt an orphaned journal
  [[nodiscard]] ProcessId PreferredAdopter(const JournalId& journal) const;
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_MEMBERSHIP_H_
