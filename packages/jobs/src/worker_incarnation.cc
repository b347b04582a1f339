#include "mustardproxy/jobs/worker_incarnation.h"

namespace mustardproxy::jobs {

bool MayBeSame(const WorkerIncarnation& a, const WorkerIncarnation& b) {
  const bool known = a.born_ms != 0 && b.born_ms != 0;
  return a.id == b.id && (!known || a.born_ms == b.born_ms);
}

std::string Text(const WorkerIncarnation& worker) {
  std::string text = worker.id.Text();
  if (worker.born_ms == 0) return text;
  text += '@';
  text += std::to_string(worker.born_ms);
  return text;
}

}  // namespace mustardproxy::jobs
