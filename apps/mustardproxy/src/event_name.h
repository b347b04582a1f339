#ifndef MUSTARDPROXY_APP_EVENT_NAME_H_
#define MUSTARDPROXY_APP_EVENT_NAME_H_

#include <string_view>

#include "mustardproxy/core/events.h"

namespace mustardproxy {

/// @return the metrics label of an event's kind, such as `event=task-ended`
[[nodiscard]] std::string_view EventLabel(const Event& event);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_EVENT_NAME_H_
