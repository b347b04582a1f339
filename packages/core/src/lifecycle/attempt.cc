#include "lifecycle/attempt.h"

#include <algorithm>

namespace mustardproxy::detail {
namespace {

bool Open(const AttemptSlot& slot) {
  return slot.state == SlotState::kPending || slot.state == SlotState::kRunning;
}

bool EndedWith(const AttemptSlot& slot, TaskEnd end) {
  return slot.state == SlotState::kEnded && slot.ended.end == end;
}

}  // namespace

AttemptSlot* Attempt::Find(const TaskId& task) {
  const auto found = std::ranges::find(this->slots, task, &AttemptSlot::task);
  return found == this->slots.end() ? nullptr : &*found;
}

bool Attempt::Settled() const {
  return std::ranges::none_of(this->slots, Open);
}

bool Attempt::MayHaveRun() const {
  return std::ranges::any_of(this->slots, [](const AttemptSlot& slot) {
    return slot.state != SlotState::kNeverStarted;
  });
}

bool Attempt::CanNotComplete() const {
  return std::ranges::any_of(this->slots, [](const AttemptSlot& slot) {
    return slot.state == SlotState::kNeverStarted ||
           slot.state == SlotState::kLost ||
           EndedWith(slot, TaskEnd::kStopped) ||
           EndedWith(slot, TaskEnd::kCheckpointed);
  });
}

AttemptResult Attempt::Evaluate() const {
  if (!this->MayHaveRun()) {
    return AttemptResult::kNeverStarted;
  }
  const auto any = [this](auto condition) {
    return std::ranges::any_of(this->slots, condition);
  };
  if (any([](const AttemptSlot& slot) {
        return slot.state == SlotState::kLost;
      })) {
    return AttemptResult::kLost;
  }
  // If any task was stopped there is no complete answer, whatever the other
  // tasks reported.
  const bool whole =
      std::ranges::all_of(this->slots, [](const AttemptSlot& slot) {
        return EndedWith(slot, TaskEnd::kFinished) ||
               EndedWith(slot, TaskEnd::kFailed);
      });
  if (!whole) {
    return AttemptResult::kStopped;
  }
  const bool failed = any([](const AttemptSlot& slot) {
    return EndedWith(slot, TaskEnd::kFailed);
  });
  return failed ? AttemptResult::kFailed : AttemptResult::kFinished;
}

bool Attempt::LeaseLost() const {
  return std::ranges::all_of(this->slots, &AttemptSlot::lease_lost);
}

std::vector<WorkerId> Attempt::FailedWorkers() const {
  std::vector<WorkerId> failed;
  for (const AttemptSlot& slot : this->slots) {
    const bool fine = EndedWith(slot, TaskEnd::kFinished) || slot.lease_lost;
    if (!fine && !slot.worker.Empty()) {
      failed.push_back(slot.worker);
    }
  }
  return failed;
}

Answer Attempt::MergedAnswer() const {
  Answer answer;
  answer.outcome = Outcome::kCompleted;
  answer.status = 0;
  for (const AttemptSlot& slot : this->slots) {
    answer.status = std::max(answer.status, slot.ended.status);
  }
  answer.content_type = this->slots.front().ended.content_type;
  answer.body = this->slots.front().ended.body;
  return answer;
}

}  // namespace mustardproxy::detail
