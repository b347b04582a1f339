#include "ask_choice.h"

#include <algorithm>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Room asked about, as a multiple of what the step needs: what is permitted
/// varies, and room may go while the question is answered.
constexpr double kAskedRoom = 1.6;
/// The same where the workers are known to be permitted.
constexpr double kRenewedRoom = 1.3;
/// Fewest workers in a question that is to learn something.
constexpr std::size_t kMinAsked = 6;
/// The same as a part of those that cost as much as the question itself: few
/// questions about many workers use the service less than many about few.
constexpr std::size_t kCheapPartOfGangs = 1;
constexpr std::size_t kCheapPartOfOthers = 2;

/// A worker that may be asked about.
struct Choice {
  const WorkerSession* session = nullptr;
  std::int64_t fitting = 0;
};

/// Workers with room for the step, by what is known of them.
struct Choices {
  std::vector<Choice> lapsed;
  std::vector<Choice> unknown;
  /// Tasks that fit where permissions hold, or have held.
  std::int64_t fresh_room = 0;
  std::int64_t known_room = 0;
};

std::size_t Fewest(const AskWish& wish, std::size_t cheap_part) {
  return std::max(kMinAsked, wish.cheap_workers / cheap_part);
}

void SortByRoom(std::vector<Choice>* choices) {
  std::stable_sort(
      choices->begin(), choices->end(),
      [](const Choice& a, const Choice& b) { return a.fitting > b.fitting; });
}

/// @return tasks that should fit there when the answer comes. For a gang only
///   the room that is free now counts: of what should become free in time some
///   part always does not, and the permissions lapse meanwhile. With it a gang
///   renewed its permissions again and again.
std::int64_t Fitting(const AskWish& wish, const Candidate& candidate) {
  WorkerCapacity room = *candidate.capacity;
  if (!wish.step->gang) {
    room.free = room.session->FreeBy(wish.now, wish.answered, room.free);
  }
  Candidate then = candidate;
  then.capacity = &room;
  return CountPlaceable(*wish.step, then, wish.tasks);
}

/// A gang gathers its room over time, so it is worth knowing of workers that
/// are full now: as long as too little room is known, of all of them. Asked
/// only about those with room, in a cell that was nearly full a gang learnt of
/// 2 workers a question, and asked 10 to 14 times.
bool WorthLearning(const AskWish& wish, const WorkerSession& session) {
  return wish.step->gang &&
         TaskDemand(*wish.step).FitsIn(session.info.capacity);
}

Choices Sort(const AskWish& wish, std::span<const Candidate> candidates) {
  Choices choices;
  for (const Candidate& candidate : candidates) {
    const WorkerSession* session = candidate.capacity->session;
    if (wish.advice->Refuses(session->Number())) continue;
    const std::int64_t fitting = Fitting(wish, candidate);
    const Ticket* ticket = wish.advice->TicketFor(session->Number());
    if (ticket == nullptr && (fitting > 0 || WorthLearning(wish, *session))) {
      choices.unknown.push_back({session, fitting});
    }
    if (ticket == nullptr || fitting == 0) continue;
    choices.known_room += fitting;
    // What lapses sooner is of no use for a start then.
    if (ticket->expires > wish.answered + kTicketMargin) {
      choices.fresh_room += fitting;
    } else {
      choices.lapsed.push_back({session, fitting});
    }
  }
  SortByRoom(&choices.lapsed);
  SortByRoom(&choices.unknown);
  return choices;
}

/// Takes choices until room for `wanted` tasks is expected.
/// @param share of the workers that will be permitted
/// @return what is still wanted
double Take(const std::vector<Choice>& choices, double wanted, double share,
            std::size_t fewest, std::vector<AskedWorker>* workers) {
  std::size_t taken = 0;
  for (const Choice& choice : choices) {
    const bool enough = wanted <= 0 && taken >= fewest;
    if (enough || workers->size() == kMaxAdviceWorkers) break;
    workers->push_back(
        {choice.session->Incarnation().id, choice.session->Number()});
    wanted -= share * static_cast<double>(choice.fitting);
    ++taken;
  }
  return wanted;
}

}  // namespace

std::vector<AskedWorker> ChooseAsked(const AskWish& wish,
                                     std::span<const Candidate> candidates) {
  const Choices choices = Sort(wish, candidates);
  std::vector<AskedWorker> workers;
  if (choices.fresh_room >= wish.tasks) return workers;
  const auto tasks = static_cast<double>(wish.tasks);
  const auto fresh = static_cast<double>(choices.fresh_room);
  const bool learn = choices.known_room < wish.tasks;
  if (wish.step->gang && learn) {
    const double missing =
        kAskedRoom * tasks - static_cast<double>(choices.known_room);
    Take(choices.unknown, missing, wish.permitted_share,
         Fewest(wish, kCheapPartOfGangs), &workers);
    return workers;
  }
  const double left =
      Take(choices.lapsed, kRenewedRoom * tasks - fresh, 1.0, 0, &workers);
  if (learn) {
    Take(choices.unknown, left * kAskedRoom / kRenewedRoom,
         wish.permitted_share, Fewest(wish, kCheapPartOfOthers), &workers);
  }
  return workers;
}

}  // namespace mustardproxy::jobs
