#include "worker_table.h"

namespace mustardproxy::jobs {

WorkerSession* WorkerTable::Add(const WorkerInfo& info, Instant known_since,
                                Instant inherited_until) {
  auto& session = this->sessions[info.incarnation.id];
  session = std::make_unique<WorkerSession>(this->next++, info, known_since,
                                            inherited_until, &this->usage);
  return session.get();
}

WorkerSession* WorkerTable::Find(const WorkerIncarnation& worker) const {
  WorkerSession* latest = this->FindLatest(worker.id);
  const bool lives =
      latest != nullptr && MayBeSameIncarnation(latest->Incarnation(), worker);
  return lives ? latest : nullptr;
}

WorkerSession* WorkerTable::FindLatest(const WorkerId& id) const {
  const auto found = this->sessions.find(id);
  return found == this->sessions.end() ? nullptr : found->second.get();
}

}  // namespace mustardproxy::jobs
