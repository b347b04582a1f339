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
};
inline constexpr std::int32_t kStepCount = 23;

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
};
inline constexpr std::int32_t kFaultCount = 19;

[[nodiscard]] std::string_view NameOf(Step step);
[[nodiscard]] std::string_view NameOf(Fault fault);
[[nodiscard]] std::optional<Step> StepNamed(std::string_view name);
[[nodiscard]] std::optional<Fault> FaultNamed(std::string_view name);

/// One fault of a schedule: it strikes when the step is reached for the
/// `occurrence`th time.
struct PlannedFault {
  Step step = Step::kArrival;
  Fault fault = Fault::kNotSent;
  std::int32_t occurrence = 1;
  Duration lasting{0};
  bool struck = false;
};

/// The faults of one schedule.
class FaultPlan {
 public:
  explicit FaultPlan(std::vector<PlannedFault> faults)
      : faults(std::move(faults)) {}

  /// Counts that the step is reached.
  /// @return the fault that strikes now, if any
  std::optional<PlannedFault> Reach(Step step);
  [[nodiscard]] const std::vector<PlannedFault>& All() const {
    return this->faults;
  }
  [[nodiscard]] std::int32_t StruckCount() const;
  /// No more faults strike: the cell is given time to recover.
  void End() { this->ended = true; }

 private:
  std::vector<PlannedFault> faults;
  std::int32_t reached[kStepCount] = {};
  bool ended = false;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_FAULTS_H_
