#ifndef MUSTARDPROXY_WORKER_HASH_H_
#define MUSTARDPROXY_WORKER_HASH_H_

#include <string>
#include <string_view>

namespace mustardproxy::worker_detail {

/// @return FNV-1a, 64 bits, as sixteen lower-case hexadecimal digits
std::string BodyHash(std::string_view bytes);

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_HASH_H_
