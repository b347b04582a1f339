#include "entry_process.h"

#include <algorithm>
#include <iostream>
#include <utility>
#include <variant>

namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kAnyOffset = std::chrono::hours(1);
constexpr std::int32_t kAcceptedStatus = 202;
constexpr Duration kShortestStep = std::chrono::microseconds(100);

}  // namespace

RequestId EntryProcess::NewRequestId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (Incarnation left = this->options.incarnation; left > 0; left >>= 4U) {
    hex.insert(hex.begin(), kDigits[left & 0xfU]);
  }
  std::string text = this->Name();
  text.append(1, '.').append(hex).append(1, '.');
  text.append(std::to_string(++this->last_request));
  return RequestId(std::move(text));
}

Instant EntryProcess::Local() const {
  return this->simulation->Now() + this->clock_offset;
}

void EntryProcess::OnStarted() {
  this->clock_offset = this->simulation->Draw(Duration{0}, kAnyOffset);
  this->options.incarnation =
      static_cast<Incarnation>(this->simulation->Draw(1, INT32_MAX));
  this->options.seed =
      static_cast<std::uint64_t>(this->simulation->Draw(1, INT32_MAX));
  this->options.workers = this->around->platform->hosts;
  this->core = std::make_unique<Core>(this->options);
  this->platform_reachable = true;
  this->watches = false;
  this->last_request = 0;
  this->leaving_since.clear();
  this->Handle(Tick{});
}

void EntryProcess::OnKilled() {
  this->core.reset();
  this->own_digest.reset();
  this->forwarded.clear();
  this->peer_queries.clear();
  this->around->promises->OnEntryGone(this->Id());
}

void EntryProcess::Deliver(Event event) {
  this->Receive([this, event = std::move(event)] { this->Handle(event); });
}

void EntryProcess::Handle(Event event) {
  if (this->core == nullptr) {
    return;
  }
  if (const auto* list = std::get_if<HostListArrived>(&event)) {
    for (const WorkerDescription& worker : list->workers) {
      if (worker.leaving) {
        this->leaving_since.emplace(worker.id, this->simulation->Now());
      } else {
        this->leaving_since.erase(worker.id);
      }
    }
  }
  Actions actions;
  this->core->Handle(this->Local(), std::move(event), &actions);
  const std::string run = this->Name() + "/" + std::to_string(this->Run());
  this->around->promises->OnConfiguration(
      run, this->core->ConfigurationInForce().version);
  const std::uint64_t this_run = this->Run();
  for (const Action& action : actions) {
    // A pause or kill that strikes at one action holds up all that follow.
    if (this->Run() == this_run) {
      this->Receive([this, action] { this->Perform(action); });
    }
  }
  this->Wake();
}

void EntryProcess::Wake() {
  if (this->core == nullptr) {
    return;
  }
  const std::uint64_t order = ++this->wake_order;
  const Instant due = this->core->NextWakeup();
  if (due == Instant::max()) {
    return;
  }
  const Instant at = std::max(due - this->clock_offset,
                              this->simulation->Now() + kShortestStep);
  this->simulation->At(at, [this, order] {
    this->Receive([this, order] {
      if (order == this->wake_order) {
        this->Handle(Tick{});
      }
    });
  });
}

void EntryProcess::Perform(const Action& action) {
  std::visit([this](const auto& typed) { this->Do(typed); }, action);
}

void EntryProcess::Do(const Reply& action) {
  const auto waiting = this->forwarded.find(action.request);
  if (waiting == this->forwarded.end()) {
    this->around->on_answer(action.request, action.answer);
    return;
  }
  const auto all = std::move(waiting->second);
  this->forwarded.erase(waiting);
  for (const auto& answer : all) {
    answer(ForwardAnswered{action.request, this->Id(), action.answer});
  }
}

void EntryProcess::Do(const ReplyAccepted& action) {
  const auto waiting = this->forwarded.find(action.request);
  if (waiting == this->forwarded.end()) {
    this->around->on_accepted(action.request);
    return;
  }
  Answer accepted;
  accepted.outcome = Outcome::kCompleted;
  accepted.status = kAcceptedStatus;
  const auto all = std::move(waiting->second);
  this->forwarded.erase(waiting);
  for (const auto& answer : all) {
    answer(ForwardAnswered{action.request, this->Id(), accepted});
  }
}

void EntryProcess::Do(const AnswerQuery& action) {
  const auto waiting = this->peer_queries.find(action.query);
  if (waiting == this->peer_queries.end()) {
    this->around->on_query_answer(action.query, action.status);
    return;
  }
  waiting->second(action.status);
  this->peer_queries.erase(waiting);
}

void EntryProcess::Do(const RecordEvent& action) {
  if (!this->around->trace) {
    return;
  }
  const TimelineEvent& event = action.event;
  std::cout << this->simulation->Now().time_since_epoch().count() / 1000
            << " ms " << this->Name() << " event "
            << static_cast<int>(event.kind) << " " << event.request << " "
            << event.task << " " << event.worker << " " << event.peer << " "
            << event.epoch << " " << event.detail << "\n";
}

void EntryProcess::Do(const ShutdownFinished& /*action*/) {
  this->around->promises->OnGracefulEnd(this->Id());
  this->End();
  this->simulation->After(std::chrono::seconds(1), [this] {
    if (!this->Alive()) {
      this->Begin();
    }
  });
}

}  // namespace mustardproxy::fault_matrix
