// Stand-ins of the platform as PROTOCOL.md describes it: the store, workers
// and the policy service. Each case composes what it needs.
#pragma once

#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Writes record.txt, with seconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path)
      : file(std::fopen(path.c_str(), "w")), begun(Clock::now()) {}
  void Write(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", this->Seconds(), text.c_str());
    std::fflush(this->file);
  }
  [[nodiscard]] double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - this->begun).count();
  }

 private:
  std::mutex mutex;
  std::FILE* file;
  Clock::time_point begun;
};

inline std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto at = [&](std::size_t j) {
      return j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U;
    };
    const unsigned three = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
    text += kDigits[three >> 18];
    text += kDigits[three >> 12 & 63];
    text += i + 1 < bytes.size() ? kDigits[three >> 6 & 63] : '=';
    text += i + 2 < bytes.size() ? kDigits[three & 63] : '=';
  }
  return text;
}

// The metadata store. Values are kept as the base64 text that was written.
class Store {
 public:
  Store()
      : server([this](const Request& r) { return this->Handle(r); }),
        ticker([this] { this->Tick(); }) {
    this->server.Open();
  }
  ~Store() {
    this->stopping = true;
    this->changed.notify_all();
    this->ticker.join();
    this->server.Close();
  }

  // What the operator and the workers write.
  void Put(const std::string& key, const Json& value) {
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->Write(key, Base64(value.dump()), 0);
    this->changed.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    if (!this->items.contains(key)) return;
    ++this->revision;
    this->Erase(key);
    this->changed.notify_all();
  }

  Server server;

 private:
  struct Item {
    std::string value;
    std::int64_t revision, created, lease;
  };
  struct Lease {
    milliseconds ttl;
    Clock::time_point ends;
  };

