#ifndef MUSTARDPROXY_CORE_RESOURCE_MATH_H_
#define MUSTARDPROXY_CORE_RESOURCE_MATH_H_

#include <cstdint>

#include "mustardproxy/core/resources.h"

namespace mustardproxy {

/// Component-wise maximum.
[[nodiscard]] Resources ComponentMax(const Resources& a, const Resources& b);
/// Component-wise minimum.
[[nodiscard]] Resources ComponentMin(const Resources& a, const Resources& b);
/// Replaces negative components by zero.
[[nodiscard]] Resources ClampToZero(const Resources& resources);
/// Multiplies each component by `count`.
[[nodiscard]] Resources Multiply(const Resources& resources,
                                 std::int64_t count);
/// @return number of tasks of this size that fit into `available` together;
///   components that a task does not need count as `kUnboundedCount`
[[nodiscard]] std::int64_t CountFitting(const Resources& task,
                                        const Resources& available);
/// @return largest component of `used` relative to `total`; components whose
///   total is zero are ignored
[[nodiscard]] double DominantShare(const Resources& used,
                                   const Resources& total);

inline constexpr std::int64_t kUnboundedCount = 1'000'000;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_RESOURCE_MATH_H_
