#include "advice_selection.h"

#include <algorithm>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Room asked about, as a multiple of what the step needs: what is permitted
/// varies, and room may go while the question is answered.
constexpr double kAskedCapacityFactor = 1.6;
/// The same where the workers are known to be permitted.
constexpr double kRenewedCapacityFactor = 1.3;
/// Fewest workers in a question that is to learn something.
constexpr std::size_t kMinAskedWorkers = 6;
/// The same as a part of those that cost as much as the question itself: few
/// questions about many workers use the service less than many about few.
constexpr std::size_t kGangBatchDivisor = 1;
constexpr std::size_t kOtherBatchDivisor = 2;

/// A worker that may be asked about.
struct WorkerOption {
  const WorkerSession* session = nullptr;
  std::int64_t placeable = 0;
};

/// Workers with room for the step, by what is known of them.
struct WorkerOptions {
  std::vector<WorkerOption> expired;
  std::vector<WorkerOption> unknown;
  /// Tasks that fit where permissions hold, or have held.
  std::int64_t fresh_room = 0;
  std::int64_t known_room = 0;
};

std::size_t MinWorkers(const AdviceSelectionInput& input, std::size_t divisor) {
  return std::max(kMinAskedWorkers, input.workers_per_fixed_cost / divisor);
}

void SortByCapacity(std::vector<WorkerOption>* options) {
  std::stable_sort(options->begin(), options->end(),
                   [](const WorkerOption& a, const WorkerOption& b) {
                     return a.placeable > b.placeable;
                   });
}

/// @return tasks that should fit there when the answer comes. For a gang only
///   the room that is free now counts: of what should become free in time some
///   part always does not, and the permissions lapse meanwhile. With it a gang
///   renewed its permissions again and again.
std::int64_t CountFittingAtAnswer(const AdviceSelectionInput& input,
                                  const Candidate& candidate) {
  WorkerCapacity capacity = *candidate.capacity;
  if (!input.step->gang) {
    capacity.free =
        capacity.session->FreeBy(input.now, input.answer_due, capacity.free);
  }
  Candidate then = candidate;
  then.capacity = &capacity;
  return CountPlaceable(*input.step, then, input.tasks);
}

/// A gang gathers its room over time, so it is worth knowing of workers that
/// are full now: as long as too little room is known, of all of them. Asked
/// only about those with room, in a cell that was nearly full a gang learnt of
/// 2 workers a question, and asked 10 to 14 times.
bool MayLearnOf(const AdviceSelectionInput& input,
                const WorkerSession& session) {
  return input.step->gang &&
         TaskDemand(*input.step).FitsIn(session.info.capacity);
}

WorkerOptions Classify(const AdviceSelectionInput& input,
                       std::span<const Candidate> candidates) {
  WorkerOptions options;
  for (const Candidate& candidate : candidates) {
    const WorkerSession* session = candidate.capacity->session;
    if (input.advice->Refuses(session->Number())) continue;
    const std::int64_t placeable = CountFittingAtAnswer(input, candidate);
    const Ticket* ticket = input.advice->TicketFor(session->Number());
    if (ticket == nullptr && (placeable > 0 || MayLearnOf(input, *session))) {
      options.unknown.push_back({session, placeable});
    }
    if (ticket == nullptr || placeable == 0) continue;
    options.known_room += placeable;
    // What lapses sooner is of no use for a start then.
    if (ticket->expires > input.answer_due + kTicketMargin) {
      options.fresh_room += placeable;
    } else {
      options.expired.push_back({session, placeable});
    }
  }
  SortByCapacity(&options.expired);
  SortByCapacity(&options.unknown);
  return options;
}

/// Takes choices until room for `wanted` tasks is expected.
/// @param share of the workers that will be permitted
/// @return what is still wanted
double SelectOptions(const std::vector<WorkerOption>& options, double wanted,
                     double share, std::size_t min_workers,
                     std::vector<AskedWorker>* workers) {
  std::size_t taken = 0;
  for (const WorkerOption& option : options) {
    const bool enough = wanted <= 0 && taken >= min_workers;
    if (enough || workers->size() == kMaxAdviceWorkers) break;
    workers->push_back(
        {option.session->Incarnation().id, option.session->Number()});
    wanted -= share * static_cast<double>(option.placeable);
    ++taken;
  }
  return wanted;
}

}  // namespace

std::vector<AskedWorker> SelectWorkersToAsk(
    const AdviceSelectionInput& input, std::span<const Candidate> candidates) {
  const WorkerOptions options = Classify(input, candidates);
  std::vector<AskedWorker> workers;
  if (options.fresh_room >= input.tasks) return workers;
  const auto tasks = static_cast<double>(input.tasks);
  const auto fresh = static_cast<double>(options.fresh_room);
  const bool need_more = options.known_room < input.tasks;
  if (input.step->gang && need_more) {
    const double missing =
        kAskedCapacityFactor * tasks - static_cast<double>(options.known_room);
    SelectOptions(options.unknown, missing, input.permitted_share,
                  MinWorkers(input, kGangBatchDivisor), &workers);
    return workers;
  }
  const double left =
      SelectOptions(options.expired, kRenewedCapacityFactor * tasks - fresh,
                    1.0, 0, &workers);
  if (need_more) {
    SelectOptions(
        options.unknown, left * kAskedCapacityFactor / kRenewedCapacityFactor,
        input.permitted_share, MinWorkers(input, kOtherBatchDivisor), &workers);
  }
  return workers;
}

}  // namespace mustardproxy::jobs
