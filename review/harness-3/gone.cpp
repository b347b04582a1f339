// The process that owns the cell is killed and never comes back; half a second
// later the worker that runs a lasting job is lost for good. Two processes and
// seven workers stay.
#include <cstdio>

#include "cell.hpp"

using namespace review;

namespace {

constexpr int kWorkers = 8;
/// From 6 s after its last run a task that lasts may have nothing running for
/// less than 3 s, if these and the 4 s before them are calm.
constexpr int kSinceLastRunMs = 6000;
constexpr int kIdleMs = 3000;

/// @return the process whose log tells of the latest election
Scheduler* FindOwner(const std::vector<std::unique_ptr<Scheduler>>& all) {
  Scheduler* owner = nullptr;
  std::int64_t latest = 0;
  for (const auto& one : all) {
    std::ifstream log(one->Log());
    for (std::string line; std::getline(log, line);) {
      const Json event = Json::parse(line, nullptr, false);
      if (!event.is_object() || event.value("event", "") != "elected") continue;
      const auto token = event.value("token", std::int64_t{0});
      if (token > latest) owner = one.get();
      latest = std::max(latest, token);
    }
  }
  return owner;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string program = argv[1];
  const std::string folder = argv[2];
  Record record(argv[3]);
  const std::string disruption = argv[4];
  if (disruption != "with" && disruption != "without") return 2;
  const bool trouble = disruption == "with";
  record.Write(disruption + " the disruption");
  Store store;
  store.Up();
  Ledger ledger;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(
        Worker::Parts{.id = "i-" + std::to_string(i),
                      .rack = "r" + std::to_string(i / 4),
                      .store = &store,
                      .record = &record,
                      .ledger = &ledger}));
    workers.back()->Up();
  }
  store.Put("op/config", DesiredState(3));
  std::vector<std::unique_ptr<Scheduler>> schedulers;
  for (int i = 1; i <= 3; ++i) {
    schedulers.push_back(std::make_unique<Scheduler>(program, folder, i,
                                                     store.Address(), &record));
    schedulers.back()->Start();
  }
  AwaitReady(schedulers, &record);
  // Calm for longer than a takeover takes.
  std::this_thread::sleep_for(std::chrono::seconds(20));
  Scheduler* owner = FindOwner(schedulers);
  if (owner == nullptr) Quit(schedulers, 2);
  Scheduler* caller = nullptr;
  for (const auto& one : schedulers) {
    if (one.get() != owner) caller = one.get();
  }

  const std::string id = "f000000000000001";
  const auto call = [&](const std::string& method, const std::string& body) {
    const auto answer =
        Call(caller->Callers(), method, "/jobs/" + id,
             {{"Host", "jobs.example"}, {"X-Request-Timeout-Ms", "3000"}}, body,
             3000);
    record.Write(method + " " + id + " -> " +
                 (answer ? std::to_string(answer->status) + " " + answer->body
                         : std::string("no answer")));
    return answer;
  };
  const Json job = {{"spec", "work=100000000"},
                    {"steps", Json::array({{{"count", 2},
                                            {"cpu", 2000},
                                            {"memMb", 1000},
                                            {"estimatedMs", 1000},
                                            {"longRunning", true}}})}};
  const auto accepted = call("POST", job.dump());
  if (!accepted || accepted->status != 200) Quit(schedulers, 2);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::string worker;
  {
    const std::lock_guard lock(ledger.mutex);
    for (const Run& run : ledger.runs) {
      if (run.how == "open") worker = run.worker;
    }
  }
  if (worker.empty()) Quit(schedulers, 2);
  if (trouble) {
    record.Write("process " + owner->Name() +
                 " owns the cell and is gone for good");
    owner->Kill();
    std::this_thread::sleep_for(milliseconds(500));
    for (const auto& one : workers) {
      if (one->Id() == worker) one->Crash();
    }
  }
  const auto lost = Clock::now();
  bool forgotten = false;
  while (MsSince(lost) < 22000) {
    std::this_thread::sleep_for(milliseconds(50));
    if (trouble && !forgotten && MsSince(lost) > 4500) {
      store.Remove("servers/" + worker);
      forgotten = true;
    }
  }
  (void)call("GET", "");
  int broken = 0;
  {
    const std::lock_guard lock(ledger.mutex);
    std::map<std::string, std::vector<Run>> runs;
    for (const Run& run : ledger.runs) runs[run.task].push_back(run);
    for (const auto& [task, all] : runs) {
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (all[i].ended_ms < 0) continue;
        const auto until =
            i + 1 < all.size() ? all[i + 1].begun_ms : MsSince(ledger.begun);
        const auto idle = until - all[i].ended_ms;
        record.Write(task + " has nothing running for " + std::to_string(idle) +
                     " ms");
        if (idle < kSinceLastRunMs + kIdleMs) continue;
        record.Write("BROKEN: LOST: " + task +
                     " has nothing running, though seven workers are idle");
        ++broken;
      }
    }
  }
  std::printf("%d broken\n", broken);
  Quit(schedulers, broken > 0 ? 1 : 0);
}
