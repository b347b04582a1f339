#include "job_sim/sim_connections.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace job_sim {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(180);

}  // namespace

std::size_t SimConnections::Held(const std::string& address) const {
  std::size_t held = 0;
  for (const auto& [process, client] : this->clients) {
    const auto ends = client.to.find(address);
    // The system closes the connections of a process that was killed.
    if (!process->Alive() || ends == client.to.end()) continue;
    held += ends->second.idle + ends->second.in_use;
  }
  return held;
}

Connection SimConnections::Take(Ends* ends, const std::string& address) {
  if (ends->idle > 0) {
    --ends->idle;
  } else if (this->Held(address) >= this->limit) {
    ++this->reset;
    return Connection::kReset;
  } else {
    ++this->opened;
  }
  ++ends->in_use;
  return Connection::kOpen;
}

void SimConnections::Use(Process* process, const std::string& address,
                         bool waits, std::function<void(Connection)> send) {
  if (!this->Bounded()) {
    send(Connection::kOpen);
    return;
  }
  Client& client = this->clients[process];
  Ends& ends = client.to[address];
  // One connection of the share is left to orders that do not wait.
  if (waits && ends.in_use + 1 >= client.share) {
    const std::size_t number = this->next_number++;
    ends.waiting.push_back({number, std::move(send)});
    this->time->After(kMaxWait, [this, process, address, number] {
      this->Expire(process, address, number);
    });
    return;
  }
  send(this->Take(&ends, address));
}

void SimConnections::End(Process* process, const std::string& address) {
  if (!this->Bounded()) return;
  Client& client = this->clients[process];
  Ends& ends = client.to[address];
  --ends.in_use;
  if (ends.in_use + ends.idle < client.share) ++ends.idle;
  while (!ends.waiting.empty() && ends.in_use + 1 < client.share) {
    const Waiting next = std::move(ends.waiting.front());
    ends.waiting.pop_front();
    next.send(this->Take(&ends, address));
  }
}

void SimConnections::Expire(Process* process, const std::string& address,
                            std::size_t number) {
  auto& waiting = this->clients[process].to[address].waiting;
  const auto found = std::ranges::find(waiting, number, &Waiting::number);
  if (found == waiting.end()) return;
  const Waiting expired = std::move(*found);
  waiting.erase(found);
  expired.send(Connection::kNone);
}

void SimConnections::SetShare(Process* process, std::size_t share) {
  Client& client = this->clients[process];
  client.share = share;
  for (auto& [address, ends] : client.to) {
    ends.idle = std::min(ends.idle, share);
  }
}

void SimConnections::Release(Process* process) {
  // The worker does not see that they are closed.
  if (process->workers_cut) return;
  for (auto& [address, ends] : this->clients[process].to) ends.idle = 0;
}

void SimConnections::CancelWaiting(Process* process) {
  for (auto& [address, ends] : this->clients[process].to) {
    for (const Waiting& one : std::exchange(ends.waiting, {}))
      one.send(Connection::kNone);
  }
}

}  // namespace job_sim
