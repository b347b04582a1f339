#ifndef MUSTARDPROXY_JOBS_WORKER_TABLE_H_
#define MUSTARDPROXY_JOBS_WORKER_TABLE_H_

#include <map>
#include <memory>

#include "mustardproxy/core/ids.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// All workers that an owner knows, by id; in a fixed order, so that decisions
/// repeat.
class WorkerTable {
 public:
  using Map = std::map<WorkerId, std::unique_ptr<WorkerSession>>;

  /// Enters a worker that is not known yet; see WorkerSession.
  WorkerSession* Add(const WorkerInfo& info, Instant inherited_until);
  void Remove(const WorkerId& id) { this->sessions.erase(id); }
  /// @return the session, or null
  [[nodiscard]] WorkerSession* Find(const WorkerId& id) const;
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
