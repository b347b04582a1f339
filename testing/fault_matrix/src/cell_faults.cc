#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "cell.h"

// Faults that strike more than one call.
namespace mustardproxy::fault_matrix {
namespace {

/// Above the length of each lease that a process holds.
constexpr Duration kLongerThanLeases = std::chrono::seconds(6);
/// Callers of a wave that stay.
constexpr double kPatientCallers = 0.1;
/// Cuts of a data centre last longer than other faults.
constexpr std::int32_t kCutFactor = 4;
constexpr double kCutOffFromPlatformToo = 0.7;
constexpr double kReplaced = 0.5;
constexpr Duration kReplacement = std::chrono::milliseconds(500);

}  // namespace

bool Cell::Apply(const PlannedFault& fault, const Call& call) {
  switch (fault.fault) {
    case Fault::kPlatformDown:
      this->platform.GoDown(fault.lasting);
      return true;
    case Fault::kPlatformSlow:
      this->platform.BeSlow(fault.lasting);
      return true;
    case Fault::kPlatformRepliesLost:
      this->platform.LoseReplies(fault.lasting);
      return true;
    case Fault::kWorkerFailsAll:
      return this->FailWorker(fault, call);
    case Fault::kWorkerKilled:
      return this->KillWorker(fault, call);
    case Fault::kGracefulStop:
      return this->StopProcess(call);
    case Fault::kLeaseLapse:
      return this->LapseLeases(fault, call);
    case Fault::kCancellationWave:
      return this->CancelNearlyAll();
    case Fault::kHostLeaving:
      return this->LetHostLeave(fault, call);
    case Fault::kDataCenterCut:
      return this->CutDataCenter(fault, call);
    case Fault::kOperatorRace:
      return this->RaceOperators();
    default:
      return false;
  }
}

EntryProcess* Cell::ProcessOf(const Call& call) const {
  for (const Node* end : {call.from, call.to}) {
    const auto found = this->around.processes.find(ProcessId(end->Name()));
    if (found != this->around.processes.end()) {
      return found->second;
    }
  }
  return nullptr;
}

std::size_t Cell::WorkerFor(const Call& call) {
  const auto count = std::ssize(this->workers);
  const auto first = this->simulation.Draw(0, count - 1);
  const EntryProcess* process = this->ProcessOf(call);
  std::size_t best = 0;
  std::int32_t best_weight = -1;
  for (std::int64_t i = 0; i < count; ++i) {
    const auto at = static_cast<std::size_t>((first + i) % count);
    const ModelWorker& worker = *this->workers[at];
    if (&worker == call.to || &worker == call.from) {
      return at;
    }
    const bool held =
        process != nullptr &&
        worker.HeldBy(process->Id(), process->CurrentIncarnation());
    const std::int32_t weight = (held ? 2 : 0) + (worker.Busy() ? 1 : 0);
    if (weight > best_weight) {
      best = at;
      best_weight = weight;
    }
  }
  return best;
}

bool Cell::FailWorker(const PlannedFault& fault, const Call& call) {
  this->workers[this->WorkerFor(call)]->FailAll(fault.lasting);
  return true;
}

bool Cell::KillWorker(const PlannedFault& fault, const Call& call) {
  ModelWorker* worker = this->workers[this->WorkerFor(call)].get();
  const bool alive = worker->Alive();
  worker->Kill(fault.lasting);
  return alive;
}

bool Cell::StopProcess(const Call& call) {
  EntryProcess* process = this->ProcessOf(call);
  EntryProcess* chosen = process != nullptr ? process : this->AnyProcess();
  if (!chosen->Alive()) {
    return false;
  }
  this->simulation.After(Duration{0},
                         [chosen] { chosen->Deliver(ShutdownRequested{}); });
  return true;
}

bool Cell::LapseLeases(const PlannedFault& fault, const Call& call) {
  EntryProcess* process = this->ProcessOf(call);
  const auto held = [process](const auto& worker) {
    return worker->HeldBy(process->Id(), process->CurrentIncarnation());
  };
  if (process == nullptr || !std::ranges::any_of(this->workers, held)) {
    return false;
  }
  process->Pause(kLongerThanLeases + fault.lasting / 2);
  return true;
}

bool Cell::CancelNearlyAll() {
  bool any = false;
  for (const RequestId& request : this->promises.WaitingRequests()) {
    if (!this->simulation.Chance(kPatientCallers)) {
      this->HangUp(request);
      any = true;
    }
  }
  for (const RequestId& request : this->promises.OpenDeferred()) {
    if (!this->simulation.Chance(kPatientCallers)) {
      this->CancelDeferred(request);
      any = true;
    }
  }
  return any;
}

bool Cell::LetHostLeave(const PlannedFault& fault, const Call& call) {
  const std::size_t host = this->WorkerFor(call);
  if (this->platform.hosts[host].leaving) {
    return false;
  }
  this->platform.hosts[host].leaving = true;
  this->leaving_hosts.insert(host);
  ++this->hosts_version;
  this->simulation.After(Duration{0}, [this] { this->PushNews(); });
  const bool replaced = this->simulation.Chance(kReplaced);
  this->simulation.After(fault.lasting, [this, host, replaced] {
    this->ReturnHost(host, replaced);
  });
  return true;
}

void Cell::ReturnHost(std::size_t host, bool replaced) {
  if (this->leaving_hosts.erase(host) == 0) {
    return;
  }
  if (replaced) {
    this->workers[host]->Kill(kReplacement);
  }
  this->platform.hosts[host].leaving = false;
  ++this->hosts_version;
}

bool Cell::CutDataCenter(const PlannedFault& fault, const Call& call) {
  const std::set<std::string> first = {"p1", "p2", "w1", "w2", "w3"};
  const std::set<std::string> second = {"q1", "w4"};
  const bool in_second =
      second.contains(call.from->Name()) ||
      (!first.contains(call.from->Name()) && second.contains(call.to->Name()));
  std::set<std::string> inside = in_second ? second : first;
  if (!this->simulation.Chance(kCutOffFromPlatformToo)) {
    // The platform stays with the data centre, and the other one is cut off.
    inside.insert(this->platform.Name());
  }
  this->network.CutGroup(std::move(inside), kCutFactor * fault.lasting);
  return true;
}

bool Cell::RaceOperators() {
  bool any = false;
  for (int operators = 0; operators < 2; ++operators) {
    ++this->platform.configuration.version;
    for (const auto& process : this->processes) {
      if (!this->Reaches(*process) || !process->Watches()) {
        continue;
      }
      any = true;
      // Each document travels by itself, so the older may arrive last.
      this->simulation.After(
          Duration{0}, [this, each = process.get(),
                        document = this->platform.configuration] {
            this->Push(each, Step::kConfigurationChange,
                       [document] { return ConfigurationArrived{document}; });
          });
    }
  }
  return any;
}

}  // namespace mustardproxy::fault_matrix
