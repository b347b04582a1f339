#ifndef MUSTARDPROXY_CORE_RESOURCE_MATH_H_
#define MUSTARDPROXY_CORE_RESOURCE_MATH_H_

#include <cstdint>

#include "mustardproxy/core/resources.h"

namespace mustardproxy {

/// Part by part, the larger of both.
[[nodiscard]] Resources ComponentMax(const Resources& a, const Resources& b);
/// Part by part, the smaller of both.
[[nodiscard]] Resources ComponentMin(const Resources& a, const Resources& b);
/// Raises negative components to zero.
[[nodiscard]] Resources ClampToZero(const Resources& resources);
/// Each part `count` times.
[[nodiscard]] Resources Multiply(const Resources& resources,
                                 std::int64_t count);
/// @return how many tasks of this size fit into `room` side by side; a task
///   that takes nothing counts as fitting `kUnboundedCount` times
[[nodiscard]] std::int64_t CountFitting(const Resources& task,
                                        const Resources& room);
/// @return largest of the components of `used` as a share of `total`; a part of
///   which there is none at all is left out
[[nodiscard]] double DominantShare(const Resources& used,
                                   const Resources& total);

inline constexpr std::int64_t kUnboundedCount = 1'000'000;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_RESOURCE_MATH_H_
