#include "event_name.h"

#include <array>

namespace mustardproxy {
namespace {

/// In the order of the alternatives of `Event`.
constexpr std::array kLabels{
    std::string_view("event=tick"),
    std::string_view("event=request-arrived"),
    std::string_view("event=cancel-requested"),
    std::string_view("event=query-arrived"),
    std::string_view("event=query-answered"),
    std::string_view("event=forward-answered"),
    std::string_view("event=forward-failed"),
    std::string_view("event=worker-attached"),
    std::string_view("event=worker-refused"),
    std::string_view("event=worker-renewed"),
    std::string_view("event=worker-unreachable"),
    std::string_view("event=worker-released"),
    std::string_view("event=task-started"),
    std::string_view("event=task-ended"),
    std::string_view("event=task-not-started"),
    std::string_view("event=task-uncertain"),
    std::string_view("event=task-queried"),
    std::string_view("event=task-stop-answered"),
    std::string_view("event=digest-arrived"),
    std::string_view("event=peer-unreachable"),
    std::string_view("event=host-list-arrived"),
    std::string_view("event=configuration-arrived"),
    std::string_view("event=journal-appended"),
    std::string_view("event=journal-fenced"),
    std::string_view("event=journal-uncertain"),
    std::string_view("event=journals-listed"),
    std::string_view("event=journal-read"),
    std::string_view("event=key-claimed"),
    std::string_view("event=key-taken"),
    std::string_view("event=key-unavailable"),
    std::string_view("event=platform-reachability"),
    std::string_view("event=shutdown-requested"),
};
static_assert(kLabels.size() == std::variant_size_v<Event>);

}  // namespace

std::string_view EventLabel(const Event& event) {
  return kLabels[event.index()];
}

}  // namespace mustardproxy
