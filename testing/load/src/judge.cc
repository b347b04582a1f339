#include "load/judge.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string_view>

namespace mustardproxy::load {
namespace {

/// Task ids are `<request>/<task index>/<attempt>`.
std::string WithoutAttempt(const std::string& task) {
  return task.substr(0, task.rfind('/'));
}

bool MustRunOnce(std::string_view service) {
  return service == "booking" || service == "detainee";
}

bool Overlap(const TaskRun& a, const TaskRun& b) {
  constexpr auto kStillRunning = std::numeric_limits<std::int64_t>::max();
  return a.start_ms < b.end_ms.value_or(kStillRunning) &&
         b.start_ms < a.end_ms.value_or(kStillRunning);
}

/// Compares what callers were told with what workers did.
class Inquiry {
 public:
  explicit Inquiry(std::span<const WorkerLog> logs);

  void Hear(const SentRequest& request);
  void JudgeRuns();
  void JudgeKeys();
  Judgement Take() { return std::move(this->judgement); }

 private:
  /// Requests that were sent with the same key, as one.
  struct KeyGroup {
    std::set<std::string> requests;
    bool completed = false;
  };

  std::size_t TasksRun(const std::string& request) const;
  std::size_t Runs(const std::string& request) const;
  void HearCompleted(const SentRequest& request);
  void Lost(const SentRequest& request, std::string_view why);
  void Doubled(const std::string& name, std::string_view why);

  Judgement judgement;
  /// By request and task index.
  std::map<std::string, std::vector<const TaskRun*>> by_task;
  std::map<std::string, std::vector<const TaskRun*>> by_request;
  std::map<std::string, KeyGroup> keys;
};

Inquiry::Inquiry(std::span<const WorkerLog> logs) {
  for (const WorkerLog& log : logs) {
    this->judgement.overcommit_refused += log.overcommit_refused;
    if (log.incomplete) this->judgement.logs_complete = false;
    for (const TaskRun& run : log.runs) {
      this->by_task[WithoutAttempt(run.task)].push_back(&run);
      this->by_request[run.request].push_back(&run);
    }
  }
  if (!this->judgement.logs_complete) {
    this->judgement.faults.emplace_back("a worker's log is not complete");
  }
}

std::size_t Inquiry::Runs(const std::string& request) const {
  auto found = this->by_request.find(request);
  return found == this->by_request.end() ? 0 : found->second.size();
}

std::size_t Inquiry::TasksRun(const std::string& request) const {
  auto found = this->by_request.find(request);
  if (found == this->by_request.end()) return 0;
  std::set<std::string> tasks;
  for (const TaskRun* run : found->second) {
    tasks.insert(WithoutAttempt(run->task));
  }
  return tasks.size();
}

void Inquiry::Lost(const SentRequest& request, std::string_view why) {
  ++this->judgement.lost;
  this->judgement.faults.push_back("lost: request " + request.request_id +
                                   " to " + ServiceOf(request.kind) + " " +
                                   std::string(why));
}

void Inquiry::Doubled(const std::string& name, std::string_view why) {
  ++this->judgement.doubled;
  this->judgement.faults.push_back("doubled: " + name + " " + std::string(why));
}

void Inquiry::Hear(const SentRequest& request) {
  ++this->judgement.sent;
  if (!request.key.empty()) {
    KeyGroup& group = this->keys[request.key];
    if (!request.request_id.empty()) {
      group.requests.insert(request.request_id);
    }
    if (request.fate == Fate::kCompleted) group.completed = true;
  }
  switch (request.fate) {
    case Fate::kCompleted:
      this->HearCompleted(request);
      break;
    case Fate::kNotRun:
      ++this->judgement.not_run;
      if (this->Runs(request.request_id) > 0) {
        this->Doubled(request.request_id, "was told not run, and ran");
      }
      break;
    case Fate::kUnknown:
      ++this->judgement.unknown;
      break;
    case Fate::kUnfinished:
      this->Lost(request, "was accepted and never finished");
      break;
  }
}

void Inquiry::HearCompleted(const SentRequest& request) {
  ++this->judgement.completed;
  if (request.wrong_answer) this->Lost(request, "got a wrong answer");
  // A repeat under a key gets the first one's answer; its key is judged whole.
  if (!request.key.empty()) return;
  auto tasks = static_cast<std::size_t>(TasksOf(request.kind));
  if (this->TasksRun(request.request_id) < tasks) {
    this->Lost(request, "was told completed, and did not run");
  }
}

void Inquiry::JudgeKeys() {
  for (const auto& item : this->keys) {
    std::size_t runs = 0;
    for (const std::string& request : item.second.requests) {
      runs += this->Runs(request);
    }
    if (item.second.completed && runs == 0) {
      ++this->judgement.lost;
      this->judgement.faults.push_back("lost: key " + item.first +
                                       " was told completed, and did not run");
    }
    if (runs > 1) this->Doubled("key " + item.first, "ran more than once");
  }
}

void Inquiry::JudgeRuns() {
  for (const auto& item : this->by_task) {
    const std::vector<const TaskRun*>& runs = item.second;
    if (runs.size() > 1 && MustRunOnce(runs.front()->service)) {
      this->Doubled(item.first, "ran more than once");
      continue;
    }
    for (auto run = runs.begin(); run != runs.end(); ++run) {
      auto overlaps = [&](const TaskRun* earlier) {
        return Overlap(*earlier, **run);
      };
      if (std::any_of(runs.begin(), run, overlaps)) {
        this->Doubled(item.first, "ran in two places at once");
      }
    }
  }
}

}  // namespace

Judgement Judge(std::span<const SentRequest> requests,
                std::span<const WorkerLog> logs) {
  Inquiry inquiry(logs);
  for (const SentRequest& request : requests) inquiry.Hear(request);
  inquiry.JudgeKeys();
  inquiry.JudgeRuns();
  return inquiry.Take();
}

std::string Summary(std::string_view prefix, const Judgement& judgement) {
  return std::string(prefix) + ": " + std::to_string(judgement.sent) +
         " sent, " + std::to_string(judgement.completed) + " completed, " +
         std::to_string(judgement.not_run) + " not run, " +
         std::to_string(judgement.unknown) + " unknown, " +
         std::to_string(judgement.lost) + " lost, " +
         std::to_string(judgement.doubled) + " doubled";
}

}  // namespace mustardproxy::load
