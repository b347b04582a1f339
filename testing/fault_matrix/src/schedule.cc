#include "schedule.h"

#include "simulation.h"

namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kShortestFault = std::chrono::milliseconds(300);
constexpr Duration kLongestFault = std::chrono::seconds(8);
/// Which time that its step is reached a fault strikes, at most.
constexpr std::int32_t kMostOccurrences = 4;
constexpr std::int32_t kMostOccurrencesOfRareSteps = 2;
constexpr std::int32_t kMostOccurrencesOfRenewals = 12;
constexpr std::int32_t kMostOccurrencesOfHeartbeats = 40;
constexpr double kAtFirstReach = 0.5;
constexpr double kSecondFault = 0.6;
constexpr double kThirdFault = 0.3;

std::int32_t MostOccurrences(Step step) {
  switch (step) {
    case Step::kRenew:
      return kMostOccurrencesOfRenewals;
    case Step::kHeartbeat:
      return kMostOccurrencesOfHeartbeats;
    case Step::kShutdown:
    case Step::kAppendAdopted:
    case Step::kAppendHandedOver:
    case Step::kQueryTask:
    case Step::kAskPeer:
    case Step::kAskResult:
    case Step::kFetchConfiguration:
      return 1;
    case Step::kRelease:
    case Step::kStop:
    case Step::kTakeover:
    case Step::kCancelDeferred:
    case Step::kConfigurationStart:
    case Step::kSettleKey:
      return kMostOccurrencesOfRareSteps;
    default:
      return kMostOccurrences;
  }
}

/// Nobody waits for an answer to these.
bool HasReply(Step step) {
  return step != Step::kArrival && step != Step::kConfigurationChange &&
         step != Step::kHostListChange && step != Step::kShutdown &&
         step != Step::kCancel && step != Step::kCancelDeferred;
}

bool HasMessage(Step step) {
  return step != Step::kTaskRuns && step != Step::kDetachedTaskRuns;
}

struct Pair {
  Step step;
  Fault fault;
};

std::vector<Pair> AllPairs() {
  std::vector<Pair> pairs;
  for (std::int32_t fault = 0; fault < kFaultCount; ++fault) {
    for (std::int32_t step = 0; step < kStepCount; ++step) {
      const Pair pair{static_cast<Step>(step), static_cast<Fault>(fault)};
      if (CanStrike(pair.step, pair.fault)) {
        pairs.push_back(pair);
      }
    }
  }
  return pairs;
}

}  // namespace

bool CanStrike(Step step, Fault fault) {
  switch (fault) {
    case Fault::kNotSent:
    case Fault::kRequestLost:
    case Fault::kRequestLate:
    case Fault::kSenderKilledAfter:
    case Fault::kReceiverKilledAfter:
      return HasMessage(step);
    case Fault::kReplyLost:
    case Fault::kReplyLate:
      return HasMessage(step) && HasReply(step);
    case Fault::kRequestTwice:
      return MayArriveTwice(step);
    case Fault::kLeaseLapse:
    case Fault::kCancellationWave:
      // The first processes start with nothing held and nobody waiting.
      return step != Step::kConfigurationStart;
    default:
      return true;
  }
}

std::vector<PlannedFault> DrawFaults(const ScheduleOptions& options) {
  Simulation random(options.seed * 2654435761U + 17);
  static const std::vector<Pair> pairs = AllPairs();
  const Pair pair = pairs[options.seed % pairs.size()];
  PlannedFault first;
  first.step = options.step.value_or(pair.step);
  first.fault = options.fault.value_or(pair.fault);
  std::vector<PlannedFault> faults = {first};
  const auto add = [&](Step step, Fault fault) {
    PlannedFault added;
    added.step = step;
    added.fault = fault;
    faults.push_back(added);
  };
  const std::optional<Step> loses = PreparationFor(first.step).loses_answer;
  if (loses) {
    add(*loses, random.Chance(0.5) ? Fault::kReplyLost : Fault::kRequestLost);
  }
  for (const double chance : {kSecondFault, kThirdFault}) {
    if (random.Chance(chance)) {
      const auto drawn = random.Draw(0, std::ssize(pairs) - 1);
      const Pair& another = pairs[static_cast<std::size_t>(drawn)];
      add(another.step, another.fault);
    }
  }
  for (PlannedFault& fault : faults) {
    fault.occurrence =
        static_cast<std::int32_t>(random.Draw(1, MostOccurrences(fault.step)));
    fault.lasting = random.Draw(kShortestFault, kLongestFault);
  }
  // Not every schedule reaches a step often.
  if (random.Chance(kAtFirstReach)) {
    faults.front().occurrence = 1;
  }
  return faults;
}

Preparation PreparationFor(Step step) {
  Preparation preparation;
  switch (step) {
    case Step::kTakeover:
    case Step::kAppendAdopted:
    case Step::kReadJournal:
      preparation.kill_process = true;
      preparation.reviews = true;
      break;
    case Step::kRelease:
    case Step::kShutdown:
    case Step::kAppendHandedOver:
      preparation.stop_process = true;
      preparation.reviews = true;
      break;
    case Step::kCancel:
    case Step::kCancelDeferred:
    case Step::kStop:
      preparation.many_cancels = true;
      break;
    case Step::kAppendStarted:
    case Step::kAppendEnded:
    case Step::kSettleKey:
    case Step::kAskResult:
      preparation.reviews = true;
      break;
    case Step::kQueryTask:
      preparation.loses_answer = Step::kStartAttached;
      break;
    case Step::kAskPeer:
      preparation.loses_answer = Step::kForward;
      break;
    default:
      break;
  }
  return preparation;
}

}  // namespace mustardproxy::fault_matrix
