#include "journal_keys.h"

#include <charconv>
#include <system_error>

#include "mustardproxy/platform/key_value_client.h"

namespace mustardproxy::platform_detail {
namespace {

constexpr std::size_t kDigits = 20;
constexpr std::string_view kTrimmed = "trimmed-";

std::string Padded(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kDigits - digits.size(), '0') + digits;
}

}  // namespace

std::string JournalFolder(const JournalId& journal) {
  return std::string(kJournalPrefix) + journal.Text() + "/";
}

std::string JournalKey(const JournalId& journal, std::uint64_t sequence) {
  return JournalFolder(journal) + Padded(sequence);
}

std::string TrimKey(const JournalId& journal, std::uint64_t through) {
  return JournalFolder(journal) + std::string(kTrimmed) + Padded(through);
}

std::optional<JournalKeyParts> ParseJournalKey(std::string_view key) {
  if (!key.starts_with(kJournalPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kJournalPrefix.size());
  const std::size_t slash = key.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  JournalKeyParts parts;
  parts.journal = JournalId(key.substr(0, slash));
  std::string_view number = key.substr(slash + 1);
  parts.trim = number.starts_with(kTrimmed);
  if (parts.trim) {
    number.remove_prefix(kTrimmed.size());
  }
  const auto [end, error] = std::from_chars(
      number.data(), number.data() + number.size(), parts.sequence);
  const bool whole = error == std::errc() &&
                     end == number.data() + number.size() &&
                     number.size() == kDigits;
  return whole ? std::optional(parts) : std::nullopt;
}

}  // namespace mustardproxy::platform_detail
