#ifndef MUSTARDPROXY_GATEWAY_DEFERRED_ANSWER_H_
#define MUSTARDPROXY_GATEWAY_DEFERRED_ANSWER_H_

#include <optional>

#include "mustardproxy/core/request.h"
#include "mustardproxy/http/message.h"

namespace mustardproxy::gateway_detail {

/// @return a problem if the question could not be answered: the request is
///   unknown, or the core was too busy to look
[[nodiscard]] std::optional<http::HttpAnswer> Unanswered(
    const RequestId& request, const std::optional<DeferredStatus>& status);
/// @return state as JSON, with `ran` after a cancellation
[[nodiscard]] http::HttpAnswer StateAnswer(const RequestId& request,
                                           const DeferredStatus& status,
                                           bool with_ran);
/// @return the upstream's answer, or a problem if there is none
[[nodiscard]] http::HttpAnswer ResultAnswer(const RequestId& request,
                                            const DeferredStatus& status);

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_DEFERRED_ANSWER_H_
