#ifndef MUSTARDPROXY_JOBS_KEY_DIGEST_H_
#define MUSTARDPROXY_JOBS_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardproxy::jobs {

/// SHA-256 digest of an API key. Only digests of keys are kept, so that no log,
/// record or memory dump of the configuration can reveal a key. Comparing
/// digests does not leak through its duration how much of a key was guessed.
class KeyDigest {
 public:
  KeyDigest() = default;
  /// @return the digest of a key
  [[nodiscard]] static KeyDigest Of(std::string_view key);
  /// @return 16 hexadecimal digits that identify the key in logs and records
  [[nodiscard]] std::string Fingerprint() const;

  friend bool operator==(const KeyDigest&, const KeyDigest&) = default;
  // clang-tidy reports the 0 in the rewritten comparison as a null pointer.
  friend std::strong_ordering operator<=>(const KeyDigest&, const KeyDigest&) =
      default;  // NOLINT

 private:
  static constexpr std::size_t kBytes = 32;
  std::array<std::uint8_t, kBytes> bytes{};
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_KEY_DIGEST_H_
