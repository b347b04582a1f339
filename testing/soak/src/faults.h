#ifndef SOAK_SRC_FAULTS_H_
#define SOAK_SRC_FAULTS_H_

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cell.h"

namespace soak {

/// Draws faults from a seed, lets them strike at their times, and undoes them.
/// Faults overlap: a process that is paused may be killed.
class Faults {
 public:
  Faults(SoakCell* cell, const SoakOptions& options);

  /// Plays all of the plan; returns when the last fault is undone and each
  /// process runs.
  void Play();
  [[nodiscard]] const std::vector<std::string>& Events() const {
    return this->events;
  }

 private:
  using Millis = std::chrono::milliseconds;
  void At(Millis time, std::function<void()> task);
  void Plan(Millis at);
  void PlanProcess(Millis at);
  void PlanStoreLink(Millis at);
  void PlanRackLink(Millis at);
  void PlanStore(Millis at);
  void PlanResize(Millis at);
  void PlanWorkers(Millis at);
  /// Plans restarts of many workers, and of some of them once more.
  void PlanRestarts(Millis at);
  /// Plans a change and its end.
  void PlanSpan(Millis at, const std::string& name,
                const std::function<void()>& begin,
                const std::function<void()>& end);
  /// @param note told when the link is harmed, and when it is whole again
  void PlanRelay(Millis at, const std::string& name, Relay* relay,
                 const std::function<void(bool harmed)>& note);
  void Note(const std::string& event);
  Millis DrawLength();
  std::size_t DrawIndex(std::size_t count);
  job_sim::SimWorker* DrawWorker();
  void RestartEnded();

  SoakCell* cell;
  SoakOptions options;
  std::mt19937_64 random;
  std::chrono::steady_clock::time_point begun;
  std::multimap<Millis, std::function<void()>> plan;
  std::vector<std::string> events;
};

}  // namespace soak

#endif  // SOAK_SRC_FAULTS_H_
