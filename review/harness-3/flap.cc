// One of ten workers, the only one of its kind, goes down and up by turns for
// 6.5 s. Jobs that need its kind were accepted before. Their tasks never fail.
#include <cstdio>

#include "cell.h"

using namespace review;

namespace {

constexpr int kPeriodMs = 1400;
constexpr int kFlapMs = 6500;
constexpr int kJobs = 4;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  const std::string program = argv[1];
  const std::string folder = argv[2];
  Record record(argv[3]);
  const char* wanted = std::getenv("TROUBLE");
  const bool trouble = wanted == nullptr || std::string(wanted) != "0";
  Store store;
  store.Up();
  Ledger ledger;
  const auto make = [&](const std::string& id, int port, const std::string& kind) {
    return std::make_unique<Worker>(Worker::Parts{.id = id,
                                                  .port = port,
                                                  .kind = kind,
                                                  .rack = "r1",
                                                  .store = &store,
                                                  .record = &record,
                                                  .ledger = &ledger});
  };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 9; ++i) {
    workers.push_back(make("i-a" + std::to_string(i), 0, "a"));
    workers.back()->Up();
  }
  const int port = FreePort();
  int life = 0;
  std::unique_ptr<Worker> rare = make("i-b0", port, "b");
  rare->Up();
  store.Put("op/config", DesiredState(3));
  std::vector<std::unique_ptr<Scheduler>> schedulers;
  for (int i = 1; i <= 2; ++i) {
    schedulers.push_back(std::make_unique<Scheduler>(program, folder, i,
                                                     store.Address(), &record));
    schedulers.back()->Start();
  }
  if (!AwaitReady(schedulers)) {
    record.Write("the processes don't become ready");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));

  std::vector<std::string> ids;
  for (int i = 0; i < kJobs; ++i) ids.push_back("00000000000000b" + std::to_string(i));
  const auto call = [&](const std::string& method, const std::string& id,
                        const std::string& body) {
    const auto answer = Call(schedulers[0]->Callers(), method, "/jobs/" + id,
                             {{"Host", "jobs.example"}, {"X-Request-Timeout-Ms", "3000"}},
                             body, 3000);
    record.Write(method + " " + id + " -> " +
                 (answer ? std::to_string(answer->status) + " " + answer->body
                         : std::string("no answer")));
    return answer;
  };
  for (const std::string& id : ids) {
    const Json job = {{"spec", "work=1000"},
                      {"steps", Json::array({{{"count", 1},
                                              {"cpu", 2000},
                                              {"memMb", 1000},
                                              {"estimatedMs", 1000},
                                              {"requirements", "b"}}})}};
    const auto answer = call("POST", id, job.dump());
    if (!answer || answer->status != 200) return 2;
  }
  std::this_thread::sleep_for(milliseconds(300));
  std::vector<std::pair<std::string, Clock::time_point>> gone;
  if (trouble) {
    const auto end = Clock::now() + milliseconds(kFlapMs);
    while (Clock::now() < end) {
      rare->Crash();
      gone.emplace_back(rare->Id(), Clock::now() + milliseconds(4500));
      std::this_thread::sleep_for(milliseconds(kPeriodMs / 2));
      rare = make("i-b" + std::to_string(++life), port, "b");
      rare->Up();
      std::this_thread::sleep_for(milliseconds(kPeriodMs / 2));
      while (!gone.empty() && Clock::now() >= gone.front().second) {
        store.Remove("servers/" + gone.front().first);
        gone.erase(gone.begin());
      }
    }
    record.Write("the worker stays up from now on");
  }
  std::this_thread::sleep_for(milliseconds(4600));
  for (const auto& one : gone) store.Remove("servers/" + one.first);
  // Four tasks of a second each; the bound after the traffic is 14 s + 3 s.
  std::this_thread::sleep_for(std::chrono::seconds(17));

  int broken = 0;
  for (const std::string& id : ids) {
    const auto answer = call("GET", id, "");
    if (!answer || answer->status != 200) {
      record.Write("BROKEN: LOST: " + id + " was accepted and isn't known");
      ++broken;
      continue;
    }
    const std::string state = Json::parse(answer->body).value("state", "");
    int failed = 0;
    int starts = 0;
    {
      const std::lock_guard lock(ledger.mutex);
      for (const Run& run : ledger.runs) {
        if (run.task.rfind(id, 0) != 0) continue;
        ++starts;
        if (run.how == "failed") ++failed;
      }
    }
    record.Write(id + ": " + state + ", " + std::to_string(starts) + " starts, " +
                 std::to_string(failed) + " ended failed");
    if ((state == "failed" && failed < 4) || state == "cancelled") {
      record.Write("BROKEN: LOST: " + id + " is shown as " + state +
                   " without cause: none of its runs ended failed");
      ++broken;
    }
  }
  for (const auto& one : schedulers) one->Kill();
  std::printf("%d broken\n", broken);
  std::fflush(stdout);
  std::_Exit(broken > 0 ? 1 : 0);
}
