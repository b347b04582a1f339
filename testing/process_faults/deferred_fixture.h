#ifndef MUSTARDPROXY_PROCESS_FAULTS_DEFERRED_FIXTURE_H_
#define MUSTARDPROXY_PROCESS_FAULTS_DEFERRED_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "fixture.h"

namespace mustardproxy::process_faults {

inline constexpr int kAccepted = 202;

/// Shorter leases and heartbeats than the defaults, so that a takeover ends
/// within seconds.
[[nodiscard]] std::string QuickTakeover();
/// @return one data centre with two entry processes
[[nodiscard]] CellLayout TwoEntries(std::int32_t workers,
                                    std::int32_t slots_per_worker);

/// Deferred work that was answered 202.
struct AcceptedWork {
  std::string id;
  std::string body;
};

/// Sends deferred work, again while it is refused as not run; throws unless it
/// is accepted in the end.
[[nodiscard]] AcceptedWork Accept(const Cell& cell, const std::string& entry,
                                  const std::string& service,
                                  std::chrono::milliseconds run_time);
/// @return the id in the header `Location` of a 202
[[nodiscard]] std::string AcceptedId(const HttpReply& reply);
/// @return the state that an entry process tells, or empty
[[nodiscard]] std::string StateOf(const Cell& cell, const std::string& entry,
                                  const std::string& id);
/// Waits until an entry process tells this state.
[[nodiscard]] bool AwaitState(const Cell& cell, const std::string& entry,
                              const std::string& id, std::string_view state);
/// @return the result that an entry process gives, or empty
[[nodiscard]] std::string ResultAt(const Cell& cell, const std::string& entry,
                                   const std::string& id);
/// @return runs of a request that ended as `reason` says
[[nodiscard]] std::int64_t Ends(const WorkerLogs& logs, std::string_view id,
                                std::string_view reason);
/// @return true if two runs of a request overlap in time
[[nodiscard]] bool Overlaps(const WorkerLogs& logs, std::string_view id);

}  // namespace mustardproxy::process_faults

#endif  // MUSTARDPROXY_PROCESS_FAULTS_DEFERRED_FIXTURE_H_
