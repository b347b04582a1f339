#ifndef MUSTARDPROXY_JOBS_INHERITED_LEASES_H_
#define MUSTARDPROXY_JOBS_INHERITED_LEASES_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/worker_incarnation.h"
#include "owner_context.h"
#include "recent_owners.h"

namespace mustardproxy::jobs {

/// How long the leases that former owners granted may last at workers that this
/// owner has not reached.
///
/// A former owner grants none any more once its process has ended or it has
/// given up its ownership, which its address tells: two processes never answer
/// at one address. Of one about which nothing is known,
/// `MaxFormerOwnerLeaseTime` is assumed. Where the lease of a worker was
/// withheld, the record tells when all leases end. Other processes are asked
/// when they saw that record, because this one may have just started.
///
/// Failure guarded against: a worker is lost shortly before its owner, and its
/// tasks wait as if the former owner still renewed their lease, which begins
/// anew with each further change of the owner.
class InheritedLeases {
 public:
  struct Parts {
    OwnerContext* context = nullptr;
    JobPeers* peers = nullptr;
    /// When the fencing token was acquired.
    Instant elected_at;
    std::function<FormerOwners()> former_owners;
    /// @return addresses of processes that may have seen more than this one
    std::function<std::vector<std::string>()> witnesses;
    /// Called with what they have seen.
    std::function<void(const std::vector<SeenWithheldLease>&)> note_seen;
    /// Called again and again once no former owner matters any more.
    std::function<void()> forget_former_owners;
  };

  explicit InheritedLeases(Parts parts);

  /// @return the latest time at which a lease granted by a former owner may end
  [[nodiscard]] Instant MaxEnd() const;
  /// @return when the leases of this worker that former owners granted have
  ///   ended, as far as is known by now
  [[nodiscard]] Instant EndAt(const WorkerIncarnation& worker) const;
  /// Begins once all stored state has been read.
  void Begin();
  /// Asks former owners and applies what has become known. Called regularly.
  void Update();

 private:
  /// A process that is asked again and again.
  struct Question {
    bool asking = false;
    bool answered = false;
    Instant next;
  };
  struct Former {
    FormerOwner owner;
    /// A time from which on it granted no leases any more.
    std::optional<Instant> ended_at;
    Question question;
  };

  /// @return true if a run waits for the end of a lease
  [[nodiscard]] bool Awaited() const;
  void ReadFormers();
  void AskFormers();
  void AskWitnesses();
  /// Asks the process at an address, unless that was done a moment ago.
  /// @param on_answer called with the answer, if there is one
  void Ask(const std::string& address, Question* question,
           std::function<void(const ProcessState&)> on_answer);
  void OnFormer(Former* former, const ProcessState& state);
  void NoteEnded(Former* former, Instant ended_at, std::string_view how);
  void ApplyToSessions();
  [[nodiscard]] static Instant EndOf(const Former& former);

  Parts parts;
  /// Nothing while it is not known who owned the group.
  std::optional<std::map<FencingToken, Former>> formers;
  /// By address.
  std::optional<std::map<std::string, Question>> witnesses;
  Instant begun_at;
  bool begun = false;
  /// No run waits for the end of a lease, nor will any.
  bool settled = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_INHERITED_LEASES_H_
