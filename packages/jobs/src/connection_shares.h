#ifndef MUSTARDPROXY_JOBS_CONNECTION_SHARES_H_
#define MUSTARDPROXY_JOBS_CONNECTION_SHARES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cell_member.h"
#include "mustardproxy/core/time.h"
#include "options.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

/// Divides the connections that a worker takes among the owners that may hold
/// some at a time: most of them for an owner before which no other holds any,
/// fewer for each that follows one that may be frozen or cut off.
///
/// Failure: each owner sizes what it holds as if it were alone. Former owners
/// that are frozen or cut off keep their connections, fill a worker, and the
/// new owner reaches it no more.
///
/// Uses what this process has seen of the cell. A process that started after a
/// former owner was frozen does not know of it; the shares leave room for one
/// such owner.
class ConnectionShares {
 public:
  explicit ConnectionShares(NodeRecord self) : self(std::move(self)) {}

  /// Takes in the state of the cell.
  /// @param owner nothing if there is no owner
  /// @param nodes processes that are registered
  void Update(const std::optional<Ownership>& owner,
              const std::map<ProcessId, Registration>& nodes, Instant now);
  /// @return connections that this process may hold to one worker
  [[nodiscard]] std::size_t Share() const;
  /// @return former owners that may hold connections
  [[nodiscard]] std::size_t Holders() const { return this->holders.size(); }

 private:
  /// A former owner that may hold connections.
  struct Holder {
    Ownership former;
    /// It certainly holds none from then on.
    Instant until;
  };

  void Replace(const std::optional<Ownership>& next,
               const std::map<ProcessId, Registration>& nodes, Instant now);

  NodeRecord self;
  std::optional<Ownership> owner;
  std::vector<Holder> holders;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CONNECTION_SHARES_H_