  Json Format(const std::string& key, const Item& item) const {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }
  void Write(const std::string& key, const std::string& value,
             std::int64_t lease) {
    const auto found = this->items.find(key);
    const std::int64_t created =
        found == this->items.end() ? this->revision : found->second.created;
    const Item item{value, this->revision, created, lease};
    this->items[key] = item;
    this->events.push_back({this->revision, this->Format(key, item), key});
  }
  void Erase(const std::string& key) {
    this->items.erase(key);
    this->events.push_back(
        {this->revision,
         {{"key", key}, {"revision", this->revision}, {"deleted", true}},
         key});
  }
  void EndLease(std::int64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == id) keys.push_back(key);
    }
    if (!keys.empty()) ++this->revision;
    for (const std::string& key : keys) this->Erase(key);
    this->leases.erase(id);
    this->changed.notify_all();
  }
  void Tick() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      this->changed.wait_for(lock, milliseconds(10));
      std::vector<std::int64_t> over;
      for (const auto& [id, lease] : this->leases) {
        if (lease.ends <= Clock::now()) over.push_back(id);
      }
      for (const std::int64_t id : over) this->EndLease(id);
    }
  }
  std::optional<Response> Handle(const Request& r) {
    std::unique_lock lock(this->mutex);
    const auto reply = [](int status, const Json& body) {
      return Response{status, body.dump()};
    };
    const std::string keep = "/-/kv-keep/", end = "/-/kv-lease-end/";
    if (r.path == "/-/kv-key") {
      const std::string key = QueryField(r.query, "key");
      const auto found = this->items.find(key);
      if (found == this->items.end()) return reply(404, Json::object());
      Json body = this->Format(key, found->second);
      body["currentRev"] = this->revision;
      return reply(200, body);
    }
    if (r.path == "/-/kv-range") return this->Range(r);
    if (r.path == "/-/kv-watch") return this->Watch(r, &lock);
    if (r.path == "/-/kv-txn") return this->Commit(r);
    if (r.path == "/-/kv-lease") {
      const auto ttl = std::max<std::int64_t>(
          1000, Json::parse(r.body).value("ttlMs", std::int64_t{1000}));
      const std::int64_t id = this->next_lease++;
      this->leases[id] = {milliseconds(ttl), Clock::now() + milliseconds(ttl)};
      return reply(200, {{"lease", id}, {"ttlMs", ttl}});
    }
    if (r.path.starts_with(keep)) {
      const std::int64_t id = std::stoll(r.path.substr(keep.size()));
      const auto found = this->leases.find(id);
      if (found == this->leases.end()) return reply(404, Json::object());
      found->second.ends = Clock::now() + found->second.ttl;
      return reply(200, {{"lease", id}, {"ttlMs", found->second.ttl.count()}});
    }
    if (r.path.starts_with(end)) {
      this->EndLease(std::stoll(r.path.substr(end.size())));
      return reply(200, Json::object());
    }
    return reply(404, Json::object());
  }
  Response Range(const Request& r) const {
    const std::string prefix = QueryField(r.query, "prefix");
    const std::string after = QueryField(r.query, "after");
    Json list = Json::array();
    bool truncated = false;
    for (auto one = this->items.lower_bound(std::max(prefix, after));
         one != this->items.end() && one->first.starts_with(prefix); ++one) {
      if (!after.empty() && one->first <= after) continue;
      if (list.size() == 500) {
        truncated = true;
        break;
      }
      list.push_back(this->Format(one->first, one->second));
    }
    return {200, Json{{"items", list},
                      {"truncated", truncated},
                      {"currentRev", this->revision}}
                     .dump()};
  }
  Response Watch(const Request& r, std::unique_lock<std::mutex>* lock) {
    const std::string prefix = QueryField(r.query, "prefix");
    const std::int64_t after = std::stoll(QueryField(r.query, "after"));
    const auto until =
        Clock::now() + milliseconds(std::stoll(QueryField(r.query, "waitMs")));
    while (true) {
      Json found = Json::array();
      for (const Event& event : this->events) {
        if (event.revision > after && event.key.starts_with(prefix)) {
          found.push_back(event.shown);
        }
      }
      if (!found.empty() || Clock::now() >= until || this->stopping) {
        return {200,
                Json{{"events", found}, {"currentRev", this->revision}}.dump()};
      }
      this->changed.wait_until(*lock, until);
    }
  }
  Response Commit(const Request& r) {
    const Json body = Json::parse(r.body);
    Json current = Json::array();
    bool met = true;
    for (const Json& row : body.value("precondition", Json::array())) {
      const std::string key = row["key"];
      const auto found = this->items.find(key);
      const std::int64_t now =
          found == this->items.end() ? 0 : found->second.revision;
      if (now != row["revision"].get<std::int64_t>()) met = false;
      if (now != 0) current.push_back(this->Format(key, found->second));
    }
    if (!met) return {412, Json{{"items", current}}.dump()};
    for (const Json& row : body.value("puts", Json::array())) {
      const std::int64_t lease = row.value("lease", std::int64_t{0});
      if (lease != 0 && !this->leases.contains(lease)) return {404, "{}"};
    }
    ++this->revision;
    for (const Json& row : body.value("puts", Json::array())) {
      this->Write(row["key"], row["value"],
                  row.value("lease", std::int64_t{0}));
    }
    for (const Json& key : body.value("remove", Json::array())) {
      if (this->items.contains(key)) this->Erase(key);
    }
    this->changed.notify_all();
    return {200, Json{{"revision", this->revision}}.dump()};
  }

  struct Event {
    std::int64_t revision;
    Json shown;
    std::string key;
  };

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::map<std::int64_t, Lease> leases;
  // Never discarded: a case lasts two minutes at most.
  std::deque<Event> events;
  std::int64_t revision = 0;
  std::int64_t next_lease = 1000;
  std::atomic<bool> stopping = false;
  std::thread ticker;
};

// A worker and its machine. A crash ends its life; `Boot` begins another under
// a new id at the same address. A spec "work=MS" says how long a task takes.
class Worker {
 public:
  // What the case is told of: ("start" | end, task, run).
  using Observer = std::function<void(
      const std::string& what, const std::string& task, std::int64_t run)>;

