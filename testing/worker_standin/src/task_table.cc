#include "task_table.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::standin {
namespace {

constexpr std::size_t kMaxEndedKept = 8192;
constexpr std::size_t kMaxEndedBytesKept = 16U << 20U;
constexpr std::size_t kMaxReported = 2048;
constexpr std::size_t kMaxReportedBytes = 4U << 20U;

Instant EndOf(const RunningEntry& entry) {
  Instant due = std::min(entry.done, entry.lease_until);
  if (entry.start.max_run > Duration::zero()) {
    due = std::min(due, entry.started + entry.start.max_run);
  }
  return due;
}

bool Contains(std::span<const SequenceRange> ranges, std::uint64_t sequence) {
  return std::ranges::any_of(ranges, [sequence](const SequenceRange& range) {
    return range.first <= sequence && sequence <= range.last;
  });
}

std::shared_ptr<const EndedTask> Result(Instant now, const RunningEntry& entry,
                                        TaskEnd end) {
  auto ended = std::make_shared<EndedTask>();
  const TaskPlan& plan = entry.start.plan;
  ended->task = entry.start.task;
  ended->request = entry.start.request;
  ended->end = end;
  ended->run_time = now - entry.started;
  ended->peak_usage = plan.uses;
  ended->status = plan.status;
  if (end == TaskEnd::kStopped || end == TaskEnd::kCheckpointed) {
    ended->status = 503;
    return ended;
  }
  ended->content_type = plan.content_type;
  ended->body = std::make_shared<const std::string>(plan.answer);
  return ended;
}

}  // namespace

TaskTable::TaskTable(Resources capacity, EndObserver* observer)
    : capacity(capacity), observer(observer) {}

std::optional<RefusalReason> TaskTable::Start(Instant now, TaskStart start) {
  if (this->seen.contains(start.task)) return RefusalReason::kDuplicateTask;
  if (!(this->used + start.resources).FitsIn(this->capacity)) {
    return RefusalReason::kNoRoom;
  }
  this->seen.insert(start.task);
  this->used += start.resources;
  this->usage += start.plan.uses;
  RunningEntry entry;
  entry.started = now;
  entry.done = now + start.plan.run;
  entry.lease_until =
      start.lease > Duration::zero() ? now + start.lease : Instant::max();
  entry.cpu_milli = std::max<std::int64_t>(1, start.resources.cpu_milli);
  entry.completion = std::make_shared<Completion>();
  entry.start = std::move(start);
  const TaskId task = entry.start.task;
  this->running.emplace(task, std::move(entry));
  return {};
}

void TaskTable::Advance(Instant now) {
  for (auto entry = this->running.begin(); entry != this->running.end();) {
    auto current = entry++;
    if (EndOf(current->second) > now) continue;
    const bool done = current->second.done <= now &&
                      current->second.done <= EndOf(current->second);
    const bool failed = current->second.start.plan.status >= 500;
    const TaskEnd end = failed ? TaskEnd::kFailed : TaskEnd::kFinished;
    this->End(now, current, done ? end : TaskEnd::kStopped);
  }
}

bool TaskTable::Stop(Instant now, const TaskId& task, bool checkpoint) {
  const auto entry = this->running.find(task);
  if (entry == this->running.end()) return false;
  this->End(now, entry,
            checkpoint ? TaskEnd::kCheckpointed : TaskEnd::kStopped);
  return true;
}

bool TaskTable::Throttle(Instant now, const TaskId& task,
                         std::int64_t cpu_milli) {
  const auto found = this->running.find(task);
  if (found == this->running.end()) return false;
  RunningEntry& entry = found->second;
  const std::int64_t speed = std::max<std::int64_t>(1, cpu_milli);
  const Duration left = std::max(Duration::zero(), entry.done - now);
  entry.done = now + left * entry.cpu_milli / speed;
  entry.cpu_milli = speed;
  return true;
}

void TaskTable::RenewLeases(Instant now) {
  for (auto& [task, entry] : this->running) {
    if (entry.start.lease == Duration::zero()) continue;
    entry.lease_until = now + entry.start.lease;
  }
}

