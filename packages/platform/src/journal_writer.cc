#include "journal_writer.h"

#include <optional>
#include <string>

#include "journal_keys.h"
#include "mustardproxy/telemetry/log.h"
#include "stored_codec.h"

namespace mustardproxy::platform_detail {
namespace {

/// A write whose reply was lost, or whose earlier copy took effect, shows as
/// uncertain or as a conflict. Only the batch id in the platform tells our own
/// write from an adopter's.
Event Settle(KeyValueClient* client, const JournalBatch& batch,
             const std::string& key) {
  const Result<std::optional<KeyValue>> read = client->Get(key);
  // Absent: the write may still be on its way. Sending the same batch again is
  // safe, since only one copy can create the key.
  if (!read || !read.value()) {
    return JournalUncertain{batch.journal, batch.sequence};
  }
  const auto found = DecodeBatch(read.value()->value);
  if (found && found->batch_id == batch.batch_id) {
    return JournalAppended{batch.journal, batch.sequence};
  }
  Log(Part::kPlatform, Level::kWarn,
      "Journal " + batch.journal.Text() + " was adopted by another process.");
  return JournalFenced{batch.journal, batch.sequence};
}

}  // namespace

Event AppendBatch(KeyValueClient* client, const JournalBatch& batch) {
  const std::string value = EncodeBatch(batch);
  if (value.size() > kMaxValueBytes) {
    Log(Part::kPlatform, Level::kError,
        "A batch of journal " + batch.journal.Text() + " is too large.");
    return JournalUncertain{batch.journal, batch.sequence};
  }
  const std::string key = JournalKey(batch.journal, batch.sequence);
  const SwapEnd end = client->Swap(key, value, 0);
  if (end == SwapEnd::kSwapped) {
    return JournalAppended{batch.journal, batch.sequence};
  }
  const CallEnd call = client->LastEnd();
  const bool nothing_written =
      call == CallEnd::kNotSent || call == CallEnd::kRefused;
  if (nothing_written) {
    return JournalUncertain{batch.journal, batch.sequence};
  }
  return Settle(client, batch, key);
}

}  // namespace mustardproxy::platform_detail
