#ifndef MUSTARDPROXY_APP_CELL_RUNTIME_H_
#define MUSTARDPROXY_APP_CELL_RUNTIME_H_

#include <memory>
#include <system_error>

#include "mustardproxy/settings/cell_settings.h"

namespace mustardproxy {

/// All parts of a process of `mustardproxy cell`, put together.
class CellRuntime {
 public:
  explicit CellRuntime(CellSettings settings);
  ~CellRuntime();
  CellRuntime(const CellRuntime&) = delete;
  CellRuntime& operator=(const CellRuntime&) = delete;

  /// @return an error if it can't listen
  [[nodiscard]] std::error_code Start();
  /// The settings file has changed.
  void Reload(const CellSettings& changed);
  /// Stops gracefully: has callers sent elsewhere, hands the ownership on, and
  /// answers what comes until nobody is left or the time is up.
  void Shutdown();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_CELL_RUNTIME_H_
