#ifndef MUSTARDPROXY_PLATFORM_SRC_JOURNAL_WRITER_H_
#define MUSTARDPROXY_PLATFORM_SRC_JOURNAL_WRITER_H_

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/platform/key_value_client.h"

namespace mustardproxy::platform_detail {

/// Appends one batch to its journal by create-if-absent, and settles a lost
/// reply or a conflict by reading.
/// @return `JournalAppended`, `JournalFenced` or `JournalUncertain`
[[nodiscard]] Event AppendBatch(KeyValueClient* client,
                                const JournalBatch& batch);

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_JOURNAL_WRITER_H_
