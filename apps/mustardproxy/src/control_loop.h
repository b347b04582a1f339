#ifndef MUSTARDPROXY_APP_CONTROL_LOOP_H_
#define MUSTARDPROXY_APP_CONTROL_LOOP_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "control_queue.h"
#include "decisions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/telemetry/metrics.h"
#include "performer.h"
#include "status_board.h"
#include "usage_sampler.h"

namespace mustardproxy {

/// What a control loop works with; all must outlive it.
struct ControlLoopParts {
  Decisions* decisions = nullptr;
  Performer* performer = nullptr;
  StatusBoard* board = nullptr;
  Metrics* metrics = nullptr;
  /// Requests and questions of callers and peers that may wait for it.
  std::size_t max_strangers = 2048;
  /// Time between two samples of packing and of the process's own usage.
  Duration sample_interval = std::chrono::seconds(1);
};

/// The one thread that holds the control state: takes events in batches, lets
/// the core decide, and has the actions begun.
class ControlLoop final : public EventSink {
 public:
  explicit ControlLoop(ControlLoopParts parts);
  ~ControlLoop() override;

  void Start();
  /// Ends after the event in hand. What is posted from then on is refused if a
  /// stranger waits for it, else dropped.
  void Stop();
  void Post(Event event) override;

 private:
  void Run();
  void Handle(PostedEvent posted);
  /// Adds to samples of waiting time what the core can not see.
  void CompleteWaits(Duration queued, Duration taken);
  /// @return the metrics label of a request's profile, else an empty text
  [[nodiscard]] std::string ProfileLabel(const Event& event) const;
  void AnnounceConfiguration();
  void PublishStatus(Instant now);
  [[nodiscard]] UsageReading ReadUsage() const;
  void Refuse(const Event& event, ControlQueue::Admission admission);
  [[nodiscard]] Instant WakeAt(Instant now) const;

  ControlLoopParts parts;
  ControlQueue queue;
  UsageSampler sampler;
  std::thread thread;
  // Below: used by the control thread only.
  Actions actions;
  std::optional<ConfigurationVersion> announced;
  Instant published;
  bool changed_since_publish = true;
  bool ticked_idly = false;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_CONTROL_LOOP_H_
