#ifndef JOB_SIM_SIM_CONNECTIONS_H_
#define JOB_SIM_SIM_CONNECTIONS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <string>

#include "job_sim/process.h"
#include "job_sim/virtual_time.h"

namespace job_sim {

/// What an order that asks for a connection gets.
enum class Connection {
  kOpen,
  /// The worker takes no more.
  kReset,
  /// There was none for too long.
  kNone,
};

/// The connections that processes hold to workers. A worker takes a bounded
/// number and resets further ones; a process keeps idle ones until it ends or
/// releases them.
class SimConnections {
 public:
  explicit SimConnections(VirtualTime* time) : time(time) {}

  /// Most that one worker takes; without a bound nothing is counted.
  std::size_t limit = std::numeric_limits<std::size_t>::max();

  /// Calls `send` once there is a connection for an order, or will be none.
  /// @param waits whether the order waits if the process holds its share, for
  ///   0.18 s at most; then it is not sent
  void Use(Process* process, const std::string& address, bool waits,
           std::function<void(Connection)> send);
  /// An order for which there was a connection has ended.
  void End(Process* process, const std::string& address);
  void SetShare(Process* process, std::size_t share);
  /// Closes the idle connections of a process.
  void Release(Process* process);
  /// Orders of a process that wait get none.
  void CancelWaiting(Process* process);

  /// @return connections that the processes hold to a worker
  [[nodiscard]] std::size_t Held(const std::string& address) const;
  /// @return connections that were opened, and those that were reset
  [[nodiscard]] std::size_t Opened() const { return this->opened; }
  [[nodiscard]] std::size_t Reset() const { return this->reset; }

 private:
  struct Waiting {
    std::size_t number = 0;
    std::function<void(Connection)> send;
  };
  struct Ends {
    std::size_t idle = 0;
    std::size_t in_use = 0;
    std::deque<Waiting> waiting;
  };
  struct Client {
    std::size_t share = std::numeric_limits<std::size_t>::max();
    std::map<std::string, Ends> to;
  };

  [[nodiscard]] bool Bounded() const {
    return this->limit != std::numeric_limits<std::size_t>::max();
  }
  Connection Take(Ends* ends, const std::string& address);

  /// Ends a wait that has lasted too long.
  void Expire(Process* process, const std::string& address, std::size_t number);

  VirtualTime* time;
  std::map<Process*, Client> clients;
  std::size_t next_number = 0;
  std::size_t opened = 0;
  std::size_t reset = 0;
};

}  // namespace job_sim

#endif  // JOB_SIM_SIM_CONNECTIONS_H_
