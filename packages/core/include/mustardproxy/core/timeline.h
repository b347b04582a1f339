#ifndef MUSTARDPROXY_CORE_TIMELINE_H_
#define MUSTARDPROXY_CORE_TIMELINE_H_

#include <cstdint>
#include <string>

#include "mustardproxy/core/ids.h"

namespace mustardproxy {

/// Kind of an event in the timeline of all processes.
enum class TimelineKind {
  kProcessStarted,
  kProcessStopping,
  kRequestArrived,
  kRequestQueued,
  kRequestRefused,
  kRequestForwarded,
  kRequestAnswered,
  kTaskStarted,
  kTaskEnded,
  kTaskStopped,
  kWorkerAttached,
  kWorkerLost,
  kWorkerReleased,
  kWorkerEjected,
  kWorkerReturned,
  kWorkerLeaving,
  kPeerJoined,
  kPeerLost,
  kConfigurationApplied,
  kJournalAppended,
  kJournalFenced,
  kJournalAdopted,
  kPlatformLost,
  kPlatformBack,
};

/// One event as the core reports it; the telemetry package adds the hybrid
/// logical clock, incarnation and sequence number.
struct TimelineEvent {
  TimelineKind kind = TimelineKind::kProcessStarted;
  RequestId request;
  TaskId task;
  WorkerId worker;
  ProcessId peer;
  Epoch epoch = 0;
  std::string detail;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_TIMELINE_H_
