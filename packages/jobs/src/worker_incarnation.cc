#include "mustardproxy/jobs/worker_incarnation.h"

namespace mustardproxy::jobs {

bool MayBeSameIncarnation(const WorkerIncarnation& a,
                          const WorkerIncarnation& b) {
  const bool known = a.start_unix_ms != 0 && b.start_unix_ms != 0;
  return a.id == b.id && (!known || a.start_unix_ms == b.start_unix_ms);
}

std::string Text(const WorkerIncarnation& worker) {
  std::string text = worker.id.Text();
  if (worker.start_unix_ms == 0) return text;
  text += '@';
  text += std::to_string(worker.start_unix_ms);
  return text;
}

}  // namespace mustardproxy::jobs
