#ifndef MUSTARDPROXY_JOBS_QUESTION_QUEUE_H_
#define MUSTARDPROXY_JOBS_QUESTION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "start_deadlines.h"

namespace mustardproxy::jobs {

/// Duration from which a question occupies a host for too long to let urgent
/// steps, which are to start within a quarter of a second, wait behind it. Most
/// questions name far fewer workers than allowed, so the fixed part of the
/// duration is sufficient for the distinction.
inline constexpr Duration kLongQuestionThreshold =
    std::chrono::milliseconds(100);
[[nodiscard]] bool IsLong(const AdvicePolicy& policy);

/// A request for permissions for one step.
struct PermissionRequest {
  StepRef step;
  QueueName queue;
  AdvicePolicy policy;
  StartDeadlines deadlines;
  /// When the step must start for its job to be done in time.
  Instant start_by;
  /// Declared processor time of the waiting tasks.
  Duration work{0};
  /// Its capacity is reserved and idle until the answer.
  bool capacity_reserved = false;
  /// See SchedulingUnit::beyond_share.
  bool exceeds_share = false;
  /// Questions about work within the shares of its teams precede it; only with
  /// `OverloadControl::team_shares`.
  bool yields = false;
};

/// @return declared processor time of `tasks` tasks of a step
[[nodiscard]] Duration DeclaredWork(const Step& step, std::int64_t tasks);

/// A question that waits for a host.
struct WaitingQuestion {
  PermissionRequest request;
  Instant since;
  /// Sequence number in order of arrival.
  std::uint64_t number = 0;
};

/// Questions that wait for a host, in the order in which they are sent: short
/// ones first, then those with reserved capacity, then by value, measured in
/// work that can start in time per second of the policy service's time. Every
/// fourth of the long ones is the one that has waited longest.
///
/// Failure guarded against: more questions wait than the hosts can send, and
/// the widest gangs need several answers in sequence. Ordered by remaining
/// time, they would wait behind all late steps and be late before their second
/// answer.
///
/// Failure guarded against: the question with the lowest value waits for as
/// long as the load is too high, also behind questions that arrived much later.
/// A quarter of the hosts' time is given to the oldest question.
class QuestionQueue {
 public:
  void Push(const PermissionRequest& request, Instant now);
  /// Drops the questions about a job.
  void Forget(const JobId& job);
  [[nodiscard]] std::size_t Size() const { return this->waiting.size(); }
  /// Removes and returns the question that is to be sent next.
  /// @param with_long whether a long question may be sent
  /// @return nothing if no question of that kind waits
  std::optional<WaitingQuestion> TakeNext(Instant now, bool with_long);
  /// Called when a long question has been sent.
  void CountLongSent() { ++this->long_sent; }

 private:
  using Iterator = std::vector<WaitingQuestion>::iterator;

  /// @return the long question without reserved capacity that has waited
  ///   longest; the end if there is none to be preferred
  Iterator FindOldest(Instant now);

  std::vector<WaitingQuestion> waiting;
  std::uint64_t next_number = 1;
  std::uint64_t long_sent = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_QUESTION_QUEUE_H_
