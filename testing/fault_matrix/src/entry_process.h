#ifndef MUSTARDPROXY_FAULT_MATRIX_ENTRY_PROCESS_H_
#define MUSTARDPROXY_FAULT_MATRIX_ENTRY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model_platform.h"
#include "model_worker.h"
#include "mustardproxy/core/core.h"
#include "network.h"
#include "node.h"
#include "promises.h"

namespace mustardproxy::fault_matrix {

class EntryProcess;

/// Everything that an entry process can call, and what surrounds it.
struct Surroundings {
  Network* network = nullptr;
  Promises* promises = nullptr;
  ModelPlatform* platform = nullptr;
  std::map<WorkerId, ModelWorker*> workers;
  std::map<ProcessId, EntryProcess*> processes;
  std::function<TaskScript(const RequestId&)> script;
  /// Prints the time line of all processes.
  bool trace = false;
  /// Callers get their answers here.
  std::function<void(const RequestId&)> on_accepted;
  std::function<void(const RequestId&, const Answer&)> on_answer;
  std::function<void(std::uint64_t, const std::optional<DeferredStatus>&)>
      on_query_answer;
};

/// A core and the traffic threads around it.
class EntryProcess : public Node {
 public:
  EntryProcess(Simulation* simulation, Surroundings* around,
               CoreOptions options)
      : Node(simulation, options.self.process.Text()),
        around(around),
        options(std::move(options)) {}

  void Start() { this->Begin(); }
  void Stop() { this->End(); }
  /// An event of the outside world.
  void Deliver(Event event);
  [[nodiscard]] const Core* TheCore() const { return this->core.get(); }
  [[nodiscard]] const ProcessId& Id() const {
    return this->options.self.process;
  }
  [[nodiscard]] bool Watches() const { return this->watches; }
  [[nodiscard]] RequestId NewRequestId();
  /// @return the current run's incarnation
  [[nodiscard]] Incarnation CurrentIncarnation() const {
    return this->options.incarnation;
  }

 protected:
  void OnKilled() override;
  void OnStarted() override;

 private:
  [[nodiscard]] Instant Local() const;
  void Handle(Event event);
  void Wake();
  void Perform(const Action& action);

  void Do(const Reply& action);
  void Do(const ReplyAccepted& action);
  void Do(const AnswerQuery& action);
  void Do(const QueryPeer& action);
  void Do(const ForwardRequest& action);
  void Do(const ForwardCancel& action);
  void Do(const AttachWorker& action);
  void Do(const RenewWorker& action);
  void Do(const ReleaseWorker& action);
  void Do(const StartTask& action);
  void Do(const StopTask& action);
  void Do(const QueryTask& action);
  void Do(const SendDigest& action);
  void Do(const FetchConfiguration& action);
  void Do(const WatchConfiguration& action);
  void Do(const AppendJournal& action);
  void Do(const ListJournals& action);
  void Do(const ReadJournal& action);
  void Do(const TrimJournal& action);
  /// Schedules are far shorter than the time that claims are kept.
  void Do(const SweepClaims& /*action*/) {}
  void Do(const ClaimKey& action);
  void Do(const ResolveKeyClaim& action);
  void Do(const RecordEvent& action);
  void Do(const RecordSample& /*action*/) {}
  void Do(const ShutdownFinished& action);

  /// A call to a worker that ends in the event it answers with.
  void CallWorker(const WorkerId& worker, Step step,
                  std::function<Event(ModelWorker*)> work, Event lost);
  /// Reaches the step "runs" some time in the run of a task that has started.
  void WatchRun(const StartTask& action, ModelWorker* worker, Duration run);
  [[nodiscard]] Step StepOf(const QueryPeer& action) const;
  [[nodiscard]] bool Configured() const;
  void CallPlatform(Step step, std::function<void(Respond)> work,
                    std::function<void()> lost);
  void ReadBack(const JournalBatch& batch);
  void NotePlatform(bool reachable);
  void Probe();
  void SettleWithRetries(const ResolveKeyClaim& action, std::int32_t tries);

  Surroundings* around;
  CoreOptions options;
  std::unique_ptr<Core> core;
  Duration clock_offset{0};
  std::uint64_t wake_order = 0;
  std::int32_t last_request = 0;
  bool watches = false;
  bool platform_reachable = true;
  std::optional<Digest> own_digest;
  /// Who waits for a forwarded request's answer.
  std::map<RequestId, std::vector<std::function<void(Event)>>> forwarded;
  /// Who waits for the answer to a peer's question.
  std::map<std::uint64_t, std::function<void(std::optional<DeferredStatus>)>>
      peer_queries;
  std::uint64_t last_peer_query = std::uint64_t{1} << 63U;
  /// When this process learnt that a worker leaves.
  std::map<WorkerId, Instant> leaving_since;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_ENTRY_PROCESS_H_
