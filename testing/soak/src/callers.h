#ifndef SOAK_SRC_CALLERS_H_
#define SOAK_SRC_CALLERS_H_

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "cell.h"

namespace soak {

/// What a caller knows of a job that it handed in.
struct CallerJob {
  std::string path;
  enum class Fate {
    kOpen,
    kAccepted,
    /// Each try was refused.
    kRefused,
    /// At least one try got no answer, and none a good one.
    kUnknown,
  } fate = Fate::kOpen;
  bool cancelled = false;
  bool cancel_acknowledged = false;
};

/// Callers: each hands a job in at a process, goes to another one after a
/// refusal or no answer, asks about it now and then, and cancels some. Their
/// connections are kept open as long as the process keeps them.
class Callers {
 public:
  Callers(SoakCell* cell, const SoakOptions& options);
  ~Callers();

  void Start();
  /// No more jobs; waits for those being handed in.
  void Stop();
  /// Asks all processes about all accepted jobs until each says that it has
  /// ended.
  /// @return the jobs of which one did not say so in time
  [[nodiscard]] std::vector<std::string> AwaitEnds(
      std::chrono::milliseconds limit);
  [[nodiscard]] const std::map<std::string, CallerJob>& Jobs() const {
    return this->jobs;
  }
  /// What no caller may see, whenever.
  [[nodiscard]] std::vector<std::string> Broken() const;

 private:
  class Connection;
  void Run(std::uint64_t seed);
  std::optional<job_sim::CrashingTasks> DrawCrashing(
      std::mt19937_64* random) const;
  void HandIn(std::mt19937_64* random, std::vector<Connection>* connections);
  void Cancel(const std::string& id, std::mt19937_64* random,
              std::vector<Connection>* connections);
  void Note(const std::string& problem);
  std::string NextId();

  SoakCell* cell;
  SoakOptions options;
  mutable std::mutex mutex;
  std::map<std::string, CallerJob> jobs;
  std::vector<std::string> broken;
  std::uint64_t next = 1;
  bool stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace soak

#endif  // SOAK_SRC_CALLERS_H_
