#include "configuration_store.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::ctl {
namespace {

constexpr std::size_t kVersionDigits = 20;
constexpr auto kRetryPause = std::chrono::milliseconds(100);

std::string HistoryKey(ConfigurationVersion version) {
  std::string digits = std::to_string(version);
  digits.insert(0, kVersionDigits - digits.size(), '0');
  return std::string(kHistoryPrefix) + digits;
}

std::optional<ConfigurationVersion> VersionOfKey(std::string_view key) {
  if (!key.starts_with(kHistoryPrefix)) return std::nullopt;
  key.remove_prefix(kHistoryPrefix.size());
  if (key.size() != kVersionDigits) return std::nullopt;
  ConfigurationVersion version = 0;
  const auto end =
      std::from_chars(key.data(), key.data() + key.size(), version);
  const bool whole = end.ptr == key.data() + key.size();
  if (end.ec != std::errc() || !whole) return std::nullopt;
  return version;
}

/// @return false once the deadline has passed
bool PauseBefore(Instant deadline) {
  if (SteadyNow() + kRetryPause >= deadline) return false;
  std::this_thread::sleep_for(kRetryPause);
  return true;
}

}  // namespace

Result<StoredConfiguration> ConfigurationStore::Current() {
  const Result<std::optional<KeyValue>> stored =
      this->store->Get(kConfigurationKey);
  if (!stored) return stored.error();
  StoredConfiguration current;
  if (!stored.value()) return current;
  current.index = stored.value()->modify_index;
  auto parsed = ParseConfiguration(stored.value()->value);
  if (auto* problems = std::get_if<Problems>(&parsed)) {
    current.problems = std::move(*problems);
  } else {
    current.configuration = std::get<Configuration>(std::move(parsed));
  }
  return current;
}

Result<std::vector<ConfigurationVersion>> ConfigurationStore::PastVersions() {
  const Result<std::vector<std::string>> keys =
      this->store->Keys(kHistoryPrefix);
  if (!keys) return keys.error();
  std::vector<ConfigurationVersion> versions;
  for (const std::string& key : keys.value()) {
    const auto version = VersionOfKey(key);
    if (version) versions.push_back(*version);
  }
  std::sort(versions.begin(), versions.end());
  return versions;
}

Result<std::optional<Configuration>> ConfigurationStore::Past(
    ConfigurationVersion version) {
  const Result<std::optional<KeyValue>> stored =
      this->store->Get(HistoryKey(version));
  if (!stored) return stored.error();
  if (!stored.value()) return std::optional<Configuration>();
  auto parsed = ParseConfiguration(stored.value()->value);
  if (std::holds_alternative<Problems>(parsed)) return Error::kMalformedReply;
  return std::optional(std::get<Configuration>(std::move(parsed)));
}

WriteEnd ConfigurationStore::Replace(const StoredConfiguration& base,
                                     const Configuration& next,
                                     Duration patience) {
  const Instant deadline = SteadyNow() + patience;
  if (base.configuration && !this->Record(*base.configuration, deadline)) {
    return WriteEnd::kNotWritten;
  }
  const WriteEnd end = this->SwapUntilKnown(base.index, next, deadline);
  // Only so that the newest version shows among the past ones at once; if it
  // fails, the next writer does it.
  if (end == WriteEnd::kWritten) {
    this->Record(next, SteadyNow());
    this->Trim(next.version);
  }
  return end;
}

void ConfigurationStore::Trim(ConfigurationVersion newest) {
  // Two at a time: a removal that failed is made up for by the next writer.
  // Nobody reads these keys to settle a write, which looks at versions that are
  // seconds old; so a failure is no reason to fail the command.
  constexpr ConfigurationVersion kAtATime = 2;
  for (ConfigurationVersion i = 0; i < kAtATime; ++i) {
    if (newest <= kPastVersionsKept + i) return;
    static_cast<void>(
        this->store->Remove(HistoryKey(newest - kPastVersionsKept - i)));
  }
}

bool ConfigurationStore::Record(const Configuration& configuration,
                                Instant deadline) {
  const std::string key = HistoryKey(configuration.version);
  const std::string text = FormatConfiguration(configuration);
  do {
    // A conflict says that the key is there, and all write the same text.
    if (this->store->Swap(key, text, 0) != SwapEnd::kUncertain) return true;
    const Result<std::optional<KeyValue>> stored = this->store->Get(key);
    if (stored && stored.value()) return true;
  } while (PauseBefore(deadline));
  return false;
}

WriteEnd ConfigurationStore::SwapUntilKnown(std::uint64_t index,
                                            const Configuration& next,
                                            Instant deadline) {
  const std::string text = FormatConfiguration(next);
  bool uncertain = false;
  do {
    const SwapEnd end = this->store->Swap(kConfigurationKey, text, index);
    if (end == SwapEnd::kSwapped) return WriteEnd::kWritten;
    if (end == SwapEnd::kConflict && !uncertain) return WriteEnd::kConflict;
    uncertain = true;
    const std::optional<WriteEnd> settled = this->Settle(index, next);
    if (settled) return *settled;
  } while (PauseBefore(deadline));
  return WriteEnd::kUncertain;
}

// The platform may lose the reply to a write that took effect. A second swap
// with the same index then fails as if another operator had been faster. What
// the keys hold tells the two apart: our version with our text, either still
// current or, if another operator has built on it since, in the history. While
// the index is unchanged, the write may also still be on its way; sending it
// again is harmless, since only one of the two can match the index.
std::optional<WriteEnd> ConfigurationStore::Settle(std::uint64_t index,
                                                   const Configuration& next) {
  const Result<StoredConfiguration> read = this->Current();
  if (!read) return std::nullopt;
  const StoredConfiguration& current = read.value();
  if (current.index == index) return std::nullopt;
  if (!current.configuration) return WriteEnd::kConflict;
  if (*current.configuration == next) return WriteEnd::kWritten;
  if (current.configuration->version <= next.version) {
    return WriteEnd::kConflict;
  }
  const Result<std::optional<Configuration>> past = this->Past(next.version);
  if (!past) return std::nullopt;
  const bool ours = past.value() && *past.value() == next;
  return ours ? WriteEnd::kWritten : WriteEnd::kConflict;
}

}  // namespace mustardproxy::ctl