  Worker(Store* store, Record* record, std::string name, std::string service,
         std::vector<std::string> labels, Observer observer)
      : store(store),
        record(record),
        name(std::move(name)),
        service(std::move(service)),
        labels(std::move(labels)),
        observer(std::move(observer)),
        server([this](const Request& r) { return this->Handle(r); }) {
    this->Boot();
    this->ticker = std::thread([this] { this->Tick(); });
  }
  ~Worker() {
    this->stopping = true;
    this->changed.notify_all();
    this->ticker.join();
    this->server.Close();
  }

  void Boot() {
    this->server.Open();
    const std::lock_guard lock(this->mutex);
    this->Begin();
  }
  // Power fails: what runs is gone, connections are reset, nothing is said to
  // the store. The entry goes after three intervals of silence.
  void Crash() {
    std::string former;
    {
      const std::lock_guard lock(this->mutex);
      this->alive = false;
      former = this->id;
      for (const auto& [run, one] : this->running) {
        this->record->Write("  lost with " + this->id + ": " + run.first +
                            " run " + std::to_string(run.second));
      }
      this->running.clear();
      this->lapsing.push_back(
          {former, Clock::now() + milliseconds(3 * kHeartbeatMs)});
    }
    this->record->Write("worker " + former + " crashes");
    this->changed.notify_all();
    this->server.Close();
  }
  // Cut off from all: nothing that arrives is answered, no heartbeat leaves,
  // and what runs runs on under its lease.
  void Cut() {
    const std::lock_guard lock(this->mutex);
    this->cut = true;
    this->record->Write("worker " + this->id + " is cut off");
  }
  // Crashes behind the cut and starts again, under a new id; the cut heals.
  void Reborn() {
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& [run, one] : this->running) {
        this->record->Write("  lost with " + this->id + ": " + run.first +
                            " run " + std::to_string(run.second));
        this->observer("lost", run.first, run.second);
      }
      this->lapsing.push_back(
          {this->id, Clock::now() + milliseconds(3 * kHeartbeatMs)});
      this->record->Write("worker " + this->id + " crashes behind the cut");
      this->Begin();
      this->cut = false;
    }
    this->changed.notify_all();
    this->server.ResetConnections();
  }
  // All that it starts from now on fails at once; it answers well.
  void SetFailing(bool failing) { this->failing = failing; }
  [[nodiscard]] bool Runs(const std::string& task) {
    const std::lock_guard lock(this->mutex);
    return std::any_of(
        this->running.begin(), this->running.end(),
        [&](const auto& one) { return one.first.first == task; });
  }
  [[nodiscard]] bool Alive() const { return this->alive; }
  [[nodiscard]] std::string Name() const { return this->name; }

 private:
  static constexpr std::int64_t kHeartbeatMs = 1500;
  static constexpr std::int64_t kMaxHoldMs = 10'000;
  static constexpr std::int64_t kStopMs = 100;
  using RunKey = std::pair<std::string, std::int64_t>;
  struct Running {
    Clock::time_point started, done_at;
    std::optional<Clock::time_point> stopped_at;
    bool fails = false;
  };

  void Begin() {
    this->id = "i-" + this->name + "-" + std::to_string(++this->life);
    this->booted = Clock::now();
    this->token = 0;
    this->lease_until = 0;
    this->running.clear();
    this->closed.clear();
    this->ended.clear();
    this->next_end = 1;
    this->alive = true;
    this->next_beat = Clock::now();
    this->record->Write("worker " + this->id + " boots");
  }
  std::int64_t ClockMs() const {
    return 1000 +
           std::chrono::duration_cast<milliseconds>(Clock::now() - this->booted)
               .count();
  }
  Response Refuse(const std::string& reason) const {
    return {409, Json{{"clockMs", this->ClockMs()}, {"reason", reason}}.dump()};
  }
  Response Accept() const {
    return {200, Json{{"clockMs", this->ClockMs()}}.dump()};
  }
  void Extend(std::int64_t until) {
    this->lease_until = std::max(this->lease_until,
                                 std::min(until, this->ClockMs() + kMaxHoldMs));
  }
  void End(const RunKey& run, const std::string& how) {
    this->running.erase(run);
    std::int64_t& closed = this->closed[run.first];
    closed = std::max(closed, run.second);
    this->ended.push_back(
        Json::array({this->next_end++, run.first, run.second, how, ""}));
    this->record->Write("  " + this->id + " ends " + run.first + " run " +
                        std::to_string(run.second) + " " + how);
    this->observer(how, run.first, run.second);
    this->changed.notify_all();
  }
  std::optional<Response> Handle(const Request& r) {
    std::unique_lock lock(this->mutex);
    const std::int64_t arrived = this->life;
    while (this->cut && this->alive && !this->stopping) {
      this->changed.wait_for(lock, milliseconds(20));
    }
    if (!this->alive || arrived != this->life) return std::nullopt;
    if (r.path == "/health") return Response{200, "{}"};
    const auto expected = r.headers.find("x-expect-instance");
    if (expected != r.headers.end() && expected->second != this->id) {
      return Response{421, Json{{"clockMs", this->ClockMs()}}.dump()};
    }
    const Json body = Json::parse(r.body, nullptr, false);
    if (!body.is_object()) return Response{400, "{}"};
    const std::int64_t given = body.value("fencingToken", std::int64_t{0});
    if (given < this->token) return this->Refuse("fence");
    this->token = given;
    const std::string task = body.value("task", "");
    const std::int64_t number = body.value("runId", std::int64_t{0});
    const std::int64_t deadline = body.value("deadlineMs", std::int64_t{0});
    if (r.path == "/-/run-start") {
      if (this->running.contains({task, number})) {
        this->Extend(deadline);
        return this->Accept();
      }
      const auto closed = this->closed.find(task);
      if (closed != this->closed.end() && number <= closed->second) {
        this->Extend(deadline);
        return this->Refuse("old");
      }
      if (deadline <= this->ClockMs()) return this->Refuse("late");
      this->Extend(deadline);
      const std::string spec = body.value("spec", "");
      const std::size_t mark = spec.find("work=");
      const std::int64_t work =
          mark == std::string::npos ? 1000 : std::stoll(spec.substr(mark + 5));
      Running one;
      one.started = Clock::now();
      one.fails = this->failing;
      one.done_at = one.started + milliseconds(one.fails ? 20 : work);
      this->running[{task, number}] = one;
      this->record->Write("  " + this->id + " starts " + task + " run " +
                          std::to_string(number));
      this->observer("start", task, number);
      return this->Accept();
    }
    if (r.path == "/-/run-stop") {
      std::int64_t& closed = this->closed[task];
      closed = std::max(closed, number);
      const auto found = this->running.find({task, number});
      if (found != this->running.end() && !found->second.stopped_at) {
        found->second.stopped_at = Clock::now() + milliseconds(kStopMs);
      }
      return this->Accept();
    }
    if (r.path != "/-/hold") return Response{404, "{}"};
    this->Extend(deadline);
    const std::int64_t seen = body.value("lastSeen", std::int64_t{0});
    std::erase_if(this->ended, [&](const Json& row) {
      return row[0].get<std::int64_t>() <= seen;
    });
    const auto until =
        Clock::now() + milliseconds(body.value("waitMs", std::int64_t{0}));
    const std::int64_t life = this->life;
    const std::int64_t end = this->next_end;
    while (this->alive && life == this->life && end == this->next_end &&
           this->ended.empty() && Clock::now() < until) {
      this->changed.wait_until(lock, until);
    }
    while (this->cut && life == this->life && !this->stopping) {
      this->changed.wait_for(lock, milliseconds(20));
    }
    if (!this->alive || life != this->life) return std::nullopt;
    Json runs = Json::array();
    for (const auto& [run, one] : this->running) {
      const double all =
          std::chrono::duration<double>(one.done_at - one.started).count();
      const double done =
          std::chrono::duration<double>(Clock::now() - one.started).count();
      runs.push_back(Json::array(
          {run.first, run.second, "",
           static_cast<int>(std::clamp(100 * done / all, 0.0, 99.0))}));
    }
    return Response{200, Json{{"clockMs", this->ClockMs()},
                              {"running", runs},
                              {"endedRuns", this->ended}}
                             .dump()};
  }
  void Tick() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      this->changed.wait_for(lock, milliseconds(5));
      const auto now = Clock::now();
      std::vector<std::string> lapsed;
      std::erase_if(this->lapsing, [&](const auto& one) {
        if (one.second > now) return false;
        lapsed.push_back(one.first);
        return true;
      });
      for (const std::string& one : lapsed)
        this->store->Remove("servers/" + one);
      if (!this->alive) continue;
      if (now >= this->next_beat && !this->cut) {
        this->next_beat = now + milliseconds(kHeartbeatMs);
        this->Report();
      }
      const bool lapse = this->ClockMs() >= this->lease_until;
      std::vector<std::pair<RunKey, std::string>> over;
      for (const auto& [run, one] : this->running) {
        if (lapse) {
          over.emplace_back(run, "lapsed");
        } else if (one.stopped_at && now >= *one.stopped_at) {
          over.emplace_back(run, "stopped");
        } else if (now >= one.done_at) {
          over.emplace_back(run, one.fails ? "failed" : "done");
        }
      }
      for (const auto& [run, how] : over) this->End(run, how);
    }
  }
  void Report() {
    this->store->Put(
        "servers/" + this->id,
        {{"service", this->service},
         {"address", this->server.Address()},
         {"zone", "zone-a"},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"},
         {"coldRemainingMs", 0},
         {"capacity", {{"cpu", 16000}, {"memMb", 65536}, {"gpu", 0}}},
         {"labels", this->labels},
         {"clockMs", this->ClockMs()},
         {"sequence", ++this->sequence}});
  }

  Store* store;
  Record* record;
  const std::string name, service;
  const std::vector<std::string> labels;
  const Observer observer;
  std::mutex mutex;
  std::condition_variable changed;
  std::atomic<bool> alive = false;
  std::atomic<bool> failing = false;
  bool cut = false;
  std::atomic<bool> stopping = false;
  std::string id;
  std::int64_t life = 0;
  std::int64_t sequence = 0;
  Clock::time_point booted, next_beat;
  std::int64_t token = 0, lease_until = 0, next_end = 1;
  std::map<RunKey, Running> running;
  std::map<std::string, std::int64_t> closed;
  std::vector<Json> ended;
  std::vector<std::pair<std::string, Clock::time_point>> lapsing;
  Server server;
  std::thread ticker;
};

