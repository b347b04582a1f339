#include "received_ends.h"

namespace mustardproxy::worker_detail {
namespace {

using Interval = boost::icl::discrete_interval<std::uint64_t>;

/// Bounds the bytes of a renewal; gaps are the ends of detached tasks and those
/// whose answer was lost.
constexpr std::size_t kMaxRanges = 64;

}  // namespace

void ReceivedEnds::Add(const WorkerId& worker, const EndNumber& number) {
  if (number.sequence == 0) return;
  const std::lock_guard lock(this->mutex);
  Ends& ends = this->workers[worker];
  // Failure: a worker restarts and counts its ends from 1 again; numbers of its
  // former run would leave out ends that never came. So numbers of two runs are
  // never mixed, and each renewal names the run they belong to.
  if (ends.incarnation != number.incarnation) ends.numbers.clear();
  ends.incarnation = number.incarnation;
  ends.numbers.add(Interval::closed(number.sequence, number.sequence));
  if (ends.numbers.iterative_size() > kMaxRanges) {
    ends.numbers.erase(*ends.numbers.begin());
  }
}

ReceivedRanges ReceivedEnds::After(const WorkerId& worker,
                                   std::uint64_t sequence) {
  const std::lock_guard lock(this->mutex);
  ReceivedRanges received;
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) return received;
  Ends& ends = found->second;
  ends.numbers.erase(Interval::closed(0, sequence));
  received.incarnation = ends.incarnation;
  for (const Interval& interval : ends.numbers) {
    received.ranges.push_back(
        {boost::icl::first(interval), boost::icl::last(interval)});
  }
  return received;
}

void ReceivedEnds::Forget(const WorkerId& worker) {
  const std::lock_guard lock(this->mutex);
  this->workers.erase(worker);
}

}  // namespace mustardproxy::worker_detail
