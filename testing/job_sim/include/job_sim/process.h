#ifndef JOB_SIM_PROCESS_H_
#define JOB_SIM_PROCESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "job_sim/virtual_time.h"
#include "mustardproxy/jobs/executor.h"

namespace job_sim {

/// The control thread of one run of one process: can be paused, as by a stop
/// signal or a suspended machine, and killed.
class Process final : public mustardproxy::jobs::Executor {
 public:
  Process(VirtualTime* time, std::string name)
      : time(time), name(std::move(name)) {}

  [[nodiscard]] Instant Now() const override { return this->time->Now(); }
  [[nodiscard]] std::int64_t UnixMs() const override;
  void Post(std::function<void()> task) override;
  mustardproxy::jobs::TimerId After(Duration delay,
                                    std::function<void()> task) override;
  /// Nothing waits here, so there is nothing to precede.
  void PostUrgent(std::function<void()> task) override {
    this->Post(std::move(task));
  }
  mustardproxy::jobs::TimerId AfterUrgent(Duration delay,
                                          std::function<void()> task) override {
    return this->After(delay, std::move(task));
  }
  void Cancel(mustardproxy::jobs::TimerId timer) override;

  void Pause() { this->paused = true; }
  void Resume();
  void Kill() { this->killed = true; }
  [[nodiscard]] bool Alive() const { return !this->killed; }
  [[nodiscard]] bool Running() const { return !this->killed && !this->paused; }
  [[nodiscard]] const std::string& Name() const { return this->name; }
  /// @return processor time that its tasks took so far
  [[nodiscard]] double ProcessorSeconds() const { return this->cpu_seconds; }
  /// @return processor time of its longest task, of those since the last reset
  [[nodiscard]] double LongestTaskSeconds() const {
    return this->longest_seconds;
  }
  void ResetLongestTask() { this->longest_seconds = 0.0; }
  /// Cut off from the store, from workers, from other processes.
  bool store_cut = false;
  bool workers_cut = false;
  bool peers_cut = false;

 private:
  void Run(std::function<void()> task);

  VirtualTime* time;
  std::string name;
  bool paused = false;
  bool killed = false;
  double cpu_seconds = 0.0;
  double longest_seconds = 0.0;
  std::deque<std::function<void()>> held;
  mustardproxy::jobs::TimerId next_timer = 1;
  std::unordered_set<mustardproxy::jobs::TimerId> cancelled;
};

}  // namespace job_sim

#endif  // JOB_SIM_PROCESS_H_
