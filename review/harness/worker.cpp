#include "worker.hpp"

#include <algorithm>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat(1500);
/// Three heartbeats of silence.
constexpr milliseconds kEntryLapse(4500);
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr milliseconds kStopTime(50);
constexpr milliseconds kStartup(200);

std::int64_t Number(const Json& body, const char* field) {
  return body.value(field, std::int64_t{0});
}

}  // namespace

std::size_t Runs::Begin(const std::string& task, std::int64_t run,
                        const std::string& worker) {
  this->record->Note("run begins " + task + " run " + std::to_string(run) +
                     " on " + worker);
  const std::lock_guard lock(this->mutex);
  this->runs.push_back({task, run, worker, this->record->Seconds(), -1, ""});
  return this->runs.size() - 1;
}

void Runs::End(std::size_t index, const std::string& how) {
  RunSeen ended;
  {
    const std::lock_guard lock(this->mutex);
    this->runs[index].ended = this->record->Seconds();
    this->runs[index].how = how;
    ended = this->runs[index];
  }
  this->record->Note("run ends " + ended.task + " run " +
                     std::to_string(ended.run) + " on " + ended.worker + ": " +
                     how);
}

std::vector<RunSeen> Runs::All() {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

Machine::Machine(MachineOptions options, std::size_t number, Store* store,
                 class Runs* runs, Record* record)
    : options(std::move(options)),
      number(number),
      store(store),
      seen(runs),
      record(record),
      server([this](const Request& r) { return this->Handle(r); }) {
  this->Start();
  this->living = std::thread([this] { this->Live(); });
}

Machine::~Machine() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->living.join();
  this->server.Close();
}

void Machine::Crash() {
  {
    const std::lock_guard lock(this->mutex);
    this->record->Note(this->Name() + " crashes (" + this->id + ")");
    for (const auto& [key, run] : this->running) {
      this->seen->End(run.seen, "crashed");
    }
    this->running.clear();
    this->ended.clear();
    this->closed.clear();
    this->last_id = std::exchange(this->id, "");
    this->entry_lapses = Clock::now() + kEntryLapse;
    this->changed.notify_all();
  }
  this->server.Close();
}

void Machine::Start() {
  const std::lock_guard lock(this->mutex);
  this->id =
      "i-" + std::to_string(this->number) + "-" + std::to_string(++this->lives);
  this->born = Clock::now();
  this->token = 0;
  this->lease_ms = 0;
  this->next_end = 1;
  this->server.Open();
  this->WriteEntry();
  this->record->Note(this->Name() + " starts as " + this->id);
}

void Machine::Cut() {
  this->record->Note(this->Name() + " is cut off");
  this->server.Cut();
}

void Machine::Heal() {
  this->record->Note(this->Name() + " is reached again");
  this->server.Heal();
}

bool Machine::EndTask(const std::string& task, const std::string& how) {
  const std::lock_guard lock(this->mutex);
  for (const auto& [key, run] : this->running) {
    if (key.first != task) continue;
    const Key ends = key;
    this->End(ends, how);
    return true;
  }
  return false;
}

bool Machine::Runs(const std::string& task) {
  const std::lock_guard lock(this->mutex);
  return std::any_of(this->running.begin(), this->running.end(),
                     [&](const auto& one) { return one.first.first == task; });
}

std::int64_t Machine::ClockMs() const {
  return 1 + std::chrono::duration_cast<milliseconds>(Clock::now() - this->born)
                 .count();
}

void Machine::WriteEntry() {
  this->next_entry = Clock::now() + kHeartbeat;
  const Json entry = {{"service", this->options.service},
                      {"address", this->server.Address()},
                      {"zone", "zone-a"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"capacity",
                       {{"cpu", this->options.cpu},
                        {"memMb", this->options.memory_mb},
                        {"gpu", 0}}},
                      {"labels", {this->options.kind, this->options.rack}},
                      {"clockMs", this->ClockMs()},
                      {"sequence", ++this->sequence}};
  this->store->Put("servers/" + this->id, entry.dump());
}

void Machine::Live() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const auto now = Clock::now();
    if (this->entry_lapses && now >= *this->entry_lapses) {
      this->store->Remove("servers/" + this->last_id);
      this->entry_lapses.reset();
    }
    if (!this->id.empty()) {
      if (now >= this->next_entry) this->WriteEntry();
      std::vector<Key> done;
      std::vector<Key> lapsed;
      for (const auto& [key, run] : this->running) {
        if (run.ends && now >= *run.ends) done.push_back(key);
        if (this->ClockMs() >= this->lease_ms) lapsed.push_back(key);
      }
      for (const Key& key : done) this->End(key, "done");
      for (const Key& key : lapsed) this->End(key, "lapsed");
    }
    this->changed.wait_for(lock, milliseconds(5));
  }
}

