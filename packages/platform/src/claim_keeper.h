#ifndef MUSTARDPROXY_PLATFORM_SRC_CLAIM_KEEPER_H_
#define MUSTARDPROXY_PLATFORM_SRC_CLAIM_KEEPER_H_

#include <string>
#include <string_view>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/platform/key_value_client.h"

/// Claims on idempotency keys. All keys of a team with the same hash share one
/// value, which only compare-and-swap changes: a removal that is delayed on its
/// way could take away a later claim, so a dropped claim leaves an empty value.
namespace mustardproxy::platform_detail {

/// @return `claim/<team>/<FNV-1a of key in hex>`
[[nodiscard]] std::string ClaimKeyName(const TeamId& team,
                                       std::string_view key);

/// Claims the key for the request. Claiming again for the same request finds
/// its own earlier claim.
/// @return `KeyClaimed`, `KeyTaken` or `KeyUnavailable`
[[nodiscard]] Event TakeClaim(KeyValueClient* client, const ClaimKey& action);

/// Keeps the answer beside the claim, or drops the claim.
/// @return false if it is to be tried again; repeating it is safe
[[nodiscard]] bool SettleClaim(KeyValueClient* client,
                               const ResolveKeyClaim& action);

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_CLAIM_KEEPER_H_
