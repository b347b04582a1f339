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

/// An entry process as the settings name it.
struct PeerDescription {
  ProcessId process;
  DataCenterId data_center;

  friend bool operator==(const PeerDescription&,
                         const PeerDescription&) = default;
};

/// Times of the heartbeat between entry processes.
struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// To processes of other data centres.
  Duration remote_heartbeat_interval = std::chrono::seconds(2);
  /// Silence after which a peer counts as gone, in heartbeat intervals.
  std::int32_t missed_heartbeats = 4;
  /// Bytes a second that quiet heartbeats inside the data centre may take;
  /// with many members the interval stretches instead. See src/pacing.h.
  std::int32_t local_bytes_per_second = 900;
  /// The same towards other data centres.
  std::int32_t remote_bytes_per_second = 400;
};

/// Which entry processes are alive, as far as this one can tell. Views of
/// different processes may differ; nothing that must not be doubled rests on
/// them.
///
/// All processes of a data centre exchange heartbeats; towards each other data
/// centre each process talks to one or two processes chosen by rendezvous
/// hashing, so that the messages grow with the data centres, not with the
/// square of the processes.
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
  /// @return peers found gone since the last call
  [[nodiscard]] std::vector<ProcessId> TakeLostPeers(Instant now);

  /// @return the name of this process
  [[nodiscard]] const ProcessId& Self() const;
  /// Grows with each change of `LocalMembers`, so that callers recompute what
  /// hangs on it only then.
  [[nodiscard]] std::uint64_t Generation() const;
  /// @return true once every member of the data centre was heard or had a
  ///   second to answer; before that a starting process would take all workers
  [[nodiscard]] bool DiscoveryComplete(Instant now) const;
  [[nodiscard]] bool Alive(const ProcessId& process) const;
  /// Live members of the own data centre, this process included, in order.
  /// A member that is stopping is left out.
  [[nodiscard]] std::vector<ProcessId> LocalMembers() const;
  /// @return the member that should own the workers of `rack`, by rendezvous
  ///   hashing over `LocalMembers`
  [[nodiscard]] ProcessId PreferredOwner(const RackId& rack) const;
  /// @return true if this process keeps the configuration watch of its data
  ///   centre
  [[nodiscard]] bool IsConfigurationWatcher() const;
  /// Picks a peer for a request that does not fit here: the better of two
  /// drawn at random among those whose digest shows room, the own data centre
  /// first. Room already promised to a peer since its last digest is
  /// subtracted, so that an idle peer does not meet a herd.
  /// @param random 64 random bits
  [[nodiscard]] std::optional<ProcessId> ChooseForwardTarget(
      Instant now, const Resources& needs, std::span<const ProcessId> avoid,
      std::uint64_t random);
  /// @return the last digest of a live peer
  [[nodiscard]] std::optional<Digest> LastDigest(const ProcessId& peer) const;
  /// Highest configuration version any live peer reported, and who did.
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
