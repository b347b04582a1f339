#include "mustardproxy/telemetry/timeline.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <mutex>
#include <tuple>
#include <utility>

#include "mustardproxy/telemetry/log.h"

namespace mustardproxy {
namespace {

void AppendField(std::string_view name, std::string_view value,
                 std::string* out) {
  if (value.empty()) return;
  *out += ' ';
  *out += name;
  *out += '=';
  *out += value;
}

/// The event as one line of the log.
std::string Line(const StampedEvent& stamped) {
  const TimelineEvent& event = stamped.event;
  std::string line(Name(event.kind));
  AppendField("sequence", std::to_string(stamped.sequence), &line);
  AppendField("time",
              std::to_string(stamped.time.wall_micros) + "." +
                  std::to_string(stamped.time.counter),
              &line);
  AppendField("request", event.request.Text(), &line);
  AppendField("task", event.task.Text(), &line);
  AppendField("worker", event.worker.Text(), &line);
  AppendField("peer", event.peer.Text(), &line);
  if (event.epoch != 0) {
    AppendField("epoch", std::to_string(event.epoch), &line);
  }
  AppendField("detail", event.detail, &line);
  return line;
}

bool CausallyBefore(const StampedEvent& a, const StampedEvent& b) {
  return std::tie(a.time, a.process, a.sequence) <
         std::tie(b.time, b.process, b.sequence);
}

}  // namespace

struct Timeline::State {
  ProcessId process;
  Incarnation incarnation = 0;
  std::size_t capacity = 0;
  HybridClock* clock = nullptr;

  mutable std::mutex mutex;
  std::deque<StampedEvent> ring;
  std::uint64_t last_sequence = 0;
};

Timeline::Timeline(ProcessId process, Incarnation incarnation,
                   std::size_t capacity, HybridClock* clock)
    : state(std::make_unique<State>()) {
  this->state->process = std::move(process);
  this->state->incarnation = incarnation;
  this->state->capacity = capacity;
  this->state->clock = clock;
}

Timeline::~Timeline() = default;

void Timeline::Record(const TimelineEvent& event) {
  StampedEvent stamped;
  stamped.process = this->state->process;
  stamped.incarnation = this->state->incarnation;
  stamped.event = event;
  {
    // The reading is taken under the lock, so that sequence numbers and
    // readings of one process are in the same order.
    const std::lock_guard lock(this->state->mutex);
    stamped.sequence = ++this->state->last_sequence;
    stamped.time = this->state->clock->Now();
    this->state->ring.push_back(stamped);
    if (this->state->ring.size() > this->state->capacity) {
      this->state->ring.pop_front();
    }
  }
  Log(Part::kTimeline, Level::kInfo, Line(stamped));
}

std::vector<StampedEvent> Timeline::Read(std::uint64_t after) const {
  const std::lock_guard lock(this->state->mutex);
  const auto first = std::partition_point(
      this->state->ring.begin(), this->state->ring.end(),
      [after](const StampedEvent& held) { return held.sequence <= after; });
  return {first, this->state->ring.end()};
}

std::vector<StampedEvent> Merge(std::vector<std::vector<StampedEvent>> lists) {
  std::vector<StampedEvent> merged;
  for (std::vector<StampedEvent>& list : lists) {
    std::move(list.begin(), list.end(), std::back_inserter(merged));
  }
  std::stable_sort(merged.begin(), merged.end(), CausallyBefore);
  return merged;
}

}  // namespace mustardproxy
