#include "promises.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

namespace mustardproxy::fault_matrix {
namespace {

/// Longest time for which a part of a gang may run without the rest: a lost
/// owner has to be noticed and its workers taken over, and its journal read,
/// for which the platform must be back.
constexpr Duration kHalfGangGrace = std::chrono::seconds(22);

/// The parts of `<request>/<index>/<attempt>`.
struct TaskName {
  std::string index;
  std::string attempt;
};

TaskName Parse(const TaskId& task) {
  const std::string& text = task.Text();
  const std::size_t last = text.rfind('/');
  const std::size_t middle = text.rfind('/', last - 1);
  return {text.substr(middle + 1, last - middle - 1), text.substr(last + 1)};
}

std::string Quote(std::string_view what, const RequestId& request) {
  std::string text(what);
  text.append(": ").append(request.Text());
  return text;
}

}  // namespace

void Promises::Break(std::string what) {
  this->broken.push_back(std::move(what));
}

void Promises::OnSent(const RequestId& request, const WorkKind& kind,
                      const ProcessId& entry) {
  Seen& seen = this->requests[request];
  seen.kind = kind;
  seen.entry = entry;
}

void Promises::OnAnswer(const RequestId& request, const Answer& answer) {
  Seen& seen = this->requests[request];
  if (++seen.answers > 1) {
    this->Break(Quote("a request was answered twice", request));
  }
  seen.outcome = answer.outcome;
  this->CheckAnswer(request, &seen, answer);
}

void Promises::CheckAnswer(const RequestId& request, Seen* seen,
                           const Answer& answer) {
  switch (answer.outcome) {
    case Outcome::kCompleted: {
      ++this->completed;
      const std::string wanted = "answer to " + request.Text();
      const bool replayed =
          View(answer.body).find(R"({"id":)") != std::string_view::npos ||
          seen->starts == 0;
      if (!replayed && View(answer.body) != wanted) {
        this->Break(Quote("a caller got another answer", request));
      }
      const bool whole =
          std::ranges::any_of(seen->finished, [&](const auto& attempt) {
            return attempt.second >= seen->kind.tasks;
          });
      if (!replayed && !whole) {
        this->Break(Quote("completed, but not all tasks ended", request));
      }
      return;
    }
    case Outcome::kNotRun:
      ++this->not_run;
      if (seen->starts > 0) {
        this->Break(Quote("told not run, but it had run", request));
      }
      return;
    case Outcome::kUnknown:
      ++this->unknown;
      return;
  }
}

void Promises::OnAccepted(const RequestId& request) {
  Seen& seen = this->requests[request];
  if (++seen.answers > 1) {
    this->Break(Quote("a request was answered twice", request));
  }
  seen.accepted = true;
}

void Promises::OnEntryGone(const ProcessId& entry) {
  for (auto& [request, seen] : this->requests) {
    if (seen.entry == entry && seen.answers == 0) {
      seen.entry_gone = true;
    }
  }
}

void Promises::OnGracefulEnd(const ProcessId& entry) {
  for (const auto& [request, seen] : this->requests) {
    if (seen.entry == entry && seen.answers == 0 && !seen.entry_gone) {
      this->Break(Quote("a graceful stop cut a request off", request));
    }
  }
}

void Promises::OnRun(const WorkerId& worker, const TaskId& task,
                     const RequestId& request) {
  ++this->runs;
  Seen& seen = this->requests[request];
  ++seen.starts;
  const TaskName name = Parse(task);
  ++seen.started[name.attempt];
  std::set<std::string>& places = seen.running[name.index];
  if (!places.empty()) {
    this->Break(Quote("a task runs in two places at once", request) + " on " +
                worker.Text() + " as " + task.Text());
  }
  places.insert(task.Text());
  if (!seen.kind.idempotent && seen.starts > seen.kind.tasks) {
    this->Break(Quote("a non-idempotent request ran twice", request));
  }
  if (seen.outcome == Outcome::kNotRun || seen.told_never_ran) {
    this->Break(Quote("told not run, and then it ran", request));
  }
  if (seen.ends > 0) {
    this->Break(Quote("deferred work ran after its end", request));
  }
}

void Promises::OnRunEnded(const WorkerId& /*worker*/, const TaskId& task,
                          const RequestId& request, TaskEnd end, Duration run) {
  Seen& seen = this->requests[request];
  const TaskName name = Parse(task);
  Duration& longest = seen.longest_run[name.attempt];
  longest = std::max(longest, run);
  seen.running[name.index].erase(task.Text());
  if (end == TaskEnd::kFinished || end == TaskEnd::kFailed) {
    ++seen.finished[name.attempt];
  }
}

void Promises::OnLoad(const WorkerId& worker, const Resources& used,
                      const Resources& capacity) {
  if (!used.FitsIn(capacity)) {
    this->Break("worker " + worker.Text() + " was given more than it has");
  }
}

void Promises::OnConfiguration(const std::string& process_run,
                               ConfigurationVersion version) {
  ConfigurationVersion& last = this->versions[process_run];
  if (version < last) {
    this->Break("the configuration of " + process_run + " stepped back");
  }
  last = version;
}

void Promises::OnStartAtLeaving(const WorkerId& worker) {
  this->Break("leaving worker " + worker.Text() + " was given new work");
}

void Promises::OnJournalled(const JournalRecord& record) {
  const auto count = [this](const RequestId& request) {
    if (++this->requests[request].ends > 1) {
      this->Break(Quote("deferred work ended twice", request));
    }
  };
  if (const auto* finished = std::get_if<FinishedRecord>(&record)) {
    count(finished->request);
  } else if (const auto* cancelled = std::get_if<CancelledRecord>(&record)) {
    count(cancelled->request);
  }
}

void Promises::OnStatus(const RequestId& request,
                        const std::optional<DeferredStatus>& status) {
  if (!status) {
    return;
  }
  Seen& seen = this->requests[request];
  const bool cancelled = status->state == DeferredState::kCancelled;
  const bool finished = status->state == DeferredState::kFinished;
  if (cancelled && !status->ran) {
    seen.told_never_ran = true;
    if (seen.starts > 0) {
      this->Break(Quote("told cancelled before it ran, but it ran", request));
    }
  }
  if (finished && View(status->result.body) != "answer to " + request.Text()) {
    this->Break(Quote("a result belongs to another request", request) +
                ", it says: " + std::string(View(status->result.body)));
  }
  // `kUnknown` may also mean that nobody who knows can be asked now.
  const bool end =
      cancelled || finished || status->state == DeferredState::kFailed;
  if (!end) {
    return;
  }
  if (seen.told_end && *seen.told_end != status->state) {
    this->Break(Quote("a caller was told two ends", request));
  }
  seen.told_end = status->state;
}

bool Promises::Accepted(const RequestId& request) const {
  const auto found = this->requests.find(request);
  return found != this->requests.end() && found->second.accepted;
}

bool Promises::AllSettled() const {
  return std::ranges::all_of(this->requests, [](const auto& entry) {
    const Seen& seen = entry.second;
    const bool answered = seen.answers > 0 || seen.entry_gone;
    const bool ended = !seen.accepted || seen.ends > 0;
    const bool quiet = std::ranges::all_of(
        seen.running, [](const auto& places) { return places.second.empty(); });
    return answered && ended && quiet;
  });
}

void Promises::CheckAtEnd(ConfigurationVersion newest,
                          const std::vector<ConfigurationVersion>& in_force) {
  for (const auto& [request, seen] : this->requests) {
    if (seen.answers == 0 && !seen.entry_gone) {
      this->Break(Quote("a request was never answered", request));
    }
    for (const auto& [attempt, run] : seen.longest_run) {
      const bool half = seen.started.at(attempt) < seen.kind.tasks;
      if (half && run > kHalfGangGrace) {
        this->Break(Quote("a gang ran half for long", request));
      }
    }
    if (seen.accepted && seen.ends == 0) {
      this->Break(Quote("accepted deferred work did not end", request));
    }
  }
  for (const ConfigurationVersion version : in_force) {
    if (version != newest) {
      this->Break("the newest configuration is not in force everywhere");
    }
  }
}

bool Promises::IsIdle(const CoreStatus& status) {
  return status.running == 0 && status.queued == 0 && status.requests == 0 &&
         status.deferred == 0;
}

void Promises::CheckIdle(const ProcessId& process, const CoreStatus& status) {
  if (!IsIdle(status)) {
    this->Break("a process keeps what is over: " + process.Text() + " " +
                std::to_string(status.running) + " running, " +
                std::to_string(status.queued) + " queued, " +
                std::to_string(status.requests) + " requests, " +
                std::to_string(status.deferred) + " deferred");
  }
}

void Promises::CheckResult(const RequestId& request,
                           const std::optional<DeferredStatus>& status) {
  const Seen& seen = this->requests[request];
  if (!status) {
    this->Break(Quote("nobody knows accepted deferred work", request));
    return;
  }
  const bool finished = status->state == DeferredState::kFinished;
  const bool ended = finished || status->state == DeferredState::kFailed ||
                     status->state == DeferredState::kCancelled ||
                     status->state == DeferredState::kUnknown;
  if (!ended) {
    this->Break(
        Quote("the state of ended deferred work is not final", request));
  }
  const bool lost = status->state == DeferredState::kUnknown;
  if (lost && seen.kind.idempotent) {
    this->Break(Quote("an idempotent review ended as unknown", request));
  }
  this->OnStatus(request, status);
}

std::vector<RequestId> Promises::WaitingRequests() const {
  std::vector<RequestId> waiting;
  for (const auto& [request, seen] : this->requests) {
    if (seen.answers == 0 && !seen.entry_gone) {
      waiting.push_back(request);
    }
  }
  return waiting;
}

std::vector<RequestId> Promises::OpenDeferred() const {
  std::vector<RequestId> open;
  for (const auto& [request, seen] : this->requests) {
    if (seen.accepted && seen.ends == 0) {
      open.push_back(request);
    }
  }
  return open;
}

std::vector<RequestId> Promises::AcceptedRequests() const {
  std::vector<RequestId> accepted;
  for (const auto& [request, seen] : this->requests) {
    if (seen.accepted) {
      accepted.push_back(request);
    }
  }
  return accepted;
}

}  // namespace mustardproxy::fault_matrix
