#ifndef MUSTARDPROXY_FAULT_MATRIX_FAULTS_H_
#define MUSTARDPROXY_FAULT_MATRIX_FAULTS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "mustardproxy/core/time.h"
#include "simulation.h"

namespace mustardproxy::fault_matrix {

/// A step of the life of a request, of deferred work, of a takeover or of a
/// change of configuration, at which a message travels.
enum class Step {
  kArrival,
  kAttach,
  kRenew,
  kRelease,
  kStartAttached,
  kStartDetached,
  kStop,
  kQueryTask,
  kForward,
  kAskPeer,
  kHeartbeat,
  kFetchConfiguration,
  kConfigurationChange,
  kHostListChange,
  kAppendAccepted,
  kAppendStarted,
  kAppendEnded,
  kAppendAdopted,
  kAppendHandedOver,
  kReadJournal,
  kClaimKey,
  kSettleKey,
  kShutdown,
  /// A task runs whose answer is awaited; no message travels.
  kTaskRuns,
  /// A detached task runs; no message travels.
  kDetachedTaskRuns,
  /// An attach to a worker that another process held last.
  kTakeover,
  /// A caller hangs up.
  kCancel,
  /// A caller cancels deferred work.
  kCancelDeferred,
  /// A peer is asked for the state or result of deferred work.
  kAskResult,
  /// A process without a configuration asks for one.
  kConfigurationStart,
};
inline constexpr std::int32_t kStepCount = 30;

/// What goes wrong at a step.
enum class Fault {
  /// The connection is refused; not one byte is sent.
  kNotSent,
  kRequestLost,
  kReplyLost,
  /// The request arrives after the sender has given up.
  kRequestLate,
  /// The reply arrives after the sender has given up.
  kReplyLate,
  kRequestTwice,
  /// The two ends are cut off from each other for a while.
  kLinkCut,
  /// The sender is cut off from all others for a while.
  kSenderCut,
  /// The sender pauses between its decision and the send.
  kSenderPaused,
  /// The sender dies before the send, and is started again later.
  kSenderKilled,
  /// The sender dies right after the send.
  kSenderKilledAfter,
  /// The receiver pauses before it looks at the request.
  kReceiverPaused,
  /// The receiver dies before it looks at the request.
  kReceiverKilled,
  /// The receiver dies after it has acted on the request.
  kReceiverKilledAfter,
  kPlatformDown,
  kPlatformSlow,
  /// Writes take effect, and their replies are lost.
  kPlatformRepliesLost,
  /// A worker fails all it starts.
  kWorkerFailsAll,
  /// A process is told to stop in good order.
  kGracefulStop,
  /// What is open between the two ends gets no answer any more; later calls do.
  kSilentConnection,
  /// A process pauses for longer than the leases that it holds.
  kLeaseLapse,
  kWorkerKilled,
  /// Nearly all callers hang up or cancel their deferred work.
  kCancellationWave,
  /// The host list calls a worker leaving for a while; it may be replaced then.
  kHostLeaving,
  /// A data centre is cut off from the other one, mostly also from the
  /// platform.
  kDataCenterCut,
  /// Two operators change the configuration at the same moment.
  kOperatorRace,
};
inline constexpr std::int32_t kFaultCount = 26;

[[nodiscard]] std::string_view NameOf(Step step);
[[nodiscard]] std::string_view NameOf(Fault fault);
[[nodiscard]] std::optional<Step> StepNamed(std::string_view name);
[[nodiscard]] std::optional<Fault> FaultNamed(std::string_view name);

/// @return true for requests that a sender repeats unasked
[[nodiscard]] bool MayArriveTwice(Step step);

/// One fault of a schedule: it strikes when the step is reached for the
/// `occurrence`th time, or the first time after that where it can.
struct PlannedFault {
  Step step = Step::kArrival;
  Fault fault = Fault::kNotSent;
  std::int32_t occurrence = 1;
  Duration lasting{0};
  /// It was tried, and is not tried again.
  bool begun = false;
  /// It had its effect.
  bool struck = false;
};

/// The faults of one schedule.
class FaultPlan {
 public:
  explicit FaultPlan(std::vector<PlannedFault> faults)
      : faults(std::move(faults)) {}

  /// Counts that the step is reached.
  /// @return the fault that is to be tried now, if any
  PlannedFault* Reach(Step step);
  [[nodiscard]] const std::vector<PlannedFault>& All() const {
    return this->faults;
  }
  /// No more faults strike: the cell is given time to recover.
  void End() { this->ended = true; }

 private:
  std::vector<PlannedFault> faults;
  std::int32_t reached[kStepCount] = {};
  bool ended = false;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_FAULTS_H_
