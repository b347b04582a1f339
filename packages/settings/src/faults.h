#ifndef MUSTARDPROXY_SETTINGS_FAULTS_H_
#define MUSTARDPROXY_SETTINGS_FAULTS_H_

#include <initializer_list>
#include <set>
#include <string>
#include <string_view>

#include "mustardproxy/settings/load.h"

namespace mustardproxy::settings_detail {

/// Paths that already have a problem. A check that compares values leaves these
/// out: there the default stands in for what the file says, and a comparison
/// would blame the wrong field.
class Faults {
 public:
  explicit Faults(const Problems& problems);

  /// @return true if a problem stands at one of the paths
  [[nodiscard]] bool Any(std::initializer_list<std::string_view> paths) const;

 private:
  std::set<std::string, std::less<>> paths;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_FAULTS_H_
