// The only task of a job runs on a worker that is lost for good. A second
// later the machine that placed it is killed; it starts again half a second
// later. The task has to start elsewhere.
#include "../harness-2/cell.hpp"

using namespace review;

int main(int, char** arguments) {
  const bool trouble = Troubled();
  Record record(arguments[1]);
  const std::string folder = TemporaryFolder();
  std::mutex mutex;
  std::vector<double> starts;
  double done_at = 1e9;
  std::atomic<int> done = 0;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 8; ++i) {
    workers.push_back(std::make_unique<Worker>(
        &store, &record, "w" + std::to_string(i), "rezerwacje",
        std::vector<std::string>{"a", "r1-" + std::to_string(i / 4)},
        [&](const std::string& what, const std::string&, std::int64_t) {
          const std::lock_guard lock(mutex);
          if (what == "start") starts.push_back(record.Seconds());
          if (what == "done") done_at = record.Seconds();
          if (what == "done") ++done;
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
  const std::string id = "00000000000000c1";
  const Json job = {{"spec", "work=6000"},
                    {"steps", Json::array({{{"count", 1},
                                            {"cpu", 4500},
                                            {"memMb", 13000},
                                            {"estimatedMs", 6000}}})}};
  if (client.Submit(machines[0]->callers, id, job) != 200) return 2;
  const double traffic_ended = record.Seconds();
  const auto count = [&] {
    const std::lock_guard lock(mutex);
    return starts.size();
  };
  if (!WaitUntil([&] { return count() == 1; }, milliseconds(5000))) return 2;
  if (trouble) {
    std::this_thread::sleep_for(milliseconds(1000));
    for (const auto& worker : workers) {
      if (worker->Runs(id + ".0.0.0")) worker->Crash();
    }
    std::this_thread::sleep_for(milliseconds(1000));
    for (const auto& machine : machines) {
      if (!machine->Owns()) continue;
      machine->Kill();
      std::this_thread::sleep_for(milliseconds(500));
      machine->Start();
      break;
    }
  }
  WaitUntil([&] { return done == 1; }, milliseconds(60'000));
  client.State(machines[1]->callers, id);
  // From finish_s (14 s) after the end of the traffic on, the job may have
  // nothing running for less than 3 s.
  const double from = traffic_ended + 14, to = from + 3;
  // The first run is over once its worker has crashed.
  const double running_again = starts.size() > 1 ? starts[1]
                               : trouble         ? 1e9
                                                 : starts[0];
  record.Write("traffic ended at " + std::to_string(traffic_ended) +
               ", running again at " + std::to_string(running_again) +
               ", done at " + std::to_string(done_at));
  const bool broken = done_at > from && running_again >= to;
  record.Write(broken ? "BROKEN: LOST: from 14 s to 17 s after the end of the "
                        "traffic the job has nothing running, and seven idle "
                        "workers could run it"
                      : "held");
  return broken ? 1 : 0;
}
