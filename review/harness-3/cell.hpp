#pragma once
// Stand-ins of the platform's store and of workers, and processes of the
// scheduler between them. Everything listens on 127.0.0.1.
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t MsSince(Clock::time_point from) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - from).count();
}

inline std::string Encode64(const std::string& text) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0u);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

/// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : out(path) {}
  void Write(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%8.3f  ",
                  MsSince(this->begun) / 1000.0);
    this->out << stamp << line << std::endl;
  }

 private:
  const Clock::time_point begun = Clock::now();
  std::mutex mutex;
  std::ofstream out;
};

/// The platform's store: linearizable, with leases and watches.
class Store {
 public:
  Store() : server([this](const Request& r) { return this->Handle(r); }) {}
  void Up() {
    this->running = true;
    this->ticker = std::thread([this] {
      while (this->running) {
        std::this_thread::sleep_for(milliseconds(20));
        this->ExpireLeases();
      }
    });
    this->server.Up();
  }
  ~Store() {
    if (this->running.exchange(false)) this->ticker.join();
    this->server.Down();
  }
  [[nodiscard]] std::string Address() const { return this->server.Address(); }
  /// A way of its own to the store; it is turned away with 503 while `away`.
  Server* AddWay(const std::atomic<bool>* away) {
    this->ways.push_back(std::make_unique<Server>(
        [this, away](const Request& request) -> std::optional<Response> {
          if (*away) return Response{503, "{}"};
          auto response = this->Handle(request);
          if (*away) return Response{503, "{}"};
          return response;
        }));
    this->ways.back()->Up();
    return this->ways.back().get();
  }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->Change(key, Encode64(value), 0, false, ++this->revision);
    this->changed.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    if (!this->items.contains(key)) return;
    this->Change(key, "", 0, true, ++this->revision);
    this->changed.notify_all();
  }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool deleted = false;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    Clock::time_point until;
  };

  void Change(const std::string& key, const std::string& value,
              std::int64_t lease, bool deleted, std::int64_t at) {
    if (deleted) {
      this->items.erase(key);
      this->history.push_back({key, {"", at, 0, 0}, true});
      return;
    }
    Item& item = this->items[key];
    if (item.created == 0) item.created = at;
    item.value = value;
    item.revision = at;
    item.lease = lease;
    this->history.push_back({key, item, false});
  }
  void EndLease(std::int64_t lease) {
    if (this->leases.erase(lease) == 0) return;
    std::vector<std::string> gone;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease) gone.push_back(key);
    }
    if (gone.empty()) return;
    ++this->revision;
    for (const auto& key : gone) {
      this->Change(key, "", 0, true, this->revision);
    }
    this->changed.notify_all();
  }
  void ExpireLeases() {
    const std::lock_guard lock(this->mutex);
    std::vector<std::int64_t> over;
    for (const auto& [id, lease] : this->leases) {
      if (Clock::now() >= lease.until) over.push_back(id);
    }
    for (const auto id : over) this->EndLease(id);
  }
  static Json Row(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  std::optional<Response> Handle(const Request& request) {
    std::this_thread::sleep_for(milliseconds(4));
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/-/kv-watch") return this->Watch(request);
    const std::lock_guard lock(this->mutex);
    if (path == "/-/kv-key") {
      const std::string key = QueryField(request.target, "key");
      const auto found = this->items.find(key);
      if (found == this->items.end()) return Response{404, "{}"};
      return Response{200, Row(key, found->second).dump()};
    }
    if (path == "/-/kv-range") {
      const std::string prefix = QueryField(request.target, "prefix");
      const std::string after = QueryField(request.target, "after");
      Json rows = Json::array();
      bool truncated = false;
      for (auto one = this->items.lower_bound(prefix);
           one != this->items.end() && one->first.rfind(prefix, 0) == 0;
           ++one) {
        if (!after.empty() && one->first <= after) continue;
        if (rows.size() == 500) {
          truncated = true;
          break;
        }
        rows.push_back(Row(one->first, one->second));
      }
      return Response{200, Json{{"items", rows},
                                {"truncated", truncated},
                                {"currentRev", this->revision}}
                               .dump()};
    }
    if (path == "/-/kv-txn") return this->Commit(Json::parse(request.body));
    if (path == "/-/kv-lease") {
      const auto ttl = Json::parse(request.body)["ttlMs"].get<std::int64_t>();
      const auto id = this->next_lease++;
      this->leases[id] = {ttl, Clock::now() + milliseconds(ttl)};
      return Response{200, Json{{"lease", id}, {"ttlMs", ttl}}.dump()};
    }
    const auto id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    if (path.rfind("/-/kv-keep/", 0) == 0) {
      const auto found = this->leases.find(id);
      if (found == this->leases.end()) return Response{404, "{}"};
      found->second.until = Clock::now() + milliseconds(found->second.ttl_ms);
      return Response{
          200, Json{{"lease", id}, {"ttlMs", found->second.ttl_ms}}.dump()};
    }
    if (path.rfind("/-/kv-lease-end/", 0) == 0) {
      this->EndLease(id);
      return Response{200, "{}"};
    }
    return Response{404, "{}"};
  }

  Response Commit(const Json& body) {
    bool holds = true;
    Json rows = Json::array();
    for (const Json& one : body["precondition"]) {
      const std::string key = one["key"];
      const auto found = this->items.find(key);
      const std::int64_t is =
          found == this->items.end() ? 0 : found->second.revision;
      if (found != this->items.end()) rows.push_back(Row(key, found->second));
      holds = holds && is == one["revision"].get<std::int64_t>();
    }
    if (!holds) return {412, Json{{"items", rows}}.dump()};
    for (const Json& put : body["puts"]) {
      const auto lease = put.value("lease", std::int64_t{0});
      if (lease != 0 && !this->leases.contains(lease)) return {404, "{}"};
    }
    ++this->revision;
    for (const Json& put : body["puts"]) {
      this->Change(put["key"], put["value"],
                   put.value("lease", std::int64_t{0}), false, this->revision);
    }
    for (const Json& key : body["remove"]) {
      if (this->items.contains(key.get<std::string>())) {
        this->Change(key, "", 0, true, this->revision);
      }
    }
    this->changed.notify_all();
    return {200, Json{{"revision", this->revision}}.dump()};
  }

  Response Watch(const Request& request) {
    const std::string prefix = QueryField(request.target, "prefix");
    const auto after = std::atoll(QueryField(request.target, "after").c_str());
    const auto end =
        Clock::now() +
        milliseconds(std::atoll(QueryField(request.target, "waitMs").c_str()));
    std::unique_lock lock(this->mutex);
    Json rows = Json::array();
    for (;;) {
      for (const Event& event : this->history) {
        if (event.item.revision <= after || event.key.rfind(prefix, 0) != 0)
          continue;
        if (event.deleted) {
          rows.push_back({{"key", event.key},
                          {"revision", event.item.revision},
                          {"deleted", true}});
        } else {
          rows.push_back(Row(event.key, event.item));
        }
      }
      if (!rows.empty() || Clock::now() >= end || !this->running) break;
      this->changed.wait_until(lock, end);
    }
    return {200, Json{{"events", rows}, {"currentRev", this->revision}}.dump()};
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 0;
  std::int64_t next_lease = 1;
  std::atomic<bool> running{false};
  std::thread ticker;
  std::vector<std::unique_ptr<Server>> ways;
  Server server;
};

/// What ran, as the workers saw it.
struct Run {
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  std::int64_t begun_ms = 0;
  std::int64_t ended_ms = -1;
  std::string how = "open";
};

struct Ledger {
  std::mutex mutex;
  const Clock::time_point begun = Clock::now();
  std::vector<Run> runs;
};

/// One life of a worker. The spec tells how long a task works ("work=MS") and
/// whether it then fails by its own fault ("work=MS fail").
class Worker {
 public:
  struct Parts {
    std::string id;
    int port = 0;
    std::string kind = "a";
    std::string rack = "r1";
    std::int64_t cpu = 16000;
    std::int64_t memory = 65536;
    /// What a call takes beside what it asks for: both ways, and a bit of work.
    milliseconds way{0};
    /// Most connections at a time; 0 for any number.
    std::size_t channels = 0;
    Store* store = nullptr;
    Record* record = nullptr;
    Ledger* ledger = nullptr;
  };

  explicit Worker(Parts given)
      : parts(std::move(given)),
        server([this](const Request& r) { return this->Handle(r); },
               this->parts.port, this->parts.channels) {}
  ~Worker() { this->Crash(); }

  void Up() {
    this->alive = true;
    this->server.Up();
    this->WriteEntry();
    this->ticker = std::thread([this] { this->Tick(); });
    this->parts.record->Write("worker " + this->parts.id + " up at " +
                              this->server.Address() + " kind " +
                              this->parts.kind);
  }
  /// The life is over: all that runs is gone, connections close, new ones are
  /// refused. Its entry stays until the platform removes it.
  void Crash() {
    if (!this->alive.exchange(false)) return;
    this->server.Down();
    this->ticker.join();
    const std::lock_guard lock(this->mutex);
    this->parts.record->Write("worker " + this->parts.id + " crashes with " +
                              std::to_string(this->running.size()) + " runs");
    for (auto& [task, run] : this->running) this->Note(run.ledger, "lost");
    this->running.clear();
    this->changed.notify_all();
  }
  [[nodiscard]] bool Alive() const { return this->alive; }
  [[nodiscard]] const std::string& Id() const { return this->parts.id; }
  [[nodiscard]] std::size_t OpenChannels() { return this->server.Open(); }
  [[nodiscard]] std::size_t ResetChannels() { return this->server.Resets(); }

 private:
  struct Running {
    std::int64_t run = 0;
    Clock::time_point ends;
    std::size_t ledger = 0;
    bool fails = false;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  [[nodiscard]] std::int64_t ClockMs() const {
    return MsSince(this->started) + 1000;
  }
  void Note(std::size_t index, const std::string& how) {
    Ledger& ledger = *this->parts.ledger;
    const std::lock_guard lock(ledger.mutex);
    Run& run = ledger.runs[index];
    run.ended_ms = MsSince(ledger.begun);
    run.how = how;
    this->parts.record->Write("run " + run.task + " " +
                              std::to_string(run.run) + " on " + run.worker +
                              " ends: " + how);
  }
  void End(const std::string& task, const std::string& how) {
    const auto found = this->running.find(task);
    if (found == this->running.end()) return;
    this->Note(found->second.ledger, how);
    this->closed[task] = std::max(this->closed[task], found->second.run);
    this->ended.push_back({this->next_end++, task, found->second.run, how});
    this->running.erase(found);
    this->changed.notify_all();
  }
  void WriteEntry() {
    const Json entry = {{"service", "svc"},
                        {"address", this->server.Address()},
                        {"zone", "z1"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"sequence", ++this->sequence},
                        {"labels", {this->parts.kind, this->parts.rack}},
                        {"capacity",
                         {{"cpu", this->parts.cpu},
                          {"memMb", this->parts.memory},
                          {"gpu", 0}}}};
    this->parts.store->Put("servers/" + this->parts.id, entry.dump());
  }
  void Tick() {
    auto next_entry = Clock::now() + milliseconds(1500);
    while (this->alive) {
      std::this_thread::sleep_for(milliseconds(5));
      if (Clock::now() >= next_entry) {
        next_entry += milliseconds(1500);
        this->WriteEntry();
      }
      const std::lock_guard lock(this->mutex);
      std::vector<std::string> done;
      for (const auto& [task, run] : this->running) {
        if (Clock::now() >= run.ends) done.push_back(task);
      }
      for (const auto& task : done) {
        this->End(task, this->running.at(task).fails ? "failed" : "done");
      }
      if (this->lease_ms <= this->ClockMs()) {
        done.clear();
        for (const auto& [task, run] : this->running) done.push_back(task);
        for (const auto& task : done) this->End(task, "lapsed");
      }
    }
  }
  Response Refuse(const std::string& reason) {
    return {409, Json{{"clockMs", this->ClockMs()}, {"reason", reason}}.dump()};
  }
  void Extend(const Json& body) {
    const auto until = std::min(body.value("deadlineMs", std::int64_t{0}),
                                this->ClockMs() + 10000);
    this->lease_ms = std::max(this->lease_ms, until);
  }

  std::optional<Response> Handle(const Request& request) {
    std::this_thread::sleep_for(this->parts.way);
    std::unique_lock lock(this->mutex);
    if (!this->alive) return std::nullopt;
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() &&
        expected->second != this->parts.id) {
      return Response{421, "{}"};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return Response{400, "{}"};
    const auto token = body.value("fencingToken", std::int64_t{0});
    if (token < this->token) return this->Refuse("fence");
    this->token = token;
    if (request.target == "/-/hold") return this->Hold(body, &lock);
    const std::string task = body.value("task", "");
    const auto run = body.value("runId", std::int64_t{0});
    const auto found = this->running.find(task);
    if (request.target == "/-/run-stop") {
      if (found != this->running.end() && found->second.run <= run) {
        this->End(task, "stopped");
      }
      this->closed[task] = std::max(this->closed[task], run);
      return Response{200, Json{{"clockMs", this->ClockMs()}}.dump()};
    }
    if (request.target != "/-/run-start") return Response{404, "{}"};
    if (body.value("deadlineMs", std::int64_t{0}) <= this->ClockMs()) {
      return this->Refuse("late");
    }
    this->Extend(body);
    if (found != this->running.end()) {
      if (found->second.run == run) {
        return Response{200, Json{{"clockMs", this->ClockMs()}}.dump()};
      }
      return this->Refuse("old");
    }
    if (run <= this->closed[task]) return this->Refuse("old");
    const std::string spec = body.value("spec", "");
    const auto work = std::atoll(spec.substr(spec.find("work=") + 5).c_str());
    Ledger& ledger = *this->parts.ledger;
    std::size_t index = 0;
    {
      const std::lock_guard guard(ledger.mutex);
      index = ledger.runs.size();
      ledger.runs.push_back(
          {task, run, this->parts.id, MsSince(ledger.begun), -1, "open"});
    }
    this->running[task] = {run, Clock::now() + milliseconds(work), index,
                           spec.find("fail") != std::string::npos};
    this->parts.record->Write("run " + task + " " + std::to_string(run) +
                              " begins on " + this->parts.id);
    return Response{200, Json{{"clockMs", this->ClockMs()}}.dump()};
  }

  std::optional<Response> Hold(const Json& body,
                               std::unique_lock<std::mutex>* lock) {
    this->Extend(body);
    const auto seen = body.value("lastSeen", std::int64_t{0});
    std::erase_if(this->ended,
                  [seen](const Ended& one) { return one.number <= seen; });
    const auto end =
        Clock::now() + milliseconds(body.value("waitMs", std::int64_t{0}));
    while (this->alive && this->ended.empty() && Clock::now() < end) {
      this->changed.wait_until(*lock, end);
    }
    if (!this->alive) return std::nullopt;
    Json reply = {{"clockMs", this->ClockMs()},
                  {"running", Json::array()},
                  {"endedRuns", Json::array()}};
    for (const auto& [task, run] : this->running) {
      reply["running"].push_back({task, run.run, "", 50, 0});
    }
    for (const Ended& one : this->ended) {
      reply["endedRuns"].push_back(
          {one.number, one.task, one.run, one.how, ""});
    }
    return Response{200, reply.dump()};
  }

  Parts parts;
  const Clock::time_point started = Clock::now();
  std::atomic<bool> alive{false};
  std::mutex mutex;
  std::condition_variable changed;
  std::int64_t token = 0;
  std::int64_t lease_ms = 0;
  std::int64_t sequence = 0;
  std::int64_t next_end = 1;
  std::map<std::string, Running> running;
  std::map<std::string, std::int64_t> closed;
  std::vector<Ended> ended;
  std::thread ticker;
  Server server;
};

/// One process of the scheduler, started as the deploy file says.
class Scheduler {
 public:
  Scheduler(const std::string& program, const std::string& folder, int number,
            const std::string& store, Record* record)
      : program(program),
        name("edge-z1-" + std::to_string(number)),
        record(record) {
    this->callers = FreePort();
    this->readiness = FreePort();
    this->settings = folder + "/" + this->name + ".jsonc";
    this->log = folder + "/" + this->name + ".log";
    const Json settings = {
        {"process", this->name},
        {"data_center", "z1"},
        {"callers", "127.0.0.1:" + std::to_string(this->callers)},
        {"readiness", "127.0.0.1:" + std::to_string(this->readiness)},
        {"peers", "127.0.0.1:" + std::to_string(FreePort())},
        {"operators", "127.0.0.1:" + std::to_string(FreePort())},
        {"store", store},
        {"processor_share", 0.25},
        {"processors", 1},
        {"memory_mb", 260},
        {"store_writes_per_s", 400},
        {"configuration_bound_ms", 2000},
        {"platform_policies",
         "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"},
        {"grace_s", 6}};
    std::ofstream(this->settings) << settings.dump(1);
  }
  ~Scheduler() { this->Kill(); }
  void Start() {
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd =
          open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("MUSTARDPROXY_SETTINGS", this->settings.c_str(), 1);
      execl(this->program.c_str(), this->program.c_str(), "cell", nullptr);
      _exit(127);
    }
    this->record->Write("process " + this->name + " started");
  }
  void Signal(int signal) const {
    if (this->pid > 0) kill(this->pid, signal);
  }
  void Kill() {
    if (this->pid <= 0) return;
    kill(this->pid, SIGCONT);
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
  [[nodiscard]] bool Ready() const {
    const auto answer =
        Call(this->readiness, "GET", "/-/ready", {{"Host", "x"}}, "", 500);
    return answer && answer->status == 200;
  }
  [[nodiscard]] int Callers() const { return this->callers; }
  [[nodiscard]] const std::string& Name() const { return this->name; }
  [[nodiscard]] const std::string& Log() const { return this->log; }

 private:
  std::string program;
  std::string name;
  Record* record;
  std::string settings;
  std::string log;
  int callers = 0;
  int readiness = 0;
  pid_t pid = -1;
};

inline std::string DesiredState(std::int64_t version) {
  const Json route = {{"name", "queue"},    {"host", "jobs.example"},
                      {"prefix", "/jobs/"}, {"service", "svc"},
                      {"priority", 1},      {"maxAttempts", 4},
                      {"stretch", 2.2},     {"targetDurationMs", 3000}};
  return Json{{"version", version},
              {"routes", Json::array({route})},
              {"services",
               Json::array({{{"name", "svc"}, {"rejectsOverload", false}}})},
              {"limits", Json::object()}}
      .dump();
}

/// Ends the script; the threads of the stand-ins are not waited for.
[[noreturn]] inline void Quit(
    const std::vector<std::unique_ptr<Scheduler>>& all, int code) {
  for (const auto& one : all) one->Kill();
  std::fflush(stdout);
  std::_Exit(code);
}

/// If a process is not ready within 15 s, the end of its log goes into the
/// record, and the script could not run.
inline void AwaitReady(const std::vector<std::unique_ptr<Scheduler>>& all,
                       Record* record) {
  const auto end = Clock::now() + std::chrono::seconds(15);
  for (const auto& one : all) {
    while (!one->Ready()) {
      if (Clock::now() >= end) {
        std::ifstream log(one->Log());
        std::string text((std::istreambuf_iterator<char>(log)), {});
        if (text.size() > 3000) text.erase(0, text.size() - 3000);
        record->Write(one->Name() + " doesn't become ready; its log:\n" + text);
        Quit(all, 2);
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
}

}  // namespace review
