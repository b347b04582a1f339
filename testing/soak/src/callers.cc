#include "callers.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "cell/http.h"

namespace soak {
namespace {

using mustardproxy::cell::HttpClient;
using mustardproxy::cell::HttpReply;
using mustardproxy::cell::HttpRequest;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace jobs = mustardproxy::jobs;

constexpr std::size_t kCallers = 6;
constexpr int kTries = 5;
constexpr milliseconds kPatience(3000);
constexpr milliseconds kRetryPause(100);
constexpr double kCancelShare = 0.1;
/// Share of the tries without an answer after which the caller gives up and
/// cancels.
constexpr double kGiveUpShare = 0.3;
constexpr double kHopelessShare = 0.05;
/// Of the jobs whose tasks take their workers down, where there are any.
constexpr double kCrashingShare = 0.05;
constexpr std::int64_t kLatestCrashMs = 400;
constexpr double kReviewShare = 0.4;
constexpr double kTwiceShare = 0.15;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

std::size_t DrawIndex(std::mt19937_64* random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(*random);
}

bool Chance(std::mt19937_64* random, double probability) {
  return std::uniform_real_distribution<double>(0, 1)(*random) < probability;
}

std::int64_t DrawBetween(std::mt19937_64* random, std::int64_t least,
                         std::int64_t most) {
  return std::uniform_int_distribution<std::int64_t>(least, most)(*random);
}

jobs::JobSpec DrawSpec(std::mt19937_64* random) {
  jobs::JobSpec spec;
  spec.payload = "payload";
  const std::int64_t steps = DrawBetween(random, 1, 2);
  for (std::int64_t i = 0; i < steps; ++i) {
    jobs::Step step;
    step.tasks = static_cast<std::int32_t>(DrawBetween(random, 1, 4));
    step.each.cpu_milli = DrawBetween(random, 200, 2000);
    step.each.memory_mb = 100;
    step.estimate = milliseconds(DrawBetween(random, 100, 1200));
    step.gang = step.tasks == 2 && Chance(random, 0.5);
    step.checkpointing = Chance(random, 0.5);
    if (i > 0) step.after.push_back(static_cast<std::int32_t>(i - 1));
    spec.steps.push_back(std::move(step));
  }
  return spec;
}

std::string Format(const jobs::JobSpec& spec) {
  nlohmann::json body = {{"spec", spec.payload}};
  for (const jobs::Step& step : spec.steps) {
    const auto estimate =
        std::chrono::duration_cast<milliseconds>(step.estimate).count();
    nlohmann::json row = {{"count", step.tasks},
                          {"cpu", step.each.cpu_milli},
                          {"memMb", step.each.memory_mb},
                          {"estimatedMs", estimate}};
    if (!step.after.empty()) row["after"] = step.after;
    if (step.gang) row["gang"] = true;
    if (step.checkpointing) row["checkpointing"] = true;
    body["steps"].push_back(row);
  }
  return body.dump();
}

std::string StateIn(const HttpReply& reply) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

bool IsFinal(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

}  // namespace

/// A connection that is opened anew after a failure.
class Callers::Connection {
 public:
  explicit Connection(SoakProcess* process) : process(process) {}

  std::optional<HttpReply> Send(HttpRequest request) {
    if (!this->client)
      this->client.emplace(this->process->CallerUrl(), kPatience);
    request.headers.push_back({"Host", "soak.example"});
    request.headers.push_back(
        {"X-Request-Timeout-Ms", std::to_string(kPatience.count())});
    auto reply = this->client->Send(request);
    if (!reply) this->client.reset();
    return reply;
  }

 private:
  SoakProcess* process;
  std::optional<HttpClient> client;
};

Callers::Callers(SoakCell* cell, const SoakOptions& options)
    : cell(cell), options(options) {}

Callers::~Callers() { this->Stop(); }

void Callers::Start() {
  for (std::size_t i = 0; i < kCallers; ++i) {
    this->threads.emplace_back(
        [this, i] { this->Run(this->options.seed * kCallers + i); });
  }
}

void Callers::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
}

void Callers::Note(const std::string& problem) {
  const std::lock_guard lock(this->mutex);
  this->broken.push_back(problem);
}

std::vector<std::string> Callers::Broken() const {
  const std::lock_guard lock(this->mutex);
  return this->broken;
}

std::string Callers::NextId() {
  const std::lock_guard lock(this->mutex);
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(this->next++));
  return text.data();
}

void Callers::Run(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Connection> connections;
  for (const auto& process : this->cell->Processes()) {
    connections.emplace_back(process.get());
  }
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopping) return;
    }
    this->HandIn(&random, &connections);
    const auto mean =
        this->options.job_pause.count() * static_cast<std::int64_t>(kCallers);
    std::this_thread::sleep_for(
        milliseconds(DrawBetween(&random, 0, 2 * mean)));
  }
}

