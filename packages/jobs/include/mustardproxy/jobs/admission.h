#ifndef MUSTARDPROXY_JOBS_ADMISSION_H_
#define MUSTARDPROXY_JOBS_ADMISSION_H_

#include <functional>
#include <string>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/team.h"

namespace mustardproxy::jobs {

/// Selects a queue from the desired state; null if none matches. Runs on the
/// control thread, possibly after the caller has timed out, so it must own
/// everything it uses.
using QueueChooser = std::function<const Queue*(const DesiredState&)>;

/// What a call presents in order to be admitted.
struct Credentials {
  /// API key; empty if there is none or if its header is malformed.
  std::string key = {};
  /// The call arrived at an address that only operators reach and needs no key.
  bool from_operator = false;
};

/// A call that is allowed, and what it may do.
struct Admission {
  Queue queue = {};
  /// Team and key of the call; empty for a call without a key.
  JobAccess access = {};
  /// The cap of that team.
  Resources cap = {};
  /// Version of the desired state by which the call was judged.
  ConfigurationVersion version = 0;
  /// How old that state may be: the time since the store last confirmed it.
  Duration age{0};
};

/// Usual age from which on a view of the desired state does not prove that a
/// key or queue does not exist. Exceeds the longest wait of a watch.
inline constexpr Duration kMaxConfigurationAge =
    std::chrono::milliseconds(2000);

/// Decides whether a call is allowed. A process that does not reach the store
/// goes on admitting the keys that it knows, and asks the callers with keys
/// that it does not know to retry.
/// @param desired the latest desired state, or null
/// @param age time since the store last confirmed it
/// @param max_age age from which on it does not prove that a key or queue does
///   not exist
/// @return `kStarting` without a desired state; `kUnknownQueue`, `kUnknownKey`;
///   `kConfigurationStale` in place of the last two if the view is too old
[[nodiscard]] Result<Admission> Admit(const DesiredState* desired, Duration age,
                                      const QueueChooser& choose,
                                      const Credentials& credentials,
                                      Duration max_age = kMaxConfigurationAge);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ADMISSION_H_
