#ifndef MUSTARDPROXY_WORKER_RECEIVED_ENDS_H_
#define MUSTARDPROXY_WORKER_RECEIVED_ENDS_H_

#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/ids.h"

namespace mustardproxy::worker_detail {

/// Place of an end in its worker's list of ends.
struct EndNumber {
  Incarnation incarnation = 0;
  /// Counts from 1; 0 if the worker did not tell.
  std::uint64_t sequence = 0;
};

/// Numbers from `first` to `last`, both included.
struct EndRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// Ends that a renewal need not repeat.
struct ReceivedRanges {
  Incarnation incarnation = 0;
  std::vector<EndRange> ranges;
};

/// Ends that came whole with the answers to attached starts, per worker, until
/// a report has passed them. What is forgotten early is only reported once
/// more. Safe from any thread.
class ReceivedEnds {
 public:
  /// Call it when the end has been handed to the core, not before: a renewal
  /// leaves it out from then on.
  void Add(const WorkerId& worker, const EndNumber& number);
  /// Forgets numbers up to `sequence`, which the core has seen in a report.
  /// @return the numbers above it
  ReceivedRanges After(const WorkerId& worker, std::uint64_t sequence);
  void Forget(const WorkerId& worker);

 private:
  using Numbers = boost::icl::interval_set<std::uint64_t>;
  struct Ends {
    Incarnation incarnation = 0;
    Numbers numbers;
  };

  std::mutex mutex;
  std::unordered_map<WorkerId, Ends> workers;
};

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_RECEIVED_ENDS_H_
