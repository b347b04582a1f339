#ifndef MUSTARDPROXY_FAULT_MATRIX_NODE_H_
#define MUSTARDPROXY_FAULT_MATRIX_NODE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "simulation.h"

namespace mustardproxy::fault_matrix {

/// A process that can pause, die and start again: an entry process, a worker or
/// the platform.
class Node {
 public:
  Node(Simulation* simulation, std::string name)
      : simulation(simulation), name(std::move(name)) {}
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  virtual ~Node() = default;

  [[nodiscard]] const std::string& Name() const { return this->name; }
  [[nodiscard]] bool Alive() const { return this->alive; }
  [[nodiscard]] bool Paused() const { return this->paused; }
  /// @return when this run began
  [[nodiscard]] Instant Began() const { return this->began; }
  /// Grows with each start; what belongs to an earlier run is dropped.
  [[nodiscard]] std::uint64_t Run() const { return this->run; }
  /// Does `what` now, after the pause if the node is paused, or never if it is
  /// dead or dies before.
  void Receive(std::function<void()> what);
  void Pause(Duration lasting);
  /// Dies now and starts again after `lasting`.
  void Kill(Duration lasting);
  /// Called when the node dies before it could answer; see `Network`.
  void WatchDeath(std::weak_ptr<std::function<void()>> watcher) {
    this->watchers.push_back(std::move(watcher));
  }

 protected:
  virtual void OnKilled() = 0;
  virtual void OnStarted() = 0;
  virtual void OnResumed() {}
  /// Starts a run; the first one is started by the owner.
  void Begin();
  void End();

  Simulation* simulation;

 private:
  void Resume(std::uint64_t paused_run);

  std::string name;
  bool alive = false;
  std::uint64_t run = 0;
  Instant began;
  Instant paused_until;
  bool paused = false;
  std::deque<std::function<void()>> backlog;
  std::vector<std::weak_ptr<std::function<void()>>> watchers;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_NODE_H_
