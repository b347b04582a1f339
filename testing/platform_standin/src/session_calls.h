#ifndef MUSTARDPROXY_STANDIN_SRC_SESSION_CALLS_H_
#define MUSTARDPROXY_STANDIN_SRC_SESSION_CALLS_H_

#include <string>
#include <string_view>

#include "key_value_store.h"
#include "reply.h"

namespace mustardproxy::standin {

/// Carries out one call on sessions.
/// @param call what follows `/v1/session/`: `create`, `renew/ID`, `destroy/ID`
[[nodiscard]] Reply CallSession(std::string_view call, const std::string& body,
                                KeyValueStore* store);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_SESSION_CALLS_H_
