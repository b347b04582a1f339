#ifndef JOB_SIM_IMMEDIATE_EXECUTOR_H_
#define JOB_SIM_IMMEDIATE_EXECUTOR_H_

#include <cstdint>
#include <functional>

#include "mustardproxy/jobs/executor.h"

namespace job_sim {

/// Runs what is posted at once, on the thread that posts; has no timers.
class ImmediateExecutor final : public mustardproxy::jobs::Executor {
 public:
  [[nodiscard]] mustardproxy::Instant Now() const override { return {}; }
  [[nodiscard]] std::int64_t UnixMs() const override { return 0; }
  void Post(std::function<void()> task) override { task(); }
  mustardproxy::jobs::TimerId After(mustardproxy::Duration /*delay*/,
                                    std::function<void()> /*task*/) override {
    return 0;
  }
  void PostUrgent(std::function<void()> task) override { task(); }
  mustardproxy::jobs::TimerId AfterUrgent(
      mustardproxy::Duration /*delay*/,
      std::function<void()> /*task*/) override {
    return 0;
  }
  void Cancel(mustardproxy::jobs::TimerId /*timer*/) override {}
};

}  // namespace job_sim

#endif  // JOB_SIM_IMMEDIATE_EXECUTOR_H_
