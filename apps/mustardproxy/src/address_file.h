#ifndef MUSTARDPROXY_APP_ADDRESS_FILE_H_
#define MUSTARDPROXY_APP_ADDRESS_FILE_H_

#include <string>
#include <system_error>

namespace mustardproxy {

/// Where a process really listens.
struct Addresses {
  /// Each `ip:port`.
  std::string callers;
  std::string operators;
  std::string peers;
};

/// Writes the addresses and the own process number as JSON. The file appears
/// whole or not at all, since others wait for it.
[[nodiscard]] std::error_code WriteAddressFile(const std::string& path,
                                               const Addresses& addresses);
/// @return `{"operators": …, "data_center": …}`, as operators' tools look it up
[[nodiscard]] std::string FormatMember(const Addresses& addresses,
                                       const std::string& data_center);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_ADDRESS_FILE_H_
