#ifndef MUSTARDPROXY_PLATFORM_SRC_JOURNAL_ARCHIVE_H_
#define MUSTARDPROXY_PLATFORM_SRC_JOURNAL_ARCHIVE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/events.h"
#include "mustardproxy/platform/key_value_client.h"

/// Lists, reads and trims journals. Each function gives nothing when the
/// platform is away.
namespace mustardproxy::platform_detail {

/// @return journals with batches that are not trimmed
[[nodiscard]] std::optional<JournalsListed> ListLiveJournals(
    KeyValueClient* client);

/// @return all batches of the journal. A batch that was trimmed but is still
///   there, because it fences or because its removal is not done yet, comes
///   without its records but for an adopted one.
[[nodiscard]] std::optional<JournalRead> ReadBatches(KeyValueClient* client,
                                                     const JournalId& journal);

/// Marks the batches up to `through` as trimmed.
/// @return keys that may now be removed, one call each
[[nodiscard]] std::optional<std::vector<std::string>> BeginTrim(
    KeyValueClient* client, const JournalId& journal, std::uint64_t through);

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_JOURNAL_ARCHIVE_H_
