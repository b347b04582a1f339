#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_TASK_IDS_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_TASK_IDS_H_

#include <cstdint>

#include "mustardproxy/core/ids.h"

namespace mustardproxy::detail {

/// @return `<request>/<index>/<attempt>`
[[nodiscard]] TaskId MakeTaskId(const RequestId& request, std::int32_t index,
                                std::int32_t attempt);
/// @return the id of another task of the same request and attempt
[[nodiscard]] TaskId SiblingTask(const TaskId& task, std::int32_t index);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_TASK_IDS_H_
