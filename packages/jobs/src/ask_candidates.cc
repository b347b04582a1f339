#include "ask_candidates.h"

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Most workers with free capacity of one kind that are selected. A question
/// names those with the most among them.
constexpr std::size_t kMaxWithCapacity = 2 * kMaxAdviceWorkers;
/// Free capacity from which on no further workers are selected, as a multiple
/// of what the step needs: some is taken while the question is answered.
constexpr double kSufficientFactor = 3.0;

class Selection {
 public:
  explicit Selection(const AskCandidatesInput& input)
      : input(input), demand(TaskDemand(*input.step)) {}

  std::vector<Candidate> Make() {
    if (this->input.workers.size() <= kMaxExaminedWorkers) {
      this->AddUsable(this->input.workers);
      return std::move(this->candidates);
    }
    this->AddUsable(this->input.permitted);
    if (this->input.step->gang) {
      this->AddIdle();
      if (!this->Suffices()) this->AddInUse();
    } else {
      this->AddInUse();
      if (!this->Suffices()) this->AddIdle();
    }
    if (!this->Suffices()) this->AddWithoutCapacity();
    return std::move(this->candidates);
  }

 private:
  [[nodiscard]] bool IsUsable(const WorkerCapacity& capacity) const {
    if (capacity.held && this->input.end > capacity.held_until) return false;
    return capacity.session->HasLabel(this->input.step->required_label);
  }
  /// @return true if an answer about the worker has arrived
  [[nodiscard]] bool IsKnown(const WorkerCapacity& capacity) const {
    const StepAdvice* advice = this->input.advice;
    const SessionNumber number = capacity.session->Number();
    return advice != nullptr &&
           (advice->Refuses(number) || advice->TicketFor(number) != nullptr);
  }
  [[nodiscard]] bool IsBeingAsked(const WorkerCapacity& capacity) const {
    const SessionNumber number = capacity.session->Number();
    return number < this->input.in_flight.size() &&
           this->input.in_flight[number] > 0;
  }
  [[nodiscard]] bool HasCapacity(const WorkerCapacity& capacity) const {
    return this->demand.FitsIn(capacity.free);
  }
  [[nodiscard]] bool Suffices() const {
    return this->input.permitted_share * static_cast<double>(this->room) >=
           kSufficientFactor * static_cast<double>(this->input.tasks);
  }
  /// @return the worker at this distance from the first one
  [[nodiscard]] WorkerCapacity* At(std::size_t distance) const {
    const auto& workers = this->input.workers;
    return workers[(this->input.first + distance) % workers.size()];
  }

  void AddUsable(std::span<WorkerCapacity* const> workers) {
    for (WorkerCapacity* capacity : workers) {
      if (this->IsUsable(*capacity)) this->Add(capacity);
    }
  }
  /// Adds the worker unless it has no capacity for the step.
  /// @return true if it was added
  bool AddIfFree(WorkerCapacity* capacity) {
    if (!this->HasCapacity(*capacity) || !this->IsUsable(*capacity) ||
        this->IsKnown(*capacity)) {
      return false;
    }
    this->Add(capacity);
    this->room +=
        CountFitting(*this->input.step, capacity->free, this->input.tasks);
    return true;
  }
  void AddInUse() {
    std::size_t added = 0;
    for (std::size_t i = 0; i < this->input.workers.size(); ++i) {
      WorkerCapacity* capacity = this->At(i);
      if (!capacity->in_use || !this->AddIfFree(capacity)) continue;
      if (++added == kMaxWithCapacity) return;
    }
  }
  // Failure: steps that ask at the same time name the same workers, and the
  // first answer leaves the others nothing.
  void AddIdle() {
    std::size_t added = 0;
    for (const bool asked : {false, true}) {
      for (WorkerCapacity* capacity : this->input.workers) {
        if (capacity->in_use || this->IsBeingAsked(*capacity) != asked)
          continue;
        if (!this->AddIfFree(capacity)) continue;
        if (++added == kMaxWithCapacity) return;
      }
      if (this->Suffices()) return;
    }
  }
  /// Adds workers that may have capacity when the answer arrives.
  void AddWithoutCapacity() {
    for (std::size_t i = 0; i < kMaxExaminedWorkers; ++i) {
      WorkerCapacity* capacity = this->At(i);
      if (this->HasCapacity(*capacity)) continue;
      if (!this->IsUsable(*capacity) || this->IsKnown(*capacity)) continue;
      this->Add(capacity);
    }
  }
  void Add(WorkerCapacity* capacity) {
    this->candidates.push_back({.capacity = capacity});
  }

  const AskCandidatesInput& input;
  Resources demand;
  /// Tasks that fit on selected workers with free capacity.
  std::int64_t room = 0;
  std::vector<Candidate> candidates;
};

}  // namespace

std::vector<Candidate> SelectAskCandidates(const AskCandidatesInput& input) {
  return Selection(input).Make();
}

}  // namespace mustardproxy::jobs
