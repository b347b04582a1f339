#include "worker_table.h"

namespace mustardproxy::jobs {

WorkerSession* WorkerTable::Add(const WorkerInfo& info, Instant known_since,
                                Instant inherited_until) {
  auto& session = this->sessions[info.incarnation.id];
  this->Drop(&session);
  const SessionNumber number = this->NumberLimit();
  SessionObserver* observer = this;
  session = std::make_unique<WorkerSession>(
      number, info, known_since, inherited_until, &this->usage, observer);
  this->by_number.push_back(session.get());
  this->OnChange(number);
  return session.get();
}

void WorkerTable::Remove(const WorkerId& id) {
  const auto found = this->sessions.find(id);
  if (found == this->sessions.end()) return;
  this->Drop(&found->second);
  this->sessions.erase(found);
}

void WorkerTable::Drop(std::unique_ptr<WorkerSession>* session) {
  if (*session == nullptr) return;
  const SessionNumber number = (*session)->Number();
  this->by_number[number] = nullptr;
  session->reset();
  this->OnChange(number);
}

void WorkerTable::OnChange(SessionNumber session) {
  for (ChangedSessions* reader : this->readers) reader->Note(session);
}

void WorkerTable::AddReader(ChangedSessions* reader) {
  this->readers.push_back(reader);
  for (const auto& [id, session] : this->sessions) {
    reader->Note(session->Number());
  }
}

void WorkerTable::RemoveReader(ChangedSessions* reader) {
  std::erase(this->readers, reader);
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
