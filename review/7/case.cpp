// Two workers of 24 have the label that some tasks need. Three times, 15 s
// apart, all that these two start fails for 6.5 s, while they answer well;
// then they are sound for good. A job that is handed in after the last time
// has to run there.
#include "../harness-2/cell.hpp"

using namespace review;

int main(int, char** arguments) {
  const bool trouble = Troubled();
  Record record(arguments[1]);
  const std::string folder = TemporaryFolder();
  std::mutex mutex;
  std::map<std::string, double> started;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 24; ++i) {
    workers.push_back(std::make_unique<Worker>(
        &store, &record, "w" + std::to_string(i), "rezerwacje",
        std::vector<std::string>{i < 2 ? "b" : "a",
                                 "r1-" + std::to_string(i / 8)},
        [&](const std::string& what, const std::string& task, std::int64_t) {
          const std::lock_guard lock(mutex);
          if (what == "start") started.emplace(task, record.Seconds());
        }));
  }
  store.Put("op/config",
            DesiredState(Json::array({Route("r-rota", "/rota/", 4)})));
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 0; i < 3; ++i) {
    machines.push_back(std::make_unique<Machine>(
        folder, &record, "edge-" + std::to_string(i + 1),
        store.server.Address(), ""));
    machines.back()->Start();
  }
  const bool up = WaitUntil(
      [&] {
        return std::all_of(machines.begin(), machines.end(),
                           [](const auto& one) { return one->Ready(); });
      },
      milliseconds(10'000));
  if (!up) return 2;
  std::this_thread::sleep_for(milliseconds(3000));

  Client client(&record, "client.example", "/rota/");
  int next = 0;
  const auto submit = [&](const std::string& kind, int work) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xd000 + next++);
    const Json job = {{"spec", "work=" + std::to_string(work)},
                      {"steps", Json::array({{{"count", 1},
                                              {"cpu", 1000},
                                              {"memMb", 500},
                                              {"estimatedMs", work},
                                              {"requirements", kind}}})}};
    const int status = client.Submit(machines[0]->callers, id, job);
    return status == 200 ? std::string(id) : std::string();
  };
  // A job of each kind every half second.
  const double begun = record.Seconds();
  std::string last;
  for (int tick = 0; tick < 74; ++tick) {
    const double at = 0.5 * tick;
    const bool failing =
        trouble && at < 36.5 && at - 15.0 * std::floor(at / 15.0) < 6.5;
    workers[0]->SetFailing(failing);
    workers[1]->SetFailing(failing);
    if (submit("a", 300).empty()) return 2;
    last = submit("b", 300);
    if (last.empty()) return 2;
    const double rest = begun + at + 0.5 - record.Seconds();
    if (rest > 0) {
      std::this_thread::sleep_for(milliseconds(static_cast<int>(1000 * rest)));
    }
  }
  const double traffic_ended = record.Seconds();
  const std::string task = last + ".0.0.0";
  const auto start_of_last = [&] {
    const std::lock_guard lock(mutex);
    const auto found = started.find(task);
    return found == started.end() ? 1e9 : found->second;
  };
  WaitUntil([&] { return start_of_last() < 1e9; }, milliseconds(60'000));
  std::this_thread::sleep_for(milliseconds(1000));
  client.State(machines[1]->callers, last);
  record.Write("traffic ended at " + std::to_string(traffic_ended) +
               ", the last job that needs b started at " +
               std::to_string(start_of_last()));
  const bool broken = start_of_last() >= traffic_ended + 17;
  record.Write(broken ? "BROKEN: LOST: from 14 s to 17 s after the end of the "
                        "traffic the job has nothing running, and two idle "
                        "workers with its label could run it"
                      : "held");
  return broken ? 1 : 0;
}
