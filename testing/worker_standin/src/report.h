#ifndef MUSTARDPROXY_STANDIN_REPORT_H_
#define MUSTARDPROXY_STANDIN_REPORT_H_

#include <string>
#include <string_view>

#include "mustardproxy/core/request.h"
#include "refusal.h"
#include "task_table.h"

namespace mustardproxy::standin {

/// @return how a task ended as the protocol spells it
std::string_view NameOf(TaskEnd end);
/// Appends a member of `running`.
void AppendRunning(Instant now, const RunningEntry& entry, std::string* out);
/// Appends a member of `ended`.
void AppendEnded(const EndedTask& ended, std::string* out);
/// @return the body of a 409 answer
std::string FormatRefusal(const Refusal& refusal);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_REPORT_H_