std::optional<job_sim::CrashingTasks> Callers::DrawCrashing(
    std::mt19937_64* random) const {
  if (!this->options.crashing_tasks || !Chance(random, kCrashingShare)) {
    return std::nullopt;
  }
  job_sim::CrashingTasks crashing;
  if (Chance(random, 0.5)) {
    crashing.after = milliseconds(DrawBetween(random, 1, kLatestCrashMs));
  }
  return crashing;
}

void Callers::HandIn(std::mt19937_64* random,
                     std::vector<Connection>* connections) {
  const std::string id = this->NextId();
  const bool review = Chance(random, kReviewShare);
  CallerJob job;
  job.path = (review ? "/reviews/" : "/screens/") + id;
  jobs::Job entry;
  entry.id = jobs::JobId(id);
  entry.queue.max_attempts = 3;
  entry.spec = DrawSpec(random);
  const HttpRequest request{"POST", job.path, Format(entry.spec), {}};
  const bool hopeless = Chance(random, kHopelessShare);
  const auto crashing = this->DrawCrashing(random);
  this->cell->Machines().Do([&] {
    job_sim::SimJob* known = this->cell->Machines().Judge().Add(entry);
    known->hopeless = hopeless;
    known->crashing = crashing;
  });
  bool silent = false;
  job.fate = CallerJob::Fate::kRefused;
  for (int i = 0; i < kTries; ++i) {
    Connection& at = (*connections)[DrawIndex(random, connections->size())];
    const auto reply = at.Send(request);
    if (reply && reply->status == kOk) {
      job.fate = CallerJob::Fate::kAccepted;
      break;
    }
    const bool refused =
        reply && (reply->status == kTooMany || reply->status == kUnavailable);
    silent = silent || !refused;
    if (!refused && Chance(random, kGiveUpShare)) break;
    std::this_thread::sleep_for(kRetryPause);
  }
  const bool accepted = job.fate == CallerJob::Fate::kAccepted;
  if (!accepted && silent) job.fate = CallerJob::Fate::kUnknown;
  this->cell->Machines().Do([&] {
    this->cell->Machines().Judge().Find(entry.id)->accepted = accepted;
  });
  {
    const std::lock_guard lock(this->mutex);
    this->jobs[id] = job;
  }
  if (job.fate == CallerJob::Fate::kUnknown) {
    this->Cancel(id, random, connections);
  }
  if (!accepted) return;
  if (Chance(random, kTwiceShare)) {
    // The same job again, at another process: it remains one.
    (void)(*connections)[DrawIndex(random, connections->size())].Send(request);
  }
  if (Chance(random, kCancelShare)) this->Cancel(id, random, connections);
}

void Callers::Cancel(const std::string& id, std::mt19937_64* random,
                     std::vector<Connection>* connections) {
  std::this_thread::sleep_for(milliseconds(DrawBetween(random, 0, 800)));
  std::string path;
  bool accepted = false;
  {
    const std::lock_guard lock(this->mutex);
    CallerJob& job = this->jobs[id];
    job.cancelled = true;
    path = job.path;
    accepted = job.fate == CallerJob::Fate::kAccepted;
  }
  for (int i = 0; i < kTries; ++i) {
    Connection& at = (*connections)[DrawIndex(random, connections->size())];
    const auto reply = at.Send({"DELETE", path, "", {}});
    const bool gone = reply && reply->status == kGone;
    const bool acknowledged =
        (reply && reply->status == kOk) || (gone && !accepted);
    if (!acknowledged) {
      if (gone) this->Note("a cancelled job is said to be unknown: " + id);
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    this->cell->Machines().Do([&] {
      job_sim::SimJob* job =
          this->cell->Machines().Judge().Find(jobs::JobId(id));
      job->cancelled = true;
      job->cancelled_at = this->cell->Machines().Time().Now();
    });
    const std::lock_guard lock(this->mutex);
    this->jobs[id].cancel_acknowledged = true;
    return;
  }
}

std::vector<std::string> Callers::AwaitEnds(milliseconds limit) {
  const auto end = steady_clock::now() + limit;
  std::vector<std::string> open;
  for (const auto& [id, job] : this->jobs) {
    if (job.fate == CallerJob::Fate::kAccepted) open.push_back(id);
  }
  for (const auto& process : this->cell->Processes()) {
    Connection connection(process.get());
    std::vector<std::string> left = open;
    while (!left.empty() && steady_clock::now() < end) {
      std::erase_if(left, [&](const std::string& id) {
        const CallerJob& job = this->jobs.at(id);
        const auto reply = connection.Send({"GET", job.path, "", {}});
        if (!reply || reply->status != kOk) return false;
        const std::string state = StateIn(*reply);
        this->cell->Machines().Do([&] {
          job_sim::Promises& judge = this->cell->Machines().Judge();
          if (state == "completed") judge.OnShownCompleted(jobs::JobId(id));
          if (state == "failed") judge.OnShownFailed(jobs::JobId(id));
        });
        return IsFinal(state);
      });
      std::this_thread::sleep_for(kRetryPause);
    }
    if (!left.empty()) return left;
  }
  return {};
}

}  // namespace soak
