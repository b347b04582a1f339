#ifndef MUSTARDPROXY_APP_DISPATCHER_H_
#define MUSTARDPROXY_APP_DISPATCHER_H_

#include <condition_variable>
#include <mutex>
#include <string>

#include "mustardproxy/core/digest.h"
#include "mustardproxy/gateway/gateway.h"
#include "mustardproxy/peer/peer_link.h"
#include "mustardproxy/platform/platform_link.h"
#include "mustardproxy/telemetry/metrics.h"
#include "mustardproxy/telemetry/timeline.h"
#include "mustardproxy/worker/worker_link.h"
#include "performer.h"

namespace mustardproxy {

/// The links that carry actions out; all must outlive the dispatcher's use.
struct Links {
  Gateway* gateway = nullptr;
  PeerLink* peer = nullptr;
  PlatformLink* platform = nullptr;
  WorkerLink* worker = nullptr;
  Timeline* timeline = nullptr;
  Metrics* metrics = nullptr;
};

/// Hands each action to the link that carries it out.
class Dispatcher final : public Performer {
 public:
  /// @param first what peers are told before the first heartbeat
  explicit Dispatcher(Digest first) : digest(std::move(first)) {}

  /// Must be called before the control loop starts.
  void Connect(const Links& links) { this->links = links; }

  void Perform(const Actions& actions) override;
  void OnConfiguration(const Configuration& configuration) override;
  void OnDigest(const Digest& digest) override;
  void Refuse(const Action& answer) override;

  /// Waits until the core has finished its shutdown.
  /// @return false if the timeout passed first
  [[nodiscard]] bool AwaitFinished(Duration timeout);

 private:
  void Begin(const Action& action);
  /// Answers whoever the request or question came from.
  template <typename Kind>
  void AnswerTo(const Kind& action) {
    if (!this->links.peer->TryPerform(action)) {
      this->links.gateway->Perform(action);
    }
  }
  void Record(const RecordSample& sample);
  void Finish();

  Links links;
  // Used by the control thread only.
  Digest digest;
  std::string configuration_json;

  std::mutex mutex;
  std::condition_variable changed;
  bool finished = false;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_DISPATCHER_H_