bool TaskTable::Fence(const TaskId& task) {
  if (!this->seen.insert(task).second) return false;
  this->fenced.insert(task);
  return true;
}

bool TaskTable::Fenced(const TaskId& task) const {
  return this->fenced.contains(task);
}

bool TaskTable::Seen(const TaskId& task) const {
  return this->seen.contains(task);
}

const RunningEntry* TaskTable::FindRunning(const TaskId& task) const {
  const auto entry = this->running.find(task);
  return entry == this->running.end() ? nullptr : &entry->second;
}

std::shared_ptr<const EndedTask> TaskTable::FindEnded(
    const TaskId& task) const {
  const auto entry = std::find_if(
      this->ended.rbegin(), this->ended.rend(),
      [&](const EndedEntry& one) { return one.ended->task == task; });
  return entry == this->ended.rend() ? nullptr : entry->ended;
}

std::vector<const RunningEntry*> TaskTable::Running() const {
  std::vector<const RunningEntry*> entries;
  entries.reserve(this->running.size());
  for (const auto& [task, entry] : this->running) entries.push_back(&entry);
  return entries;
}

std::vector<const EndedEntry*> TaskTable::EndedSince(Instant since) const {
  std::vector<const EndedEntry*> entries;
  std::size_t bytes = 0;
  for (auto entry = this->ended.rbegin(); entry != this->ended.rend();
       ++entry) {
    bytes += View(entry->ended->body).size();
    if (entry->at < since || entries.size() == kMaxReported) break;
    if (bytes > kMaxReportedBytes) break;
    entries.push_back(&*entry);
  }
  std::reverse(entries.begin(), entries.end());
  return entries;
}

std::vector<const EndedEntry*> TaskTable::EndedAfter(
    std::uint64_t after, std::span<const SequenceRange> received) const {
  std::vector<const EndedEntry*> entries;
  std::size_t bytes = 0;
  auto entry =
      std::upper_bound(this->ended.begin(), this->ended.end(), after,
                       [](std::uint64_t sequence, const EndedEntry& one) {
                         return sequence < one.sequence;
                       });
  for (; entry != this->ended.end(); ++entry) {
    if (Contains(received, entry->sequence)) continue;
    bytes += View(entry->ended->body).size();
    const bool full = bytes > kMaxReportedBytes && !entries.empty();
    if (full || entries.size() == kMaxReported) break;
    entries.push_back(&*entry);
  }
  return entries;
}

Instant TaskTable::NextDue() const {
  Instant due = Instant::max();
  for (const auto& [task, entry] : this->running) {
    due = std::min(due, EndOf(entry));
  }
  return due;
}

void TaskTable::End(Instant now, Entries::iterator entry, TaskEnd end) {
  auto result = Result(now, entry->second, end);
  this->used -= entry->second.start.resources;
  this->usage -= entry->second.start.plan.uses;
  const auto completion = std::move(entry->second.completion);
  TaskStart start = std::move(entry->second.start);
  this->running.erase(entry);
  completion->sequence = this->KeepEnded(now, result, std::move(start));
  completion->ended = std::move(result);
  completion->changed.notify_all();
}

std::uint64_t TaskTable::KeepEnded(Instant now,
                                   std::shared_ptr<const EndedTask> result,
                                   TaskStart start) {
  EndedEntry entry;
  entry.sequence = ++this->sequence;
  entry.at = now;
  entry.ended = std::move(result);
  start.plan.answer.clear();
  entry.start = std::move(start);
  this->observer->OnEnded(now, entry);
  this->ended_bytes += View(entry.ended->body).size();
  this->ended.push_back(std::move(entry));
  while (this->ended.size() > kMaxEndedKept ||
         this->ended_bytes > kMaxEndedBytesKept) {
    this->ended_bytes -= View(this->ended.front().ended->body).size();
    this->ended.pop_front();
  }
  return this->sequence;
}

}  // namespace mustardproxy::standin
