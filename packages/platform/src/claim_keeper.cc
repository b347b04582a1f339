#include "claim_keeper.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/log.h"
#include "stored_codec.h"

namespace mustardproxy::platform_detail {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
/// Races that are lost in a row before a claim is given up on.
constexpr int kMaxRounds = 4;
/// Keys that may share a hash. A caller can make such keys up; past this the
/// next one is refused.
constexpr std::size_t kMaxClaims = 8;

/// A bucket as it was read, with the index that a change of it must name.
struct ReadBucket {
  ClaimBucket claims;
  std::uint64_t index = 0;
};

std::optional<ReadBucket> ReadAt(KeyValueClient* client,
                                 const std::string& name) {
  const Result<std::optional<KeyValue>> read = client->Get(name);
  if (!read) {
    return std::nullopt;
  }
  if (!read.value()) {
    return ReadBucket{};
  }
  auto claims = DecodeBucket(read.value()->value);
  if (!claims) {
    Log(Part::kPlatform, Level::kError, "Claim " + name + " can not be read.");
    return std::nullopt;
  }
  return ReadBucket{std::move(*claims), read.value()->modify_index};
}

ClaimBucket::iterator FindKey(ClaimBucket* bucket, const std::string& key) {
  return std::find_if(bucket->begin(), bucket->end(),
                      [&](const StoredClaim& each) { return each.key == key; });
}

StoredClaim NewClaim(const ClaimKey& action) {
  return {action.key, {action.request, action.body_hash, std::nullopt}};
}

bool NothingWritten(const KeyValueClient& client) {
  const CallEnd end = client.LastEnd();
  return end == CallEnd::kNotSent || end == CallEnd::kRefused;
}

/// One claim in progress.
class Claiming {
 public:
  Claiming(KeyValueClient* client, const ClaimKey& action)
      : client(client),
        action(action),
        name(ClaimKeyName(action.team, action.key)) {}

  Event Run();

 private:
  /// @return the end, or nothing if the value must be read
  std::optional<Event> Write(const ClaimBucket& bucket, std::uint64_t index);
  /// @return the end, or nothing if another round is needed
  std::optional<Event> ReadAndWrite();
  Event Unavailable() const;

  KeyValueClient* client;
  const ClaimKey& action;
  std::string name;
  /// A write without a reply was made: the claim may stand.
  bool maybe_claimed = false;
};

Event Claiming::Run() {
  std::optional<Event> end = this->Write({NewClaim(this->action)}, 0);
  for (int round = 0; !end && round < kMaxRounds; ++round) {
    end = this->ReadAndWrite();
  }
  return end ? std::move(*end) : this->Unavailable();
}

std::optional<Event> Claiming::Write(const ClaimBucket& bucket,
                                     std::uint64_t index) {
  const SwapEnd end =
      this->client->Swap(this->name, EncodeBucket(bucket), index);
  if (end == SwapEnd::kSwapped) {
    return KeyClaimed{this->action.request};
  }
  if (end == SwapEnd::kUncertain && NothingWritten(*this->client)) {
    return this->Unavailable();
  }
  // A conflict may be with an earlier copy of this very claim, made by an
  // action that ended unavailable.
  this->maybe_claimed = true;
  return std::nullopt;
}

std::optional<Event> Claiming::ReadAndWrite() {
  std::optional<ReadBucket> read = ReadAt(this->client, this->name);
  if (!read) {
    return this->Unavailable();
  }
  const auto found = FindKey(&read->claims, this->action.key);
  if (found != read->claims.end()) {
    const bool own = found->claim.request == this->action.request;
    if (own && !found->claim.answer) {
      return KeyClaimed{this->action.request};
    }
    return KeyTaken{this->action.request, std::move(found->claim)};
  }
  if (read->claims.size() >= kMaxClaims) {
    return this->Unavailable();
  }
  read->claims.push_back(NewClaim(this->action));
  return this->Write(read->claims, read->index);
}

Event Claiming::Unavailable() const {
  return KeyUnavailable{this->action.request, this->maybe_claimed};
}

/// Stands in for an answer that the platform can not hold beside its claim. The
/// request ran, so a repeat must neither run it again nor be told "not run".
Answer TooLargeAnswer() {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.error = make_error_code(Error::kResultExpired);
  answer.detail = "The request has ended; its answer was too large to keep.";
  return answer;
}

std::string EncodeWithinLimit(ClaimBucket* bucket, const std::string& key) {
  std::string value = EncodeBucket(*bucket);
  if (value.size() <= kMaxValueBytes) {
    return value;
  }
  const auto found = FindKey(bucket, key);
  if (found != bucket->end() && found->claim.answer) {
    found->claim.answer = TooLargeAnswer();
  }
  return EncodeBucket(*bucket);
}

}  // namespace

std::string ClaimKeyName(const TeamId& team, std::string_view key) {
  std::uint64_t hash = kFnvOffset;
  for (const char each : key) {
    hash ^= static_cast<unsigned char>(each);
    hash *= kFnvPrime;
  }
  std::array<char, kHexDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 hash, kHexBase);
  const std::string hex(digits.data(), end.ptr);
  return std::string(kClaimPrefix) + team.Text() + "/" +
         std::string(kHexDigits - hex.size(), '0') + hex;
}

Event TakeClaim(KeyValueClient* client, const ClaimKey& action) {
  return Claiming(client, action).Run();
}

bool SettleClaim(KeyValueClient* client, const ResolveKeyClaim& action) {
  const std::string name = ClaimKeyName(action.team, action.key);
  std::optional<ReadBucket> read = ReadAt(client, name);
  if (!read) {
    return false;
  }
  const auto found = FindKey(&read->claims, action.key);
  const bool present = found != read->claims.end();
  if (present && found->claim.request != action.request) {
    return true;
  }
  if (present && action.drop) {
    read->claims.erase(found);
  } else if (present) {
    found->claim.answer = action.answer;
  } else if (!action.drop) {
    read->claims.push_back(
        {action.key, {action.request, action.body_hash, action.answer}});
  } else if (read->index != 0) {
    return true;
  }
  // With the claim absent and nothing at its place, a drop still writes an
  // empty value: the claim's own create may be on its way, and is refused now.
  const std::string value = EncodeWithinLimit(&read->claims, action.key);
  return client->Swap(name, value, read->index) == SwapEnd::kSwapped;
}

}  // namespace mustardproxy::platform_detail
