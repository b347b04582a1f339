#ifndef MUSTARDPROXY_JOBS_CONTROL_LOAD_H_
#define MUSTARDPROXY_JOBS_CONTROL_LOAD_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy::jobs {

/// Kind of work that occupies the control thread of an owner.
enum class ControlWork {
  /// A pass over the waiting steps.
  kPass,
  /// Reading the stored state after an election.
  kLoad,
  /// An answer of a worker.
  kAnswer,
};

/// @return `pass`, `load` or `answer`
[[nodiscard]] std::string_view Name(ControlWork work);

/// Measures how long each kind of work occupies the control thread.
class ControlLoad {
 public:
  ControlLoad(Executor* executor, Metrics* metrics)
      : executor(executor), metrics(metrics) {}

  /// Measures the time from its construction to its destruction.
  class Scope {
   public:
    Scope(ControlLoad* load, ControlWork work)
        : load(load), work(work), begun(load->executor->Now()) {}
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope() { this->load->Note(this->work, this->Elapsed()); }

    [[nodiscard]] Duration Elapsed() const {
      return std::chrono::duration_cast<Duration>(this->load->executor->Now() -
                                                  this->begun);
    }

   private:
    ControlLoad* load;
    ControlWork work;
    Instant begun;
  };

  /// @return milliseconds of each kind since the last call, such as
  ///   `pass=12 load=0 answer=40`
  std::string TakeSummary();

 private:
  static constexpr std::size_t kKinds = 3;

  void Note(ControlWork work, Duration took);

  Executor* executor;
  Metrics* metrics;
  std::array<Duration, kKinds> spent{};
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CONTROL_LOAD_H_
