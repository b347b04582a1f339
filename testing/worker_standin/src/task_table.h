#ifndef MUSTARDPROXY_STANDIN_TASK_TABLE_H_
#define MUSTARDPROXY_STANDIN_TASK_TABLE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "refusal.h"

namespace mustardproxy::standin {

/// What a task does, as its body tells.
struct TaskPlan {
  Duration run{0};
  std::int32_t status = 200;
  std::string content_type = "application/octet-stream";
  std::string answer;
  /// What it really uses; the declared resources unless told.
  Resources uses;
};

/// A start as it came in.
struct TaskStart {
  TaskId task;
  RequestId request;
  ServiceId service;
  Resources resources;
  Duration max_run{0};
  Duration lease{0};
  Epoch epoch = 0;
  std::string holder;
  std::uint64_t body_hash = 0;
  TaskPlan plan;
};

/// Where the connection of an attached start waits for the task's end.
struct Completion {
  std::condition_variable changed;
  std::shared_ptr<const EndedTask> ended;
  /// Of the end, as in `EndedEntry`.
  std::uint64_t sequence = 0;
};

/// Numbers of ends from `first` to `last`, both included.
struct SequenceRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// A task that runs: a timed wait, no processor time.
struct RunningEntry {
  TaskStart start;
  Instant started;
  /// When it is done at its present speed.
  Instant done;
  Instant lease_until;
  std::int64_t cpu_milli = 0;
  std::shared_ptr<Completion> completion;
};

struct EndedEntry {
  std::uint64_t sequence = 0;
  Instant at;
  std::shared_ptr<const EndedTask> ended;
  TaskStart start;
};

/// Told of each end, in order.
class EndObserver {
 public:
  EndObserver() = default;
  EndObserver(const EndObserver&) = delete;
  EndObserver& operator=(const EndObserver&) = delete;
  virtual ~EndObserver() = default;
  virtual void OnEnded(Instant now, const EndedEntry& entry) = 0;
};

/// The tasks of one worker: capacity, what runs, what has ended, and every task
/// id ever seen. Not thread-safe; time is passed in.
class TaskTable {
 public:
  TaskTable(Resources capacity, EndObserver* observer);

  /// @return why it was not started, if it was not
  std::optional<RefusalReason> Start(Instant now, TaskStart start);
  /// Ends what is done, has run too long, or whose lease has lapsed.
  void Advance(Instant now);
  /// @return true if it ran
  bool Stop(Instant now, const TaskId& task, bool checkpoint);
  /// Slows a task down to `cpu_milli`, or back up.
  bool Throttle(Instant now, const TaskId& task, std::int64_t cpu_milli);
  /// Renews the leases of all running tasks.
  void RenewLeases(Instant now);

  /// @return true if the id was never seen; it is refused from then on
  bool Fence(const TaskId& task);
  [[nodiscard]] bool Seen(const TaskId& task) const;
  /// @return true if the id is refused because it was asked for
  [[nodiscard]] bool Fenced(const TaskId& task) const;
  [[nodiscard]] const RunningEntry* FindRunning(const TaskId& task) const;
  [[nodiscard]] std::shared_ptr<const EndedTask> FindEnded(
      const TaskId& task) const;

  [[nodiscard]] std::vector<const RunningEntry*> Running() const;
  /// Tasks that ended since a moment, oldest first; the newest if too many.
  [[nodiscard]] std::vector<const EndedEntry*> EndedSince(Instant since) const;
  /// Tasks that ended after a number, oldest first; the oldest if too many, so
  /// that the next call goes on behind them.
  /// @param received left out
  [[nodiscard]] std::vector<const EndedEntry*> EndedAfter(
      std::uint64_t sequence,
      std::span<const SequenceRange> received = {}) const;
  [[nodiscard]] std::uint64_t EndedSequence() const { return this->sequence; }
  [[nodiscard]] const Resources& Capacity() const { return this->capacity; }
  /// Sum of the declared resources of what runs.
  [[nodiscard]] const Resources& Used() const { return this->used; }
  /// Sum of what the running tasks really use.
  [[nodiscard]] const Resources& Usage() const { return this->usage; }
  /// @return when `Advance` has something to do
  [[nodiscard]] Instant NextDue() const;

 private:
  using Entries = std::map<TaskId, RunningEntry>;

  void End(Instant now, Entries::iterator entry, TaskEnd end);
  /// @return its number
  std::uint64_t KeepEnded(Instant now, std::shared_ptr<const EndedTask> ended,
                          TaskStart start);

  Resources capacity;
  EndObserver* observer;
  Resources used;
  Resources usage;
  Entries running;
  std::deque<EndedEntry> ended;
  std::size_t ended_bytes = 0;
  std::uint64_t sequence = 0;
  std::unordered_set<TaskId> seen;
  std::unordered_set<TaskId> fenced;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_TASK_TABLE_H_
