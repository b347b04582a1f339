#include "worker_table.h"

namespace mustardproxy::jobs {

WorkerSession* WorkerTable::Add(const WorkerInfo& info,
                                Instant inherited_until) {
  auto& session = this->sessions[info.id];
  session =
      std::make_unique<WorkerSession>(this->next++, info, inherited_until);
  return session.get();
}

WorkerSession* WorkerTable::Find(const WorkerId& id) const {
  const auto found = this->sessions.find(id);
  return found == this->sessions.end() ? nullptr : found->second.get();
}

}  // namespace mustardproxy::jobs
