#ifndef MUSTARDPROXY_FAULT_MATRIX_CELL_H_
#define MUSTARDPROXY_FAULT_MATRIX_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry_process.h"
#include "faults.h"
#include "model_platform.h"
#include "model_worker.h"
#include "network.h"
#include "promises.h"
#include "schedule.h"
#include "simulation.h"

namespace mustardproxy::fault_matrix {

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
  explicit CallerNode(Simulation* simulation)
      : Node(simulation, std::string(kCallersName)) {}
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
  bool Apply(const PlannedFault& fault, const Call& call) override;

 private:
  struct Arrival {
    std::string service;
    std::string key;
    std::size_t entry = 0;
    Instant at;
    bool cancelled = false;
  };
  /// The run of an entry process that a request arrived at.
  struct Place {
    EntryProcess* entry = nullptr;
    std::uint64_t run = 0;
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
  void PlanPreparation(Instant from);
  void PlanCancellation(const RequestId& request, bool deferred);
  void HangUp(const RequestId& request);
  void CancelDeferred(const RequestId& request);
  void AskForResult(const RequestId& request);
  EntryProcess* AnyProcess();
  void Heal();

  bool FailWorker(const PlannedFault& fault, const Call& call);
  bool KillWorker(const PlannedFault& fault, const Call& call);
  bool StopProcess(const Call& call);
  bool LapseLeases(const PlannedFault& fault, const Call& call);
  bool CancelNearlyAll();
  bool LetHostLeave(const PlannedFault& fault, const Call& call);
  void ReturnHost(std::size_t host, bool replaced);
  bool CutDataCenter(const PlannedFault& fault, const Call& call);
  bool RaceOperators();
  /// @return the process at one end of a call, if there is one
  [[nodiscard]] EntryProcess* ProcessOf(const Call& call) const;
  /// @return the worker at one end of a call, or one with which the process
  ///   there has to do
  std::size_t WorkerFor(const Call& call);
  void AskResults();
  /// What a paused node has received is not known to the promises yet.
  [[nodiscard]] bool AnyPaused() const;
  /// Also work that nobody was told to be accepted must have ended.
  [[nodiscard]] bool AllIdle() const;
  [[nodiscard]] bool Reaches(const EntryProcess& process) const;
  [[nodiscard]] TaskScript Script(const RequestId& request);

  ScheduleOptions options;
  Simulation simulation;
  Preparation preparation;
  FaultPlan plan;
  Network network;
  Promises promises;
  ModelPlatform platform;
  CallerNode callers;
  std::vector<std::unique_ptr<ModelWorker>> workers;
  std::vector<std::unique_ptr<EntryProcess>> processes;
  Surroundings around;
  std::map<RequestId, TaskScript> scripts;
  std::map<RequestId, Place> places;
  Duration long_runs{0};
  std::map<std::string, ConfigurationVersion> pushed_configuration;
  std::map<std::string, std::int32_t> pushed_hosts;
  std::int32_t hosts_version = 1;
  std::set<std::size_t> leaving_hosts;
  std::uint64_t last_question = 0;
  /// Questions under load, and those at the end.
  std::map<std::uint64_t, RequestId> early_questions;
  std::map<std::uint64_t, RequestId> questions;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_CELL_H_
