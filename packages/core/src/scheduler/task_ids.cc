#include "scheduler/task_ids.h"

#include <string>
#include <string_view>

namespace mustardproxy::detail {

TaskId MakeTaskId(const RequestId& request, std::int32_t index,
                  std::int32_t attempt) {
  std::string text = request.Text();
  text += '/';
  text += std::to_string(index);
  text += '/';
  text += std::to_string(attempt);
  return TaskId(std::move(text));
}

TaskId SiblingTask(const TaskId& task, std::int32_t index) {
  const std::string_view text = task.Text();
  const std::size_t attempt = text.rfind('/');
  if (attempt == std::string_view::npos || attempt == 0) return task;
  const std::size_t own_index = text.rfind('/', attempt - 1);
  if (own_index == std::string_view::npos) return task;
  std::string sibling(text.substr(0, own_index + 1));
  sibling += std::to_string(index);
  sibling += text.substr(attempt);
  return TaskId(std::move(sibling));
}

}  // namespace mustardproxy::detail
