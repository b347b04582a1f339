#include "advice_selection.h"

#include <algorithm>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Capacity asked about, as a multiple of what the step needs: the share of
/// permitted workers varies, and capacity may be taken while the question is
/// answered.
constexpr double kAskedCapacityFactor = 1.6;
/// The same for workers that are known to be permitted.
constexpr double kRenewedCapacityFactor = 1.3;
/// Minimum number of workers in a question about workers that are not known
/// yet.
constexpr std::size_t kMinAskedWorkers = 6;
/// Divisors of the number of workers that cost as much as the fixed part of a
/// question, which give another minimum: few questions about many workers use
/// less of the policy service's time than many questions about few.
constexpr std::size_t kGangBatchDivisor = 1;
constexpr std::size_t kOtherBatchDivisor = 2;

/// A worker that may be asked about.
struct WorkerOption {
  const WorkerSession* session = nullptr;
  std::int64_t placeable = 0;
  /// Questions about it that are in flight.
  std::uint16_t in_flight = 0;
};

/// Workers with capacity for the step, grouped by what is known about them.
struct WorkerOptions {
  std::vector<WorkerOption> expired;
  std::vector<WorkerOption> unknown;
  /// Tasks that fit on workers whose permissions are valid, and on workers that
  /// have ever been permitted.
  std::int64_t fresh_room = 0;
  std::int64_t known_room = 0;
};

std::size_t MinWorkers(const AdviceSelectionInput& input, std::size_t divisor) {
  return std::max(kMinAskedWorkers, input.workers_per_fixed_cost / divisor);
}

// Failure: steps that ask at the same time name the same workers, the first of
// them takes the capacity, and the others have to ask again.
void SortByCapacity(std::vector<WorkerOption>* options) {
  std::stable_sort(options->begin(), options->end(),
                   [](const WorkerOption& a, const WorkerOption& b) {
                     return a.placeable * (1 + b.in_flight) >
                            b.placeable * (1 + a.in_flight);
                   });
}

std::uint16_t CountInFlight(const AdviceSelectionInput& input,
                            const WorkerSession& session) {
  const SessionNumber number = session.Number();
  return number < input.in_flight.size() ? input.in_flight[number] : 0;
}

/// @return the number of tasks that should fit on the worker when the answer
///   arrives. For a gang only capacity that is free now counts: some of the
///   capacity that should become free in time never does, and the permissions
///   expire meanwhile. Counting it made a gang renew its permissions
///   repeatedly.
std::int64_t CountFittingAtAnswer(const AdviceSelectionInput& input,
                                  const Candidate& candidate) {
  WorkerCapacity capacity = *candidate.capacity;
  if (!input.step->gang) {
    capacity.free = capacity.session->ExpectedFreeAt(
        input.now, input.answer_due, capacity.free);
  }
  Candidate then = candidate;
  then.capacity = &capacity;
  return CountPlaceable(*input.step, then, input.tasks);
}

/// @return true if a gang should ask about the worker although it is full now.
///   A gang gathers its capacity over time, so all workers count as long as too
///   little capacity is known. With questions about workers with free capacity
///   only, a gang in a nearly full cell learned about 2 workers per question
///   and asked 10 to 14 times.
bool MayLearnOf(const AdviceSelectionInput& input,
                const WorkerSession& session) {
  return input.step->gang && !input.must_start &&
         TaskDemand(*input.step).FitsIn(session.info.capacity);
}

/// @return true if an answer is expected to give capacity for the whole step
bool MayStartWithAnswer(const AdviceSelectionInput& input,
                        const WorkerOptions& options) {
  std::int64_t unknown = 0;
  for (const WorkerOption& option : options.unknown) {
    unknown += option.placeable;
  }
  const double expected = static_cast<double>(options.known_room) +
                          input.permitted_share * static_cast<double>(unknown);
  return expected >= kAskedCapacityFactor * static_cast<double>(input.tasks);
}

/// @return true if a run on the worker could be stopped to make room for a task
bool MayPreemptOn(const AdviceSelectionInput& input,
                  const WorkerSession& session) {
  return input.may_preempt &&
         TaskDemand(*input.step).FitsIn(session.info.capacity);
}

WorkerOptions Classify(const AdviceSelectionInput& input,
                       std::span<const Candidate> candidates) {
  WorkerOptions options;
  for (const Candidate& candidate : candidates) {
    const WorkerSession* session = candidate.capacity->session;
    if (input.advice->Refuses(session->Number())) continue;
    std::int64_t placeable = CountFittingAtAnswer(input, candidate);
    const Ticket* ticket = input.advice->TicketFor(session->Number());
    const bool preempts = placeable == 0 && MayPreemptOn(input, *session);
    if (preempts && ticket == nullptr) placeable = 1;
    // A permission is renewed once its worker is expected to have room.
    if (preempts && ticket != nullptr) ++options.known_room;
    if (ticket == nullptr && (placeable > 0 || MayLearnOf(input, *session))) {
      options.unknown.push_back(
          {session, placeable, CountInFlight(input, *session)});
    }
    if (ticket == nullptr || placeable == 0) continue;
    options.known_room += placeable;
    // A permission that expires earlier can't be used for a start at that time.
    if (ticket->expires > input.answer_due + kTicketMargin) {
      options.fresh_room += placeable;
    } else {
      options.expired.push_back(
          {session, placeable, CountInFlight(input, *session)});
    }
  }
  SortByCapacity(&options.expired);
  SortByCapacity(&options.unknown);
  return options;
}

/// Selects options until capacity for `wanted` tasks is expected.
/// @param share expected share of permitted workers
/// @return the number of tasks without expected capacity
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
  if (input.must_start && !MayStartWithAnswer(input, options)) return workers;
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