// The policy service: permits every worker that it is asked about, after
// `decision` and `each` for each of them, one call at a time.
class Policy {
 public:
  Policy(Record* record, milliseconds decision, milliseconds each,
         milliseconds validity)
      : record(record),
        decision(decision),
        each(each),
        validity(validity),
        server([this](const Request& r) { return this->Handle(r); }) {
    this->server.Open();
  }
  ~Policy() { this->server.Close(); }
  // Number of questions that have arrived.
  [[nodiscard]] int Asked() const { return this->asked; }

 private:
  std::optional<Response> Handle(const Request& r) {
    if (r.path != "/-/advise") return Response{404, "{}"};
    ++this->asked;
    const Json body = Json::parse(r.body, nullptr, false);
    this->record->Write("  policy service is asked about " +
                        body.value("step", "") + ", " +
                        std::to_string(body["workers"].size()) + " workers");
    const std::lock_guard lock(this->turn);
    std::this_thread::sleep_for(
        this->decision + this->each * static_cast<int>(body["workers"].size()));
    Json good = Json::array();
    for (const Json& worker : body["workers"]) {
      good.push_back(Json::array({worker, "t-" + worker.get<std::string>()}));
    }
    return Response{
        200,
        Json{{"good", good}, {"validityMs", this->validity.count()}}.dump()};
  }

  Record* record;
  const milliseconds decision, each, validity;
  std::atomic<int> asked = 0;
  std::mutex turn;

 public:
  Server server;
};

}  // namespace review
