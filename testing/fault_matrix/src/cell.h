#ifndef MUSTARDPROXY_FAULT_MATRIX_CELL_H_
#define MUSTARDPROXY_FAULT_MATRIX_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry_process.h"
#include "faults.h"
#include "model_platform.h"
#include "model_worker.h"
#include "network.h"
#include "promises.h"
#include "simulation.h"

namespace mustardproxy::fault_matrix {

/// One schedule: a seed, and what the faults in it are limited to.
struct ScheduleOptions {
  std::uint64_t seed = 1;
  /// Set: the first fault strikes there, or is this one.
  std::optional<Step> step;
  std::optional<Fault> fault;
  ModelWorker::Rules rules;
  /// Prints what happens.
  bool verbose = false;
};

/// What one schedule came to.
struct ScheduleResult {
  std::vector<PlannedFault> faults;
  std::vector<std::string> broken;
  std::int64_t sent = 0;
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t runs = 0;
};

/// A callers' end of the network; it never fails by itself.
class CallerNode : public Node {
 public:
  explicit CallerNode(Simulation* simulation) : Node(simulation, "callers") {}
  void Start() { this->Begin(); }

 protected:
  void OnKilled() override {}
  void OnStarted() override {}
};

/// Two data centres with three entry processes, four workers, a platform and
/// callers.
class Cell : public FaultEffects {
 public:
  explicit Cell(const ScheduleOptions& options);

  ScheduleResult Run();
  void Apply(const PlannedFault& fault, const Call& call) override;

 private:
  struct Arrival {
    std::string service;
    std::string key;
    std::size_t entry = 0;
    Instant at;
    bool cancelled = false;
  };

  void Build();
  void PlanWork();
  void Send(const Arrival& arrival);
  void Arrive(EntryProcess* entry, const Arrival& arrival);
  void ChangeConfiguration();
  void ChangeHostList();
  void PushNews();
  void Push(EntryProcess* process, Step step, std::function<Event()> news);
  void StopGracefully();
  void Heal();
  void AskResults();
  /// What a paused node has received is not known to the promises yet.
  [[nodiscard]] bool AnyPaused() const;
  [[nodiscard]] bool Reaches(const EntryProcess& process) const;
  [[nodiscard]] TaskScript Script(const RequestId& request);

  ScheduleOptions options;
  Simulation simulation;
  FaultPlan plan;
  Network network;
  Promises promises;
  ModelPlatform platform;
  CallerNode callers;
  std::vector<std::unique_ptr<ModelWorker>> workers;
  std::vector<std::unique_ptr<EntryProcess>> processes;
  Surroundings around;
  std::map<RequestId, TaskScript> scripts;
  std::map<std::string, ConfigurationVersion> pushed_configuration;
  std::map<std::string, std::int32_t> pushed_hosts;
  std::int32_t hosts_version = 1;
  std::map<std::uint64_t, RequestId> questions;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_CELL_H_
