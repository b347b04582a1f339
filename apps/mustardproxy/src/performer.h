#ifndef MUSTARDPROXY_APP_PERFORMER_H_
#define MUSTARDPROXY_APP_PERFORMER_H_

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/configuration.h"

namespace mustardproxy {

/// Begins what the core wants done. Nothing here waits.
class Performer {
 public:
  Performer() = default;
  Performer(const Performer&) = delete;
  Performer& operator=(const Performer&) = delete;
  virtual ~Performer() = default;

  /// Called by the control thread with the actions of one event.
  virtual void Perform(const Actions& actions) = 0;
  /// Called by the control thread when another document is in force.
  virtual void OnConfiguration(const Configuration& configuration) = 0;
  /// Called by the control thread when the digest may have changed.
  virtual void OnDigest(const Digest& digest) = 0;
  /// Answers a request or question that never reached the core. Called by the
  /// thread that posted it.
  virtual void Refuse(const Action& answer) = 0;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_PERFORMER_H_
