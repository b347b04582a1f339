#include "crash_history.h"

#include <algorithm>
#include <utility>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Minimum number of lost workers after which a task may be failed.
constexpr std::size_t kMinLosses = 2;
/// Added to the longest run time before an earlier loss.
constexpr Duration kProbationMargin = milliseconds(200);

}  // namespace

void CrashHistory::Note(const WorkerLoss& loss) {
  const bool known = std::any_of(
      this->losses.begin(), this->losses.end(),
      [&](const WorkerLoss& one) { return one.worker == loss.worker; });
  if (!known) this->losses.push_back(loss);
}

void CrashHistory::KeepNewest(std::size_t count) {
  if (this->losses.size() <= count) return;
  const auto excess = static_cast<std::ptrdiff_t>(this->losses.size() - count);
  this->losses.erase(this->losses.begin(), this->losses.begin() + excess);
}

bool CrashHistory::Confirm(const WorkerIncarnation& worker) {
  const auto found = std::find_if(
      this->losses.begin(), this->losses.end(), [&](const WorkerLoss& loss) {
        return MayBeSameIncarnation(loss.worker, worker);
      });
  if (found == this->losses.end()) return false;
  return !std::exchange(found->certain, true);
}

void CrashHistory::NoteAlive(const WorkerIncarnation& worker) {
  std::erase_if(this->losses, [&](const WorkerLoss& loss) {
    return MayBeSameIncarnation(loss.worker, worker);
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

bool CrashHistory::Discount(const std::set<WorkerIncarnation>& workers) {
  bool changed = false;
  for (WorkerLoss& loss : this->losses) {
    if (!workers.contains(loss.worker)) continue;
    if (!std::exchange(loss.in_outage, true)) changed = true;
  }
  return changed;
}

std::vector<WorkerLoss> CrashHistory::Counted() const {
  std::vector<WorkerLoss> counted;
  bool discounted = false;
  bool discounted_unanswered = false;
  for (const WorkerLoss& loss : this->losses) {
    // At most one of these is discounted as well: the response of a worker that
    // the start crashes may be lost.
    if (loss.unanswered && !std::exchange(discounted_unanswered, true)) {
      continue;
    }
    // At most one loss after a short run is discounted: a task that crashes its
    // workers may do so at the same time as others. All losses after long runs
    // are discounted.
    const bool proven = loss.survived >= kProvenRunTime;
    const bool discount =
        loss.in_outage && (proven || !std::exchange(discounted, true));
    if (!discount) counted.push_back(loss);
  }
  return counted;
}

bool CrashHistory::Suspicious() const {
  const std::vector<WorkerLoss> counted = this->Counted();
  if (counted.empty()) return false;
  return counted.size() > 1 || counted.front().at_start;
}

Duration CrashHistory::ProbationPeriod() const {
  // The next loss is decisive, so no other task may be a possible cause of it.
  if (this->losses.size() > 1) return kMaxProbationPeriod;
  Duration longest{0};
  for (const WorkerLoss& loss : this->losses) {
    longest = std::max(longest, loss.survived);
  }
  return std::min(longest + kProbationMargin, kMaxProbationPeriod);
}

bool CrashHistory::Unsafe(std::size_t max_losses) const {
  const std::vector<WorkerLoss> counted = this->Counted();
  if (counted.size() > max_losses) return true;
  if (counted.empty() || !counted.back().alone) return false;
  const std::size_t enough =
      AllAtStart(counted) ? std::max(max_losses - 1, kMinLosses) : max_losses;
  const auto certain =
      std::count_if(counted.begin(), counted.end(),
                    [](const WorkerLoss& loss) { return loss.certain; });
  return static_cast<std::size_t>(certain) >= enough;
}

bool CrashHistory::AtLimit(std::size_t max_losses) const {
  return this->Counted().size() >= max_losses;
}

bool CrashHistory::AllAtStart(std::span<const WorkerLoss> losses) {
  return std::all_of(losses.begin(), losses.end(),
                     [](const WorkerLoss& loss) { return loss.at_start; });
}

}  // namespace mustardproxy::jobs
