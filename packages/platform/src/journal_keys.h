#ifndef MUSTARDPROXY_PLATFORM_SRC_JOURNAL_KEYS_H_
#define MUSTARDPROXY_PLATFORM_SRC_JOURNAL_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"

/// Names of what a journal keeps in the platform:
/// `journal/<journal>/<sequence>` for its batches, and
/// `journal/<journal>/trimmed-<sequence>` for the number up to which its
/// batches no longer count. Numbers have 20 digits, so that keys sort by them.
namespace mustardproxy::platform_detail {

/// What a key below `journal/` stands for.
struct JournalKeyParts {
  JournalId journal;
  std::uint64_t sequence = 0;
  /// It marks a trim, and is no batch.
  bool trim = false;
};

[[nodiscard]] std::string JournalFolder(const JournalId& journal);
[[nodiscard]] std::string JournalKey(const JournalId& journal,
                                     std::uint64_t sequence);
[[nodiscard]] std::string TrimKey(const JournalId& journal,
                                  std::uint64_t through);
/// @return nothing for a key of another form
[[nodiscard]] std::optional<JournalKeyParts> ParseJournalKey(
    std::string_view key);

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_JOURNAL_KEYS_H_
