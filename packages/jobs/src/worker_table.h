#ifndef MUSTARDPROXY_JOBS_WORKER_TABLE_H_
#define MUSTARDPROXY_JOBS_WORKER_TABLE_H_

#include <map>
#include <memory>

#include "mustardproxy/core/ids.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// All workers that an owner knows, the latest life of each; in a fixed order,
/// so that decisions repeat.
class WorkerTable {
 public:
  using Map = std::map<WorkerId, std::unique_ptr<WorkerSession>>;

  /// Enters a life that is not known yet, in place of the one before under its
  /// id; see WorkerSession.
  WorkerSession* Add(const WorkerInfo& info, Instant known_since,
                     Instant inherited_until);
  void Remove(const WorkerId& id) { this->sessions.erase(id); }
  /// @return the session, or null if that life is not known or over
  [[nodiscard]] WorkerSession* Find(const WorkerIncarnation& worker) const;
  /// @return the session of the latest life under an id, or null
  [[nodiscard]] WorkerSession* FindLatest(const WorkerId& id) const;
  /// @return above the number of each session
  [[nodiscard]] SessionNumber NumberLimit() const { return this->next; }

  [[nodiscard]] Map::const_iterator begin() const {
    return this->sessions.begin();
  }
  [[nodiscard]] Map::const_iterator end() const { return this->sessions.end(); }
  [[nodiscard]] std::size_t Size() const { return this->sessions.size(); }

 private:
  Map sessions;
  SessionNumber next = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WORKER_TABLE_H_
