#include "faults.h"

#include <algorithm>
#include <array>

namespace mustardproxy::fault_matrix {
namespace {

constexpr std::array<std::string_view, kStepCount> kStepNames = {
    "arrival",
    "attach",
    "renew",
    "release",
    "start-attached",
    "start-detached",
    "stop",
    "query-task",
    "forward",
    "ask-peer",
    "heartbeat",
    "fetch-configuration",
    "configuration-change",
    "host-list-change",
    "append-accepted",
    "append-started",
    "append-ended",
    "append-adopted",
    "append-handed-over",
    "read-journal",
    "claim-key",
    "settle-key",
    "shutdown",
    "task-runs",
    "detached-task-runs",
    "takeover",
    "cancel",
    "cancel-deferred",
    "ask-result",
    "configuration-start",
};

constexpr std::array<std::string_view, kFaultCount> kFaultNames = {
    "not-sent",
    "request-lost",
    "reply-lost",
    "request-late",
    "reply-late",
    "request-twice",
    "link-cut",
    "sender-cut",
    "sender-paused",
    "sender-killed",
    "sender-killed-after",
    "receiver-paused",
    "receiver-killed",
    "receiver-killed-after",
    "platform-down",
    "platform-slow",
    "platform-replies-lost",
    "worker-fails-all",
    "graceful-stop",
    "silent-connection",
    "lease-lapse",
    "worker-killed",
    "cancellation-wave",
    "host-leaving",
    "data-centre-cut",
    "operator-race",
};

template <std::size_t kSize>
std::optional<std::size_t> Position(
    const std::array<std::string_view, kSize>& names, std::string_view name) {
  const auto found = std::ranges::find(names, name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - names.begin());
}

}  // namespace

std::string_view NameOf(Step step) {
  return kStepNames[static_cast<std::size_t>(step)];
}

std::string_view NameOf(Fault fault) {
  return kFaultNames[static_cast<std::size_t>(fault)];
}

std::optional<Step> StepNamed(std::string_view name) {
  const auto position = Position(kStepNames, name);
  if (!position) {
    return std::nullopt;
  }
  return static_cast<Step>(*position);
}

std::optional<Fault> FaultNamed(std::string_view name) {
  const auto position = Position(kFaultNames, name);
  if (!position) {
    return std::nullopt;
  }
  return static_cast<Fault>(*position);
}

bool MayArriveTwice(Step step) {
  return step == Step::kForward || step == Step::kHeartbeat ||
         step == Step::kAskPeer || step == Step::kAskResult;
}

PlannedFault* FaultPlan::Reach(Step step) {
  if (this->ended) {
    return nullptr;
  }
  const std::int32_t count = ++this->reached[static_cast<std::size_t>(step)];
  for (PlannedFault& planned : this->faults) {
    if (!planned.begun && planned.step == step && planned.occurrence <= count) {
      return &planned;
    }
  }
  return nullptr;
}

}  // namespace mustardproxy::fault_matrix
