// A machine that runs one worker after the other, as the pages describe them.
#ifndef REVIEW_WORKER_HPP_
#define REVIEW_WORKER_HPP_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

struct MachineOptions {
  std::string service = "svc";
  std::string kind = "a";
  std::string rack = "r1";
  std::int64_t cpu = 16'000;
  std::int64_t memory_mb = 65'536;
};

/// One run of a task, as a worker saw it. Times are seconds of the record.
struct RunSeen {
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  double begun = 0;
  /// Below 0 while it runs.
  double ended = -1;
  /// As a worker lists it; `crashed` if it went with its worker.
  std::string how;
};

/// All runs of all machines.
class Runs {
 public:
  explicit Runs(Record* record) : record(record) {}
  std::size_t Begin(const std::string& task, std::int64_t run,
                    const std::string& worker);
  void End(std::size_t index, const std::string& how);
  [[nodiscard]] std::vector<RunSeen> All();

 private:
  Record* record;
  std::mutex mutex;
  std::vector<RunSeen> runs;
};

class Machine {
 public:
  Machine(MachineOptions options, std::size_t number, Store* store, Runs* runs,
          Record* record);
  ~Machine();

  /// The worker dies with what runs there, without a word; its port is closed.
  void Crash();
  /// A new worker starts at the same address, under a new id.
  void Start();
  /// Partitions the worker from the machines of the system. It goes on running
  /// and reaches the store.
  void Cut();
  void Heal();
  /// Ends what runs of a task, as if it had ended by itself.
  /// @param how `done` or `failed`
  /// @return false if it does not run here
  bool EndTask(const std::string& task, const std::string& how);
  [[nodiscard]] bool Runs(const std::string& task);
  [[nodiscard]] std::string Name() const {
    return "machine-" + std::to_string(this->number);
  }

 private:
  using Clock = std::chrono::steady_clock;
  struct Running {
    std::size_t seen = 0;
    std::optional<Clock::time_point> ends;
    Clock::time_point begun;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  using Key = std::pair<std::string, std::int64_t>;

  std::optional<Reply> Handle(const Request& request);
  std::optional<Reply> RunStart(const Json& body);
  std::optional<Reply> RunStop(const Json& body);
  std::optional<Reply> Hold(const Json& body,
                            std::unique_lock<std::mutex>* lock);
  bool Fenced(const Json& body);
  void Extend(const Json& body);
  [[nodiscard]] std::int64_t ClockMs() const;
  [[nodiscard]] Reply Refuse(const char* reason) const;
  void End(const Key& key, const std::string& how);
  void Live();
  void WriteEntry();

  MachineOptions options;
  std::size_t number;
  Store* store;
  class Runs* seen;
  Record* record;
  std::mutex mutex;
  std::condition_variable changed;
  Server server;
  /// Empty while no worker is up.
  std::string id;
  std::string last_id;
  std::int64_t lives = 0;
  std::int64_t sequence = 0;
  Clock::time_point born;
  Clock::time_point next_entry;
  std::optional<Clock::time_point> entry_lapses;
  std::int64_t token = 0;
  std::int64_t lease_ms = 0;
  std::int64_t next_end = 1;
  std::map<Key, Running> running;
  std::vector<Ended> ended;
  /// Highest run that ended or was stopped here.
  std::map<std::string, std::int64_t> closed;
  bool stopping = false;
  std::thread living;
};

}  // namespace review

#endif  // REVIEW_WORKER_HPP_
