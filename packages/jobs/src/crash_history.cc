#include "crash_history.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// No task is given up for fewer.
constexpr std::size_t kLeastLosses = 2;
/// Beyond the time that earlier runs survived.
constexpr Duration kProvingMargin = milliseconds(200);
/// Bounds how long a worker is kept for one task.
constexpr Duration kLongestProvingTime = seconds(5);

}  // namespace

void CrashHistory::Note(const WorkerLoss& loss) {
  const bool known = std::any_of(
      this->losses.begin(), this->losses.end(),
      [&](const WorkerLoss& one) { return one.worker == loss.worker; });
  if (!known) this->losses.push_back(loss);
}

bool CrashHistory::Confirm(const WorkerIncarnation& worker) {
  const auto found = std::find_if(
      this->losses.begin(), this->losses.end(),
      [&](const WorkerLoss& loss) { return MayBeSame(loss.worker, worker); });
  if (found == this->losses.end()) return false;
  return !std::exchange(found->certain, true);
}

void CrashHistory::NoteAlive(const WorkerIncarnation& worker) {
  std::erase_if(this->losses, [&](const WorkerLoss& loss) {
    return MayBeSame(loss.worker, worker);
  });
  for (WorkerLoss& loss : this->losses) {
    if (loss.worker.id == worker.id) loss.certain = true;
  }
}

std::string CrashHistory::Text() const {
  std::string text;
  for (const WorkerLoss& loss : this->losses) {
    if (!text.empty()) text += ' ';
    text += jobs::Text(loss.worker);
  }
  return text;
}

bool CrashHistory::Suspicious() const {
  if (this->losses.empty()) return false;
  return this->losses.size() > 1 || this->losses.front().at_start;
}

Duration CrashHistory::ProvingTime() const {
  // The next loss decides: nothing else may be to blame for it.
  if (this->losses.size() > 1) return kLongestProvingTime;
  Duration longest{0};
  for (const WorkerLoss& loss : this->losses) {
    longest = std::max(longest, loss.survived);
  }
  return std::min(longest + kProvingMargin, kLongestProvingTime);
}

bool CrashHistory::Convicting(std::size_t max_losses) const {
  if (this->losses.size() > max_losses) return true;
  if (this->losses.empty() || !this->losses.back().alone) return false;
  const std::size_t enough =
      this->AllAtStart() ? std::max(max_losses - 1, kLeastLosses) : max_losses;
  return this->CountCertain() >= enough;
}

bool CrashHistory::AtLimit(std::size_t max_losses) const {
  return this->losses.size() >= max_losses;
}

bool CrashHistory::AllAtStart() const {
  return std::all_of(this->losses.begin(), this->losses.end(),
                     [](const WorkerLoss& loss) { return loss.at_start; });
}

std::size_t CrashHistory::CountCertain() const {
  return static_cast<std::size_t>(
      std::count_if(this->losses.begin(), this->losses.end(),
                    [](const WorkerLoss& loss) { return loss.certain; }));
}

}  // namespace mustardproxy::jobs
