#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_REQUEST_QUEUE_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/scheduler.h"
#include "scheduler/catalog.h"

namespace mustardproxy::detail {

/// Index of a request in the queue's table; reused after the request is
/// removed.
using RequestSlot = std::uint32_t;
/// Index of a flow: the queued requests of one team for one service.
using FlowIndex = std::uint32_t;

/// A queued request.
struct QueueEntry {
  QueuedRequest request;
  FlowIndex flow = 0;
  /// Dominant share of the cell that its tasks use, computed at arrival.
  double size = 0;
  /// Unique among all requests ever queued; zero after removal.
  std::uint64_t sequence = 0;
};

/// An element of a heap. Stale if its slot has another sequence.
struct QueueNode {
  Instant placement_deadline;
  std::uint64_t sequence = 0;
  RequestSlot slot = 0;
};

/// Heap of queued requests, earliest `placement_deadline` first, ties broken by
/// arrival. Removed requests stay as stale nodes until they reach the top, or
/// until they outnumber the others and are all removed together.
class DeadlineHeap {
 public:
  void Push(const QueueNode& node);
  void Pop();
  [[nodiscard]] const QueueNode* Top() const;
  [[nodiscard]] std::size_t Size() const { return this->nodes.size(); }
  /// Removes all stale nodes if there are more of them than `live` plus a
  /// constant.
  template <typename IsLive>
  void CompactIfMostlyStale(std::size_t live, IsLive is_live);
  /// Removes stale nodes from the top until a live one is there.
  template <typename IsLive>
  void DropStaleTop(IsLive is_live);

 private:
  template <typename IsLive>
  void Compact(IsLive is_live);

  std::vector<QueueNode> nodes;
};

/// Queued requests by request id, by flow in deadline order, and by deadline
/// over all flows. Independent of priorities and shares.
class RequestQueue {
 public:
  struct FlowQueue {
    ServiceIndex service = 0;
    TeamIndex team = 0;
    std::size_t live = 0;
    DeadlineHeap heap;
  };

  [[nodiscard]] bool Contains(const RequestId& request) const;
  [[nodiscard]] std::optional<RequestSlot> SlotOf(
      const RequestId& request) const;
  [[nodiscard]] FlowIndex FindOrAddFlow(ServiceIndex service, TeamIndex team);
  /// Adds a request, which must not be queued yet.
  RequestSlot Add(QueuedRequest request, FlowIndex flow, double size);
  /// @return the removed entry, if the request was queued
  /// @complexity constant; heap nodes become stale
  std::optional<QueueEntry> Remove(const RequestId& request);
  /// @return the request of a flow with the earliest `placement_deadline`
  [[nodiscard]] std::optional<RequestSlot> Head(FlowIndex flow);
  /// Removes the head's node from the heap of the flow temporarily;
  /// `ReattachToFlow` adds it again. The request stays queued.
  void DetachHead(FlowIndex flow);
  void ReattachToFlow(RequestSlot slot);
  /// @return a request whose `placement_deadline` has passed; it stays queued
  [[nodiscard]] std::optional<RequestSlot> FirstExpired(Instant now);
  /// Earliest `placement_deadline` of all requests; may belong to a request
  /// that was removed since.
  [[nodiscard]] std::optional<Instant> NextDeadline() const;
  [[nodiscard]] const QueueEntry& At(RequestSlot slot) const;
  /// @return number of queued requests of a team for a service
  [[nodiscard]] std::size_t LiveCount(ServiceIndex service,
                                      TeamIndex team) const;
  [[nodiscard]] const FlowQueue& FlowAt(FlowIndex flow) const;
  [[nodiscard]] std::size_t FlowCount() const { return this->flows.size(); }
  [[nodiscard]] std::size_t Size() const { return this->by_request.size(); }
  /// Calls `visit(entry)` for each queued request.
  template <typename Visitor>
  void Visit(Visitor visit) const;

 private:
  [[nodiscard]] bool IsLive(const QueueNode& node) const;
  [[nodiscard]] RequestSlot AllocateSlot();

  std::vector<QueueEntry> entries;
  /// Sequence of each slot; zero while the slot is free. Stored apart from the
  /// entries, since removing stale nodes reads nothing else of them.
  std::vector<std::uint64_t> sequences;
  std::vector<RequestSlot> free_slots;
  std::unordered_map<RequestId, RequestSlot> by_request;
  std::vector<FlowQueue> flows;
  std::unordered_map<std::uint64_t, FlowIndex> flow_indexes;
  DeadlineHeap deadlines;
  std::uint64_t last_sequence = 0;
};

template <typename Visitor>
void RequestQueue::Visit(Visitor visit) const {
  for (const QueueEntry& entry : this->entries) {
    if (entry.sequence != 0) visit(entry);
  }
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_REQUEST_QUEUE_H_
