#ifndef MUSTARDPROXY_CORE_SRC_JOURNAL_SIZE_H_
#define MUSTARDPROXY_CORE_SRC_JOURNAL_SIZE_H_

#include <cstddef>

#include "mustardproxy/core/journal_record.h"

namespace mustardproxy::detail {

/// @return an upper bound of the encoded size of `record` in bytes
[[nodiscard]] std::size_t EncodedSizeBound(const JournalRecord& record);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_JOURNAL_SIZE_H_
