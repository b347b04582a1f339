#include "scheduler/request_queue.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::detail {
namespace {

/// Number of stale nodes that is always tolerated, so that short heaps are not
/// rebuilt.
constexpr std::size_t kToleratedStaleNodes = 64;

bool ComesLater(const QueueNode& a, const QueueNode& b) {
  if (a.placement_deadline != b.placement_deadline)
    return a.placement_deadline > b.placement_deadline;
  return a.sequence > b.sequence;
}

std::uint64_t FlowKey(ServiceIndex service, TeamIndex team) {
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
void DeadlineHeap::Compact(IsLive is_live) {
  std::erase_if(this->nodes,
                [&](const QueueNode& node) { return !is_live(node); });
  std::ranges::make_heap(this->nodes, ComesLater);
}

template <typename IsLive>
void DeadlineHeap::CompactIfMostlyStale(std::size_t live, IsLive is_live) {
  if (this->nodes.size() <= 2 * live + kToleratedStaleNodes) return;
  this->Compact(is_live);
}

template <typename IsLive>
void DeadlineHeap::DropStaleTop(IsLive is_live) {
  std::size_t dropped = 0;
  while (!this->nodes.empty() && !is_live(this->nodes.front())) {
    // Failure: 10,000 callers cancel at once in the order of their deadlines,
    // the next pass pops each stale node separately, and an urgent request
    // waits for milliseconds. Many consecutive stale nodes indicate mass
    // cancellation, so all of them are removed in one step.
    if (++dropped > kToleratedStaleNodes) return this->Compact(is_live);
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

FlowIndex RequestQueue::FindOrAddFlow(ServiceIndex service, TeamIndex team) {
  const std::uint64_t key = FlowKey(service, team);
  const auto next = static_cast<FlowIndex>(this->flows.size());
  const auto [found, added] = this->flow_indexes.emplace(key, next);
  if (added) this->flows.push_back({service, team, 0, {}});
  return found->second;
}

std::size_t RequestQueue::LiveCount(ServiceIndex service,
                                    TeamIndex team) const {
  const auto found = this->flow_indexes.find(FlowKey(service, team));
  return found == this->flow_indexes.end() ? 0
                                           : this->flows[found->second].live;
}

RequestSlot RequestQueue::AllocateSlot() {
  if (this->free_slots.empty()) {
    this->entries.emplace_back();
    this->sequences.push_back(0);
    return static_cast<RequestSlot>(this->entries.size() - 1);
  }
  const RequestSlot slot = this->free_slots.back();
  this->free_slots.pop_back();
  return slot;
}

RequestSlot RequestQueue::Add(QueuedRequest request, FlowIndex flow,
                              double size) {
  const RequestSlot slot = this->AllocateSlot();
  const QueueNode node{request.placement_deadline, ++this->last_sequence, slot};
  this->by_request.emplace(request.request, slot);
  this->entries[slot] = {std::move(request), flow, size, node.sequence};
  this->sequences[slot] = node.sequence;
  const auto is_live = [this](const QueueNode& other) {
    return this->IsLive(other);
  };
  FlowQueue& target = this->flows[flow];
  ++target.live;
  target.heap.Push(node);
  target.heap.CompactIfMostlyStale(target.live, is_live);
  this->deadlines.Push(node);
  this->deadlines.CompactIfMostlyStale(this->by_request.size(), is_live);
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
  this->free_slots.push_back(slot);
  --this->flows[entry.flow].live;
  return entry;
}

std::optional<RequestSlot> RequestQueue::Head(FlowIndex flow) {
  DeadlineHeap& heap = this->flows[flow].heap;
  // After many cancellations, removing all stale nodes at once is cheaper than
  // popping each.
  const auto is_live = [this](const QueueNode& node) {
    return this->IsLive(node);
  };
  heap.CompactIfMostlyStale(this->flows[flow].live, is_live);
  heap.DropStaleTop(is_live);
  if (heap.Top() == nullptr) return std::nullopt;
  return heap.Top()->slot;
}

void RequestQueue::DetachHead(FlowIndex flow) { this->flows[flow].heap.Pop(); }

void RequestQueue::ReattachToFlow(RequestSlot slot) {
  const QueueEntry& entry = this->entries[slot];
  this->flows[entry.flow].heap.Push(
      {entry.request.placement_deadline, entry.sequence, slot});
}

std::optional<RequestSlot> RequestQueue::FirstExpired(Instant now) {
  this->deadlines.DropStaleTop(
      [this](const QueueNode& node) { return this->IsLive(node); });
  const QueueNode* top = this->deadlines.Top();
  if (top == nullptr || top->placement_deadline > now) return std::nullopt;
  return top->slot;
}

std::optional<Instant> RequestQueue::NextDeadline() const {
  if (this->by_request.empty() || this->deadlines.Top() == nullptr) {
    return std::nullopt;
  }
  return this->deadlines.Top()->placement_deadline;
}

const QueueEntry& RequestQueue::At(RequestSlot slot) const {
  return this->entries[slot];
}

const RequestQueue::FlowQueue& RequestQueue::FlowAt(FlowIndex flow) const {
  return this->flows[flow];
}

}  // namespace mustardproxy::detail
