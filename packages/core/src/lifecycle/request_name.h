#ifndef MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_NAME_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_NAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"

namespace mustardproxy::detail {

/// The run of a process that created a request id or writes a journal.
struct NamedProcess {
  ProcessId process;
  Incarnation incarnation = 0;
};

/// @return the parts of `<process>.<incarnation in hex>.<counter>`, or nothing
///   if the id has another form
std::optional<NamedProcess> CreatorOf(const RequestId& request);
/// @return the parts of `<process>.<incarnation in hex>` or
///   `<process>.<incarnation in hex>-<number>`
std::optional<NamedProcess> WriterOf(const JournalId& journal);
/// @return the name of the journal number `number` of one run of a process
JournalId JournalName(const ProcessId& process, Incarnation incarnation,
                      std::int32_t number);
/// @return the 64-bit FNV-1a hash of a body, used to distinguish repeats from
///   other requests
std::uint64_t BodyHash(std::string_view body);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_NAME_H_
