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

/// Position of a request in the queue's table; reused once it has left.
using RequestSlot = std::uint32_t;
/// Requests of one team for one service.
using FlowIndex = std::uint32_t;

/// A request that waits.
struct QueueEntry {
  QueuedRequest request;
  FlowIndex flow = 0;
  /// Its tasks' dominant share of the cell at arrival.
  double size = 0;
  /// Differs for every request that ever waited; zero once it has left.
  std::uint64_t sequence = 0;
};

/// A place in a heap. Stale once the slot holds another sequence.
struct QueueNode {
  Instant placement_deadline;
  std::uint64_t sequence = 0;
  RequestSlot slot = 0;
};

/// Heap of waiting requests, the earliest `placement_deadline` first, arrival
/// breaking ties. Requests that have left stay as stale nodes until they come
/// up, or until they outnumber the others and are swept out together.
class DeadlineHeap {
 public:
  void Push(const QueueNode& node);
  void Pop();
  [[nodiscard]] const QueueNode* Top() const;
  [[nodiscard]] std::size_t Size() const { return this->nodes.size(); }
  /// Sweeps stale nodes out if they outnumber `live`.
  template <typename IsLive>
  void CompactIfMostlyStale(std::size_t live, IsLive is_live);
  /// Takes stale nodes off the top until a live one is there.
  template <typename IsLive>
  void DropStaleTop(IsLive is_live);

 private:
  template <typename IsLive>
  void Compact(IsLive is_live);

  std::vector<QueueNode> nodes;
};

/// Waiting requests: by request id, by flow in deadline order, and by
/// deadline over all flows. Knows nothing of priorities and shares.
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
  /// The request must not be queued already.
  RequestSlot Add(QueuedRequest request, FlowIndex flow, double size);
  /// @return the entry taken out, if the request was queued
  /// @complexity constant; heap nodes go stale
  std::optional<QueueEntry> Remove(const RequestId& request);
  /// @return earliest `placement_deadline` of a flow
  [[nodiscard]] std::optional<RequestSlot> Head(FlowIndex flow);
  /// Takes the head's node off the flow's heap for a while; `ReattachToFlow`
  /// returns it. The request stays queued.
  void DetachHead(FlowIndex flow);
  void ReattachToFlow(RequestSlot slot);
  /// @return a request whose `placement_deadline` has passed; it stays queued
  [[nodiscard]] std::optional<RequestSlot> FirstExpired(Instant now);
  /// Earliest `placement_deadline` of all; may name a request that has left
  /// since.
  [[nodiscard]] std::optional<Instant> NextDeadline() const;
  [[nodiscard]] const QueueEntry& At(RequestSlot slot) const;
  /// @return requests of a team for a service that wait
  [[nodiscard]] std::size_t LiveCount(ServiceIndex service,
                                      TeamIndex team) const;
  [[nodiscard]] const FlowQueue& FlowAt(FlowIndex flow) const;
  [[nodiscard]] std::size_t FlowCount() const { return this->flows.size(); }
  [[nodiscard]] std::size_t Size() const { return this->by_request.size(); }
  /// Calls `visit(entry)` for each request that waits.
  template <typename Visitor>
  void Visit(Visitor visit) const;

 private:
  [[nodiscard]] bool IsLive(const QueueNode& node) const;
  [[nodiscard]] RequestSlot AllocateSlot();

  std::vector<QueueEntry> entries;
  /// Of each slot; zero while it is free_slots. Apart from the entries, since a
  /// sweep looks at nothing else of them.
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
