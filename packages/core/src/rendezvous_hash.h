#ifndef MUSTARDPROXY_CORE_SRC_RENDEZVOUS_HASH_H_
#define MUSTARDPROXY_CORE_SRC_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string_view>

namespace mustardproxy::detail {

/// Spreads the bits of `value`; the finalizer of SplitMix64.
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  value ^= value >> 31U;
  return value;
}

/// 64-bit FNV-1a. Not `std::hash`, since all processes must agree on it.
constexpr std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

/// Weight of `node` for `key` in rendezvous hashing; the highest one wins. When
/// a node goes, only the keys that it had move.
constexpr std::uint64_t RendezvousWeight(std::string_view key,
                                         std::string_view node) {
  return MixBits(HashText(key) ^ MixBits(HashText(node)));
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_RENDEZVOUS_HASH_H_
