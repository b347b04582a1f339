// Six processes, ten workers that take 64 channels each, one of them the only
// one of its kind. Jobs of 32 tasks that need it come every 2 s. The store
// turns the owner and one more process away for 9 s, twice.
#include <cstdio>

#include "cell.hpp"

using namespace review;

namespace {

constexpr int kProcesses = 6;
constexpr int kWorkers = 10;
constexpr std::size_t kChannels = 64;
constexpr int kTrafficMs = 26000;
constexpr int kAwayMs = 9000;
/// `finish_s` of the site, and the span in which nothing of a job runs.
constexpr int kFinishMs = 14000;
constexpr int kIdleMs = 3000;

/// @return the number of the process whose log tells of the latest election
int FindOwner(const std::vector<std::unique_ptr<Scheduler>>& all) {
  int owner = -1;
  std::int64_t latest = 0;
  for (int i = 0; i < kProcesses; ++i) {
    std::ifstream log(all[i]->Log());
    for (std::string line; std::getline(log, line);) {
      if (line.find("\"elected\"") == std::string::npos) continue;
      const Json event = Json::parse(line, nullptr, false);
      if (!event.is_object() || event.value("event", "") != "elected") continue;
      const auto token = event.value("token", std::int64_t{0});
      if (token > latest) owner = i;
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
                      .kind = i == kWorkers - 1 ? "b" : "a",
                      .rack = "r" + std::to_string(i / 5),
                      .way = milliseconds(5),
                      .channels = kChannels,
                      .store = &store,
                      .record = &record,
                      .ledger = &ledger}));
    workers.back()->Up();
  }
  store.Put("op/config", DesiredState(3));
  std::vector<std::atomic<bool>> away(kProcesses);
  std::vector<std::unique_ptr<Scheduler>> schedulers;
  for (int i = 0; i < kProcesses; ++i) {
    schedulers.push_back(std::make_unique<Scheduler>(
        program, folder, i + 1, store.AddWay(&away[i])->Address(), &record));
    schedulers.back()->Start();
  }
  AwaitReady(schedulers, &record);
  std::this_thread::sleep_for(std::chrono::seconds(3));

  std::mutex mutex;
  std::vector<std::pair<std::string, std::size_t>> accepted;
  const auto begun = Clock::now();
  std::thread caller([&] {
    int number = 0;
    for (int wave = 0; MsSince(begun) < kTrafficMs; ++wave) {
      for (int i = 0; i < 3; ++i, ++number) {
        const int tasks = i == 0 ? 32 : 10;
        char id[17];
        std::snprintf(id, sizeof(id), "%016d", number);
        const Json job = {
            {"spec", "work=500"},
            {"steps", Json::array({{{"count", tasks},
                                    {"cpu", 500},
                                    {"memMb", 500},
                                    {"estimatedMs", 500},
                                    {"requirements", i == 0 ? "b" : "a"}}})}};
        // The balancer sends callers to a process that is ready.
        for (int one = kProcesses - 1; one >= 0; --one) {
          if (away[one]) continue;
          const auto answer = Call(
              schedulers[one]->Callers(), "POST", std::string("/jobs/") + id,
              {{"Host", "jobs.example"}, {"X-Request-Timeout-Ms", "3000"}},
              job.dump(), 3000);
          record.Write(std::string("POST ") + id + " -> " +
                       (answer ? std::to_string(answer->status) : "no answer"));
          if (!answer || answer->status != 200) continue;
          const std::lock_guard lock(mutex);
          accepted.emplace_back(id, tasks);
          break;
        }
      }
      std::this_thread::sleep_until(begun + milliseconds(2000 * (wave + 1)));
    }
  });
  const auto channels = [&] {
    std::string text = "open channels (and resets over the cap):";
    for (const auto& one : workers) {
      text += " " + std::to_string(one->OpenChannels()) + "(" +
              std::to_string(one->ResetChannels()) + ")";
    }
    record.Write(text);
  };
  // One after the other; never more than two of the six at a time.
  int former = -1;
  for (const int at : {5000, 15000}) {
    std::this_thread::sleep_until(begun + milliseconds(at));
    channels();
    const int owner = FindOwner(schedulers);
    const int other = former >= 0 ? former : kProcesses - 2;
    if (owner < 0) Quit(schedulers, 2);
    record.Write("process " + schedulers[owner]->Name() + " owns the cell");
    former = owner;
    if (!trouble) continue;
    away[owner] = true;
    away[other] = true;
    record.Write("the store turns " + schedulers[owner]->Name() + " and " +
                 schedulers[other]->Name() + " away");
    std::this_thread::sleep_until(begun + milliseconds(at + kAwayMs));
    away[owner] = false;
    away[other] = false;
    record.Write("the store serves all");
  }
  caller.join();
  channels();
  record.Write("the traffic ends; process " +
               schedulers[FindOwner(schedulers)]->Name() + " owns the cell");
  std::this_thread::sleep_until(begun +
                                milliseconds(kTrafficMs + 2000 + kFinishMs));
  record.Write("finish_s is over; jobs are looked at for 3 s");
  channels();
  // Tasks of a job that are done, and whether one of them has run since.
  std::map<std::string, bool> idle;
  for (const auto& [id, tasks] : accepted) idle[id] = true;
  const auto end = Clock::now() + milliseconds(kIdleMs);
  while (Clock::now() < end) {
    {
      const std::lock_guard lock(ledger.mutex);
      std::map<std::string, std::set<std::string>> done;
      for (const Run& run : ledger.runs) {
        const std::string id = run.task.substr(0, 16);
        if (run.how == "open") idle[id] = false;
        if (run.how == "done") done[id].insert(run.task);
      }
      for (const auto& [id, tasks] : accepted) {
        if (done[id].size() == tasks) idle[id] = false;
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  int broken = 0;
  for (const auto& [id, tasks] : accepted) {
    if (!idle[id]) continue;
    record.Write(
        "BROKEN: LOST: " + id +
        " has nothing running, though all workers are up and have room");
    ++broken;
  }
  record.Write(std::to_string(accepted.size()) + " jobs were accepted, " +
               std::to_string(broken) + " stand still");
  // How long it goes on; not judged.
  while (broken > 0 && MsSince(begun) < 90000) {
    std::this_thread::sleep_for(milliseconds(200));
    const std::lock_guard lock(ledger.mutex);
    const bool goes_on = std::any_of(
        ledger.runs.begin(), ledger.runs.end(),
        [&](const Run& run) { return idle[run.task.substr(0, 16)]; });
    if (!goes_on) continue;
    record.Write("the first of them starts");
    break;
  }
  channels();
  std::printf("%d broken\n", broken);
  Quit(schedulers, broken > 0 ? 1 : 0);
}
