#ifndef MUSTARDPROXY_JOBS_WORKER_TABLE_H_
#define MUSTARDPROXY_JOBS_WORKER_TABLE_H_

#include <map>
#include <memory>

#include "mustardproxy/core/ids.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// All workers known to an owner, with the latest incarnation of each, in a
/// fixed order so that decisions are reproducible.
class WorkerTable {
 public:
  using Map = std::map<WorkerId, std::unique_ptr<WorkerSession>>;

  /// Adds an incarnation that is not known yet and replaces the previous one
  /// with the same id; see WorkerSession.
  WorkerSession* Add(const WorkerInfo& info, Instant known_since,
                     Instant inherited_until);
  void Remove(const WorkerId& id) { this->sessions.erase(id); }
  /// @return the session of this incarnation, or null if it is unknown or was
  ///   replaced
  [[nodiscard]] WorkerSession* Find(const WorkerIncarnation& worker) const;
  /// @return the session of the latest incarnation with this id, or null
  [[nodiscard]] WorkerSession* FindLatest(const WorkerId& id) const;
  /// @return the resources that runs of each team take on all workers
  [[nodiscard]] const TeamUsage& Usage() const { return this->usage; }
  /// @return a number greater than that of any session
  [[nodiscard]] SessionNumber NumberLimit() const { return this->next; }

  [[nodiscard]] Map::const_iterator begin() const {
    return this->sessions.begin();
  }
  [[nodiscard]] Map::const_iterator end() const { return this->sessions.end(); }
  [[nodiscard]] std::size_t Size() const { return this->sessions.size(); }

 private:
  /// The sessions refer to it when they are destroyed.
  TeamUsage usage;
  Map sessions;
  SessionNumber next = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_TABLE_H_
