// One worker of eight has the label that a task needs. It crashes three times,
// a few seconds after the task has started there, and comes back each time.
// No run ends as failed, so the job must not be shown as failed.
#include "../harness-2/cell.hpp"

using namespace review;

int main(int, char** arguments) {
  const bool trouble = Troubled();
  Record record(arguments[1]);
  const std::string folder = TemporaryFolder();
  std::atomic<int> started = 0, done = 0, failed = 0;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 8; ++i) {
    workers.push_back(std::make_unique<Worker>(
        &store, &record, "w" + std::to_string(i), "rezerwacje",
        std::vector<std::string>{i == 0 ? "b" : "a",
                                 "r1-" + std::to_string(i / 4)},
        [&](const std::string& what, const std::string&, std::int64_t) {
          if (what == "start") ++started;
          if (what == "done") ++done;
          if (what == "failed") ++failed;
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
  const std::string id = "00000000000000b1";
  const Json job = {{"spec", "work=6000"},
                    {"steps", Json::array({{{"count", 1},
                                            {"cpu", 4500},
                                            {"memMb", 13000},
                                            {"estimatedMs", 6000},
                                            {"requirements", "b"}}})}};
  if (client.Submit(machines[0]->callers, id, job) != 200) return 2;
  Worker& labelled = *workers[0];
  if (trouble) {
    for (int crash = 1; crash <= 3; ++crash) {
      if (!WaitUntil([&] { return started >= crash; }, milliseconds(20'000))) {
        record.Write("run " + std::to_string(crash) + " did not start");
        break;
      }
      std::this_thread::sleep_for(milliseconds(3000));
      labelled.Crash();
      std::this_thread::sleep_for(milliseconds(4000));
      labelled.Boot();
    }
  }
  std::string state;
  WaitUntil(
      [&] {
        std::this_thread::sleep_for(milliseconds(1000));
        state = client.State(machines[1]->callers, id);
        return state == "failed" || state == "completed";
      },
      milliseconds(40'000));
  record.Write("state: " + state + ", starts: " + std::to_string(started) +
               ", done: " + std::to_string(done) +
               ", failed: " + std::to_string(failed) + ", maxAttempts: 4");
  const bool broken = state == "failed" && failed == 0;
  record.Write(broken ? "BROKEN: LOST: the job is shown as failed, and no run "
                        "of it has ended as failed"
                      : "held");
  return broken ? 1 : state == "completed" ? 0 : 2;
}
