#ifndef MUSTARDPROXY_CORE_SRC_RENDEZVOUS_HASH_H_
#define MUSTARDPROXY_CORE_SRC_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string_view>

namespace mustardproxy::detail {

/// Mixes the bits of `value` with the finalizer of SplitMix64.
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  value ^= value >> 31U;
  return value;
}

/// 64-bit FNV-1a hash. `std::hash` is not used, because all processes must
/// compute the same value.
constexpr std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

/// Weight of `node` for `key` in rendezvous hashing; the node with the highest
/// weight is chosen. When a node is removed, only its keys move.
constexpr std::uint64_t RendezvousWeight(std::string_view key,
                                         std::string_view node) {
  return MixBits(HashText(key) ^ MixBits(HashText(node)));
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_RENDEZVOUS_HASH_H_
