#include "scheduler/request_queue.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::detail {
namespace {

/// Stale nodes that are always tolerated, so that short heaps are left alone.
constexpr std::size_t kToleratedStale = 64;

bool ComesLater(const QueueNode& a, const QueueNode& b) {
  if (a.place_by != b.place_by) return a.place_by > b.place_by;
  return a.sequence > b.sequence;
}

std::uint64_t LaneKey(ServiceIndex service, TeamIndex team) {
  return (std::uint64_t{service} << 32) | team;
}

}  // namespace

void DeadlineHeap::Push(const QueueNode& node) {
  this->nodes.push_back(node);
  std::ranges::push_heap(this->nodes, ComesLater);
}

void DeadlineHeap::Pop() {
  std::ranges::pop_heap(this->nodes, ComesLater);
  this->nodes.pop_back();
}

const QueueNode* DeadlineHeap::Top() const {
  return this->nodes.empty() ? nullptr : &this->nodes.front();
}

template <typename IsLive>
void DeadlineHeap::Sweep(IsLive is_live) {
  std::erase_if(this->nodes,
                [&](const QueueNode& node) { return !is_live(node); });
  std::ranges::make_heap(this->nodes, ComesLater);
}

template <typename IsLive>
void DeadlineHeap::SweepIfMostlyStale(std::size_t live, IsLive is_live) {
  if (this->nodes.size() <= 2 * live + kToleratedStale) return;
  this->Sweep(is_live);
}

template <typename IsLive>
void DeadlineHeap::DropStaleTop(IsLive is_live) {
  std::size_t dropped = 0;
  while (!this->nodes.empty() && !is_live(this->nodes.front())) {
    // Failure: callers give up in the order of their deadlines, 10,000 at once,
    // and the next pass takes each node off the top by itself; an urgent
    // request waits for milliseconds. Many stale nodes in a row mean a wave,
    // and then one sweep takes out all of them.
    if (++dropped > kToleratedStale) return this->Sweep(is_live);
    this->Pop();
  }
}

bool RequestQueue::IsLive(const QueueNode& node) const {
  return this->sequences[node.slot] == node.sequence;
}

bool RequestQueue::Contains(const RequestId& request) const {
  return this->by_request.contains(request);
}

std::optional<RequestSlot> RequestQueue::SlotOf(
    const RequestId& request) const {
  const auto found = this->by_request.find(request);
  if (found == this->by_request.end()) return std::nullopt;
  return found->second;
}

LaneIndex RequestQueue::LaneFor(ServiceIndex service, TeamIndex team) {
  const std::uint64_t key = LaneKey(service, team);
  const auto next = static_cast<LaneIndex>(this->lanes.size());
  const auto [found, added] = this->lane_numbers.emplace(key, next);
  if (added) this->lanes.push_back({service, team, 0, {}});
  return found->second;
}

std::size_t RequestQueue::LiveCount(ServiceIndex service,
                                    TeamIndex team) const {
  const auto found = this->lane_numbers.find(LaneKey(service, team));
  return found == this->lane_numbers.end() ? 0
                                           : this->lanes[found->second].live;
}

RequestSlot RequestQueue::TakeSlot() {
  if (this->unused.empty()) {
    this->entries.emplace_back();
    this->sequences.push_back(0);
    return static_cast<RequestSlot>(this->entries.size() - 1);
  }
  const RequestSlot slot = this->unused.back();
  this->unused.pop_back();
  return slot;
}

RequestSlot RequestQueue::Add(QueuedRequest request, LaneIndex lane,
                              double size) {
  const RequestSlot slot = this->TakeSlot();
  const QueueNode node{request.place_by, ++this->last_sequence, slot};
  this->by_request.emplace(request.request, slot);
  this->entries[slot] = {std::move(request), lane, size, node.sequence};
  this->sequences[slot] = node.sequence;
  const auto is_live = [this](const QueueNode& other) {
    return this->IsLive(other);
  };
  Lane& target = this->lanes[lane];
  ++target.live;
  target.heap.Push(node);
  target.heap.SweepIfMostlyStale(target.live, is_live);
  this->deadlines.Push(node);
  this->deadlines.SweepIfMostlyStale(this->by_request.size(), is_live);
  return slot;
}

std::optional<QueueEntry> RequestQueue::Remove(const RequestId& request) {
  const auto found = this->by_request.find(request);
  if (found == this->by_request.end()) return std::nullopt;
  const RequestSlot slot = found->second;
  this->by_request.erase(found);
  QueueEntry entry = std::move(this->entries[slot]);
  this->entries[slot] = QueueEntry{};
  this->sequences[slot] = 0;
  this->unused.push_back(slot);
  --this->lanes[entry.lane].live;
  return entry;
}

std::optional<RequestSlot> RequestQueue::Head(LaneIndex lane) {
  DeadlineHeap& heap = this->lanes[lane].heap;
  // After a wave of cancellations one sweep is cheaper than popping each.
  const auto is_live = [this](const QueueNode& node) {
    return this->IsLive(node);
  };
  heap.SweepIfMostlyStale(this->lanes[lane].live, is_live);
  heap.DropStaleTop(is_live);
  if (heap.Top() == nullptr) return std::nullopt;
  return heap.Top()->slot;
}

void RequestQueue::SetAside(LaneIndex lane) { this->lanes[lane].heap.Pop(); }

void RequestQueue::PutBack(RequestSlot slot) {
  const QueueEntry& entry = this->entries[slot];
  this->lanes[entry.lane].heap.Push(
      {entry.request.place_by, entry.sequence, slot});
}

std::optional<RequestSlot> RequestQueue::Expired(Instant now) {
  this->deadlines.DropStaleTop(
      [this](const QueueNode& node) { return this->IsLive(node); });
  const QueueNode* top = this->deadlines.Top();
  if (top == nullptr || top->place_by > now) return std::nullopt;
  return top->slot;
}

std::optional<Instant> RequestQueue::NextDeadline() const {
  if (this->by_request.empty() || this->deadlines.Top() == nullptr) {
    return std::nullopt;
  }
  return this->deadlines.Top()->place_by;
}

const QueueEntry& RequestQueue::At(RequestSlot slot) const {
  return this->entries[slot];
}

const RequestQueue::Lane& RequestQueue::LaneAt(LaneIndex lane) const {
  return this->lanes[lane];
}

}  // namespace mustardproxy::detail
