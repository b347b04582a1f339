#ifndef MUSTARDPROXY_JOBS_QUESTION_QUEUE_H_
#define MUSTARDPROXY_JOBS_QUESTION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "start_deadlines.h"

namespace mustardproxy::jobs {

/// A question that holds a host for so long that urgent steps, which are to
/// start within a quarter of a second, must not wait behind it. Most questions
/// name far fewer workers than they may; the fixed part alone tells long from
/// short ones well enough.
inline constexpr Duration kLongQuestionThreshold =
    std::chrono::milliseconds(100);
[[nodiscard]] bool IsLong(const AdvicePolicy& policy);

/// One step that needs permissions.
struct PermissionRequest {
  StepRef step;
  QueueName queue;
  AdvicePolicy policy;
  StartDeadlines deadlines;
  /// When the step has to be begun for its job to be done in time.
  Instant start_by;
  /// Processor time of the tasks that wait, as declared.
  Duration work{0};
  /// Its room is taken and stands empty until the answer.
  bool capacity_reserved = false;
};

/// @return processor time of so many tasks of a step, as declared
[[nodiscard]] Duration DeclaredWork(const Step& step, std::int64_t tasks);

/// A question that waits for a host.
struct WaitingQuestion {
  PermissionRequest request;
  Instant since;
  /// In the order in which they came.
  std::uint64_t number = 0;
};

/// Questions that wait for a host, and in which order they go: short ones
/// first, then those for which room stands empty, then those that pay most, in
/// work that can start in time for each second that the policy service spends.
/// Every fourth of the long ones is the one that has waited longest.
///
/// Failure guarded against: more questions wait than the hosts can ask, and the
/// widest gangs need several answers one after the other. By the time left
/// alone they would wait behind all that is late, and be late before their
/// second.
///
/// Failure guarded against: what pays least waits for as long as the load is
/// too high, also behind what came much later. A quarter of the hosts' time
/// takes it on in turn.
class QuestionQueue {
 public:
  void Push(const PermissionRequest& request, Instant now);
  /// Drops the questions about a job.
  void Forget(const JobId& job);
  /// Puts first what goes first now.
  void Sort(Instant now);
  [[nodiscard]] std::size_t Size() const { return this->waiting.size(); }
  [[nodiscard]] const WaitingQuestion& At(std::size_t index) const {
    return this->waiting[index];
  }
  /// Takes out a question that is to be sent, or is not needed any more.
  WaitingQuestion Take(std::size_t index);
  /// A long question has been sent.
  void CountLongSent() { ++this->long_sent; }

 private:
  /// Puts the oldest of the long ones before the others.
  void PromoteOldest(Instant now);

  std::vector<WaitingQuestion> waiting;
  std::uint64_t next_number = 1;
  std::uint64_t long_sent = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_QUESTION_QUEUE_H_
