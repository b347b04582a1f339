#ifndef JOB_SIM_SIM_TICKET_H_
#define JOB_SIM_SIM_TICKET_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace job_sim {

/// What the stand-in of the policy service gives out: good for one step at one
/// worker until a moment.
struct SimTicket {
  mustardproxy::jobs::StepRef step;
  mustardproxy::WorkerId worker;
  /// Names the life of the worker.
  std::int64_t start_unix_ms = 0;
  mustardproxy::Instant expires;

  [[nodiscard]] std::string Text() const;
  /// @return true if `text` is this ticket's, or that of one that expires later
  [[nodiscard]] bool Admits(std::string_view text) const;
};

}  // namespace job_sim

#endif  // JOB_SIM_SIM_TICKET_H_
