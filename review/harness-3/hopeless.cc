// Three of sixty jobs can never be done. They need a kind of worker of which
// there is one. Sound jobs that need it come twice a second.
#include <cstdio>

#include "cell.h"

using namespace review;

namespace {

constexpr int kTrafficMs = 19000;
/// `finish_s` of the site, and the span in which nothing of a job runs.
constexpr int kFinishMs = 14000;
constexpr int kIdleMs = 3000;

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
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 10; ++i) {
    const std::string kind = i == 9 ? "b" : "a";
    workers.push_back(std::make_unique<Worker>(
        Worker::Parts{.id = "i-" + kind + std::to_string(i),
                      .kind = kind,
                      .store = &store,
                      .record = &record,
                      .ledger = &ledger}));
    workers.back()->Up();
  }
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
  const auto submit = [&](const std::string& id, const std::string& spec,
                          const std::string& kind) {
    const Json job = {{"spec", spec},
                      {"steps", Json::array({{{"count", 1},
                                              {"cpu", 500},
                                              {"memMb", 1000},
                                              {"estimatedMs", 800},
                                              {"requirements", kind}}})}};
    const auto answer = call("POST", id, job.dump());
    return answer && answer->status == 200;
  };
  const auto id_of = [](char kind, int number) {
    char text[17];
    std::snprintf(text, sizeof(text), "%c%015d", kind, number);
    return std::string(text);
  };

  // Sixty jobs in the first 3 s; at most three of them can never be done.
  const auto begun = Clock::now();
  for (int i = 0; i < 60; ++i) {
    const bool hopeless = trouble && (i == 10 || i == 12 || i == 14);
    const bool accepted = hopeless ? submit(id_of('e', i), "work=300 fail", "b")
                                   : submit(id_of('a', i), "work=800", "a");
    if (!accepted) return 2;
    std::this_thread::sleep_until(begun + milliseconds(50 * (i + 1)));
  }
  std::vector<std::string> sound;
  while (MsSince(begun) < kTrafficMs) {
    sound.push_back(id_of('b', static_cast<int>(sound.size())));
    if (!submit(sound.back(), "work=800", "b")) return 2;
    std::this_thread::sleep_for(milliseconds(500));
  }
  record.Write("the traffic ends");
  std::this_thread::sleep_until(begun + milliseconds(kTrafficMs + kFinishMs));
  record.Write("finish_s is over; jobs are looked at for 3 s");
  // A job that has nothing running all the while.
  std::map<std::string, bool> idle;
  for (const std::string& id : sound) idle[id] = true;
  const auto end = Clock::now() + milliseconds(kIdleMs);
  while (Clock::now() < end) {
    {
      const std::lock_guard lock(ledger.mutex);
      for (const Run& run : ledger.runs) {
        if (run.how == "open" || run.how == "done") idle[run.task.substr(0, 16)] = false;
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  int broken = 0;
  for (const std::string& id : sound) {
    const auto answer = call("GET", id, "");
    if (!idle[id]) continue;
    record.Write("BROKEN: LOST: " + id +
                 " has nothing running, though its worker is up and idle");
    ++broken;
  }
  // Until when it goes on.
  const auto limit = begun + std::chrono::seconds(85);
  bool waits = broken > 0;
  while (waits && Clock::now() < limit) {
    std::this_thread::sleep_for(milliseconds(200));
    waits = false;
    const std::lock_guard lock(ledger.mutex);
    for (const std::string& id : sound) {
      waits = waits || std::none_of(ledger.runs.begin(), ledger.runs.end(),
                                    [&](const Run& run) { return run.task.rfind(id, 0) == 0; });
    }
  }
  for (const auto& one : schedulers) one->Kill();
  std::printf("%d broken\n", broken);
  std::fflush(stdout);
  std::_Exit(broken > 0 ? 1 : 0);
}
