#ifndef MUSTARDPROXY_PLATFORM_SRC_STORED_CODEC_H_
#define MUSTARDPROXY_PLATFORM_SRC_STORED_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/journal_record.h"

/// Turns what is kept in the platform into bytes and back. The journal and the
/// sequence number of a batch are in its key, not in its bytes.
namespace mustardproxy::platform_detail {

/// A claim with the key that it is on.
struct StoredClaim {
  std::string key;
  KeyClaim claim;
};
/// Claims on keys with the same hash.
using ClaimBucket = std::vector<StoredClaim>;

[[nodiscard]] std::string EncodeBatch(const JournalBatch& batch);
/// @return nothing if the bytes are not a batch
[[nodiscard]] std::optional<JournalBatch> DecodeBatch(std::string_view bytes);
[[nodiscard]] std::string EncodeBucket(const ClaimBucket& bucket);
/// @return nothing if the bytes are not a bucket
[[nodiscard]] std::optional<ClaimBucket> DecodeBucket(std::string_view bytes);

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_STORED_CODEC_H_
