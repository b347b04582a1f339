#ifndef MUSTARDPROXY_MUSTARDCTL_ENTRIES_H_
#define MUSTARDPROXY_MUSTARDCTL_ENTRIES_H_

#include <span>
#include <string>
#include <vector>

#include "key_value_store.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/result.h"

namespace mustardproxy::ctl {

/// An entry process as an operator can reach it.
struct Entry {
  /// Empty if only its address is known.
  ProcessId process;
  DataCenterId data_center;
  /// `ip:port` of its operator listener.
  std::string address;
};

/// @return the processes that have registered below `member/`, by name; a value
///   that can not be understood gives an entry without an address, which counts
///   as unreachable
[[nodiscard]] Result<std::vector<Entry>> ReadMembers(KeyValueStore* store);

/// Adds those of `addresses` that are not among the entries.
void AddAddresses(std::span<const std::string> addresses,
                  std::vector<Entry>* entries);

/// @return name, data centre and address as far as they are known
[[nodiscard]] std::string Describe(const Entry& entry);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_ENTRIES_H_
