#include "hash.h"

#include <Poco/NumberFormatter.h>
#include <Poco/String.h>

#include <cstdint>

namespace mustardproxy::worker_detail {

std::string BodyHash(std::string_view bytes) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  constexpr int kDigits = 16;
  std::uint64_t hash = kOffset;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kPrime;
  }
  const std::string upper =
      Poco::NumberFormatter::formatHex(Poco::UInt64{hash}, kDigits);
  return Poco::toLower(upper);
}

}  // namespace mustardproxy::worker_detail
