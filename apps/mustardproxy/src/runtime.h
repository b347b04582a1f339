#ifndef MUSTARDPROXY_APP_RUNTIME_H_
#define MUSTARDPROXY_APP_RUNTIME_H_

#include <memory>

#include "address_file.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/settings/settings.h"

namespace mustardproxy {

/// One entry process: the core with its control thread, and all links.
class Runtime {
 public:
  explicit Runtime(Settings settings);
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /// Listens and begins to work.
  [[nodiscard]] Result<Addresses> Start();
  /// Stops gracefully: no new work, what is in progress finishes, leases and
  /// journals are handed over.
  /// @return false if the time for it ran out and something was cut
  [[nodiscard]] bool Shutdown();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_RUNTIME_H_
