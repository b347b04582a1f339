#ifndef MUSTARDPROXY_MUSTARDCTL_ENTRY_STATUS_H_
#define MUSTARDPROXY_MUSTARDCTL_ENTRY_STATUS_H_

#include <string>
#include <string_view>
#include <vector>

#include "entries.h"
#include "mustardproxy/core/core.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "parallel.h"

namespace mustardproxy::ctl {

/// What one entry process answered to `GET /v1/status`.
struct EntryStatus {
  CoreStatus status;
  /// The answer as it came.
  std::string json;
};

/// Fields that a newer process adds are ignored.
/// @return the status; `Error::kMalformedReply` if process, data centre or
///   version are missing or a field has the wrong type
[[nodiscard]] Result<CoreStatus> ParseStatus(std::string_view json);

/// Asks one entry process.
[[nodiscard]] Result<EntryStatus> FetchStatus(const Entry& entry,
                                              Duration timeout);
/// Asks all at once; the answers stand in the order of the entries.
[[nodiscard]] std::vector<Answer<EntryStatus>> FetchStatuses(
    const std::vector<Entry>& entries, Duration timeout);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_ENTRY_STATUS_H_
