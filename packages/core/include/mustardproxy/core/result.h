#ifndef MUSTARDPROXY_CORE_RESULT_H_
#define MUSTARDPROXY_CORE_RESULT_H_

#include <boost/outcome/std_result.hpp>
#include <system_error>

namespace mustardproxy {

/// A value or an error code.
/// Boost.Outcome is used instead of `std::expected`, which clang-tidy 14 cannot
/// parse from the standard library of GCC 12.
template <typename T>
using Result = boost::outcome_v2::std_result<T, std::error_code>;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_RESULT_H_
