#ifndef MUSTARDPROXY_PLATFORM_SRC_KEY_VALUE_JSON_H_
#define MUSTARDPROXY_PLATFORM_SRC_KEY_VALUE_JSON_H_

#include <string>
#include <vector>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/worker.h"
#include "mustardproxy/platform/key_value_client.h"

/// Reads the JSON of the platform's replies. Each fails with
/// `Error::kMalformedReply`.
namespace mustardproxy::platform_detail {

[[nodiscard]] Result<std::vector<KeyValue>> ParseKeyValues(
    const std::string& json);
[[nodiscard]] Result<std::vector<std::string>> ParseKeys(
    const std::string& json);
/// A state other than `live` counts as leaving: no new work is the safe side.
[[nodiscard]] Result<std::vector<WorkerDescription>> ParseHosts(
    const std::string& json);

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_KEY_VALUE_JSON_H_
