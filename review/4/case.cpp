// Three machines, eight workers, one queue with a policy. While the first job
// is asked about, the channel that carries the question is reset, three times
// within a second, on another machine each time. Nothing else happens. The job
// has to run.
#include "../harness-2/cell.hpp"

using namespace review;

int main(int, char** arguments) {
  const bool trouble = Troubled();
  Record record(arguments[1]);
  const std::string folder = TemporaryFolder();
  std::atomic<int> started = 0, done = 0;
  Store store;
  // As of rota-build on the site.
  Policy policy(&record, milliseconds(380), milliseconds(5),
                milliseconds(2000));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 8; ++i) {
    workers.push_back(std::make_unique<Worker>(
        &store, &record, "w" + std::to_string(i), "rezerwacje",
        std::vector<std::string>{"a", "r1-" + std::to_string(i / 4)},
        [&](const std::string& what, const std::string&, std::int64_t) {
          if (what == "start") ++started;
          if (what == "done") ++done;
        }));
  }
  Json route = Route("r-rota", "/rota/", 4);
  route["advice"] = {{"decisionMs", 380}, {"eachMs", 5}, {"validityMs", 2000}};
  store.Put("op/config", DesiredState(Json::array({route})));
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 0; i < 3; ++i) {
    machines.push_back(std::make_unique<Machine>(
        folder, &record, "edge-" + std::to_string(i + 1),
        store.server.Address(), policy.server.Address()));
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
  const std::string id = "00000000000000a1";
  const Json job = {{"spec", "work=1000"},
                    {"steps", Json::array({{{"count", 2},
                                            {"cpu", 2000},
                                            {"memMb", 1000},
                                            {"estimatedMs", 1000}}})}};
  if (client.Submit(machines[0]->callers, id, job) != 200) return 2;
  const double traffic_ended = record.Seconds();
  if (trouble) {
    for (int asked = 1; asked <= 3; ++asked) {
      if (!WaitUntil([&] { return policy.Asked() >= asked; },
                     milliseconds(2000))) {
        record.Write("question " + std::to_string(asked) + " did not come");
        break;
      }
      std::this_thread::sleep_for(milliseconds(50));
      record.Write("the channel of question " + std::to_string(asked) +
                   " is reset");
      policy.server.ResetConnections();
    }
  }
  // finish_s is 14. The rule gives three seconds more; the case gives 13 more.
  const bool ended = WaitUntil([&] { return done == 2; }, milliseconds(30'000));
  record.Write("traffic ended at " + std::to_string(traffic_ended) +
               ", starts: " + std::to_string(started) +
               ", done: " + std::to_string(done) +
               ", questions: " + std::to_string(policy.Asked()));
  const int first_starts = started;
  client.State(machines[1]->callers, id);
  if (!ended) {
    // What a next job brings about.
    const std::string next = "00000000000000a2";
    client.Submit(machines[0]->callers, next, job);
    WaitUntil([&] { return done == 4; }, milliseconds(10'000));
    client.State(machines[1]->callers, id);
    client.State(machines[1]->callers, next);
  }
  const bool broken = !ended && first_starts == 0;
  record.Write(broken
                   ? "BROKEN: LOST: nothing of the job has run 30 s after it "
                     "was accepted, on eight idle workers"
               : ended ? "held"
                       : "the job has started and not ended");
  return broken ? 1 : ended ? 0 : 2;
}
