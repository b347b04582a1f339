#include "journal_archive.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "journal_keys.h"
#include "mustardproxy/telemetry/log.h"
#include "stored_codec.h"

namespace mustardproxy::platform_detail {
namespace {

/// Highest numbers seen among the keys of one journal.
struct Extent {
  std::uint64_t newest = 0;
  std::uint64_t trimmed = 0;

  void Add(const JournalKeyParts& parts) {
    std::uint64_t& number = parts.trim ? this->trimmed : this->newest;
    number = std::max(number, parts.sequence);
  }
};

bool IsAdopted(const JournalRecord& record) {
  return std::holds_alternative<AdoptedRecord>(record);
}

Extent ExtentOf(const std::vector<KeyValue>& values) {
  Extent extent;
  for (const KeyValue& value : values) {
    if (const auto parts = ParseJournalKey(value.key)) {
      extent.Add(*parts);
    }
  }
  return extent;
}

/// An adopted record at sequence n is what refuses the former owner's append at
/// n; if it were removed, an owner that was paused meanwhile could create n and
/// would believe its journal to be its own. The newest batch tells an adopter
/// the next sequence number. Both stay.
bool MayRemove(const KeyValue& value, const JournalKeyParts& parts,
               std::uint64_t through, const Extent& extent) {
  if (parts.trim) {
    return parts.sequence < std::max(through, extent.trimmed);
  }
  if (parts.sequence > through || parts.sequence == extent.newest) {
    return false;
  }
  const auto batch = DecodeBatch(value.value);
  return batch &&
         std::none_of(batch->records.begin(), batch->records.end(), IsAdopted);
}

}  // namespace

std::optional<JournalsListed> ListLiveJournals(KeyValueClient* client) {
  const auto keys = client->Keys(kJournalPrefix);
  if (!keys) {
    return std::nullopt;
  }
  std::map<JournalId, Extent> extents;
  for (const std::string& key : keys.value()) {
    if (const auto parts = ParseJournalKey(key)) {
      extents[parts->journal].Add(*parts);
    }
  }
  JournalsListed listed;
  for (const auto& [journal, extent] : extents) {
    if (extent.newest > extent.trimmed) {
      listed.journals.push_back(journal);
    }
  }
  return listed;
}

std::optional<JournalRead> ReadBatches(KeyValueClient* client,
                                       const JournalId& journal) {
  const auto values = client->List(JournalFolder(journal));
  if (!values) {
    return std::nullopt;
  }
  const Extent extent = ExtentOf(values.value());
  JournalRead read;
  read.journal = journal;
  for (const KeyValue& value : values.value()) {
    const auto parts = ParseJournalKey(value.key);
    if (!parts || parts->trim) {
      continue;
    }
    auto batch = DecodeBatch(value.value);
    if (!batch) {
      Log(Part::kPlatform, Level::kError,
          "Batch " + value.key + " can not be read.");
      return std::nullopt;
    }
    batch->journal = journal;
    batch->sequence = parts->sequence;
    // An append that was delayed on its way may create a batch again after it
    // was removed. Its records would bring ended work back.
    if (parts->sequence <= extent.trimmed) {
      std::erase_if(batch->records, [](const JournalRecord& record) {
        return !IsAdopted(record);
      });
    }
    read.batches.push_back(std::move(*batch));
  }
  return read;
}

std::optional<std::vector<std::string>> BeginTrim(KeyValueClient* client,
                                                  const JournalId& journal,
                                                  std::uint64_t through) {
  const auto values = client->List(JournalFolder(journal));
  if (!values) {
    return std::nullopt;
  }
  const Extent extent = ExtentOf(values.value());
  if (through > extent.trimmed &&
      client->Swap(TrimKey(journal, through), "", 0) == SwapEnd::kUncertain) {
    return std::nullopt;
  }
  std::vector<std::string> removable;
  for (const KeyValue& value : values.value()) {
    const auto parts = ParseJournalKey(value.key);
    if (parts && MayRemove(value, *parts, through, extent)) {
      removable.push_back(value.key);
    }
  }
  return removable;
}

}  // namespace mustardproxy::platform_detail
