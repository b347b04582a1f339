#ifndef MUSTARDPROXY_JOBS_WORKER_TABLE_H_
#define MUSTARDPROXY_JOBS_WORKER_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "session_observer.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// All workers known to an owner, with the latest incarnation of each, in a
/// fixed order so that decisions are reproducible.
class WorkerTable final : private SessionObserver {
 public:
  using Map = std::map<WorkerId, std::unique_ptr<WorkerSession>>;

  /// Adds an incarnation that is not known yet and replaces the previous one
  /// with the same id; see WorkerSession.
  WorkerSession* Add(const WorkerInfo& info, Instant known_since,
                     Instant inherited_until);
  void Remove(const WorkerId& id);
  /// @return the session of this incarnation, or null if it is unknown or was
  ///   replaced
  [[nodiscard]] WorkerSession* Find(const WorkerIncarnation& worker) const;
  /// @return the session of the latest incarnation with this id, or null
  [[nodiscard]] WorkerSession* FindLatest(const WorkerId& id) const;
  /// @return the session with this number, or null if it was removed or
  ///   replaced
  [[nodiscard]] WorkerSession* At(SessionNumber number) const {
    return number < this->by_number.size() ? this->by_number[number] : nullptr;
  }
  /// @return the resources that runs of each team take on all workers
  [[nodiscard]] const TeamUsage& Usage() const { return this->usage; }
  /// @return a number greater than that of any session
  [[nodiscard]] SessionNumber NumberLimit() const {
    return static_cast<SessionNumber>(this->by_number.size());
  }

  /// Notes all sessions, and from now on each that was added, removed or has
  /// changed; see SessionObserver.
  void AddReader(ChangedSessions* reader);
  void RemoveReader(ChangedSessions* reader);

  [[nodiscard]] Map::const_iterator begin() const {
    return this->sessions.begin();
  }
  [[nodiscard]] Map::const_iterator end() const { return this->sessions.end(); }
  [[nodiscard]] std::size_t Size() const { return this->sessions.size(); }

 private:
  void OnChange(SessionNumber session) override;
  void Drop(std::unique_ptr<WorkerSession>* session);

  /// The sessions refer to these when they are destroyed.
  TeamUsage usage;
  std::vector<ChangedSessions*> readers;
  std::vector<WorkerSession*> by_number;
  Map sessions;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_TABLE_H_
