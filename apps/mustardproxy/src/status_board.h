#ifndef MUSTARDPROXY_APP_STATUS_BOARD_H_
#define MUSTARDPROXY_APP_STATUS_BOARD_H_

#include <mutex>
#include <string>

#include "mustardproxy/core/core.h"

namespace mustardproxy {

/// Where the control thread leaves its status for traffic threads, so that an
/// operator's question never holds it up.
class StatusBoard {
 public:
  void Publish(CoreStatus status);
  /// @return a configuration is in force and no shutdown has begun
  [[nodiscard]] bool Ready() const;
  /// @return the status as JSON
  [[nodiscard]] std::string Format() const;

 private:
  [[nodiscard]] CoreStatus Read() const;

  mutable std::mutex mutex;
  CoreStatus status;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_STATUS_BOARD_H_