void Machine::End(const Key& key, const std::string& how) {
  const auto found = this->running.find(key);
  if (found == this->running.end()) return;
  this->seen->End(found->second.seen, how);
  this->running.erase(found);
  this->ended.push_back({this->next_end++, key.first, key.second, how});
  std::int64_t& highest = this->closed[key.first];
  highest = std::max(highest, key.second);
  this->changed.notify_all();
}

Reply Machine::Refuse(const char* reason) const {
  return {409, Json{{"clockMs", this->ClockMs()}, {"reason", reason}}.dump()};
}

bool Machine::Fenced(const Json& body) {
  const std::int64_t given = Number(body, "fencingToken");
  if (given < this->token) return true;
  this->token = given;
  return false;
}

void Machine::Extend(const Json& body) {
  const std::int64_t most = this->ClockMs() + kMaxHoldMs;
  this->lease_ms =
      std::max(this->lease_ms, std::min(most, Number(body, "deadlineMs")));
}

std::optional<Reply> Machine::Handle(const Request& request) {
  std::unique_lock lock(this->mutex);
  if (this->id.empty()) return std::nullopt;
  if (request.path == "/health") return Reply{};
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != this->id) {
    return Reply{421, "{}"};
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return Reply{400, "{}"};
  if (request.path == "/-/run-start") return this->RunStart(body);
  if (request.path == "/-/run-stop") return this->RunStop(body);
  if (request.path == "/-/hold") return this->Hold(body, &lock);
  return Reply{404, "{}"};
}

std::optional<Reply> Machine::RunStart(const Json& body) {
  const Key key(body.value("task", ""), Number(body, "runId"));
  const Json good = {{"clockMs", this->ClockMs()}};
  if (this->Fenced(body)) return this->Refuse("fence");
  if (this->running.contains(key)) {
    this->Extend(body);
    return Reply{200, good.dump()};
  }
  const auto closed_run = this->closed.find(key.first);
  if (closed_run != this->closed.end() && key.second <= closed_run->second) {
    this->Extend(body);
    return this->Refuse("old");
  }
  if (Number(body, "deadlineMs") <= this->ClockMs()) {
    return this->Refuse("late");
  }
  this->Extend(body);
  Running run;
  run.begun = Clock::now();
  // The text of a job tells how long its tasks work, in milliseconds.
  const std::string spec = body.value("spec", "");
  if (spec.starts_with("work=")) {
    run.ends = run.begun + milliseconds(std::stoll(spec.substr(5)));
  }
  run.seen = this->seen->Begin(key.first, key.second, this->id);
  this->running[key] = run;
  return Reply{200, good.dump()};
}

std::optional<Reply> Machine::RunStop(const Json& body) {
  const Key key(body.value("task", ""), Number(body, "runId"));
  if (this->Fenced(body)) return this->Refuse("fence");
  std::int64_t& highest = this->closed[key.first];
  highest = std::max(highest, key.second);
  const auto found = this->running.find(key);
  if (found != this->running.end()) {
    this->seen->End(found->second.seen, "stopped");
    this->running.erase(found);
    this->ended.push_back({this->next_end++, key.first, key.second, "stopped"});
    this->changed.notify_all();
  }
  return Reply{200, Json{{"clockMs", this->ClockMs()}}.dump()};
}

std::optional<Reply> Machine::Hold(const Json& body,
                                   std::unique_lock<std::mutex>* lock) {
  if (this->Fenced(body)) return this->Refuse("fence");
  this->Extend(body);
  const std::int64_t last_seen = Number(body, "lastSeen");
  std::erase_if(this->ended,
                [&](const Ended& one) { return one.number <= last_seen; });
  const std::string mine = this->id;
  const auto until = Clock::now() + milliseconds(Number(body, "waitMs"));
  this->changed.wait_until(*lock, until, [&] {
    return !this->ended.empty() || this->id != mine || this->stopping;
  });
  if (this->id != mine) return std::nullopt;
  Json answer = {{"clockMs", this->ClockMs()},
                 {"running", Json::array()},
                 {"endedRuns", Json::array()}};
  for (const auto& [key, run] : this->running) {
    const auto age = Clock::now() - run.begun;
    int percent = age < kStartup ? 0 : 100;
    if (run.ends) {
      percent = static_cast<int>(99 * age / (*run.ends - run.begun));
    }
    answer["running"].push_back({key.first, key.second, "", percent, 0});
  }
  for (const Ended& one : this->ended) {
    answer["endedRuns"].push_back({one.number, one.task, one.run, one.how, ""});
  }
  return Reply{200, answer.dump()};
}

}  // namespace review
