#ifndef MUSTARDPROXY_APP_INCARNATION_H_
#define MUSTARDPROXY_APP_INCARNATION_H_

#include "mustardproxy/core/ids.h"

namespace mustardproxy {

/// @return a number that tells this run of the process from all others, drawn
///   from the machine's source of randomness
[[nodiscard]] Incarnation DrawIncarnation();

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_INCARNATION_H_
