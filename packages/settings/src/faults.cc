#include "faults.h"

#include <algorithm>

namespace mustardproxy::settings_detail {

Faults::Faults(const Problems& problems) {
  for (const Problem& problem : problems) this->paths.insert(problem.path);
}

bool Faults::Any(std::initializer_list<std::string_view> candidates) const {
  return std::any_of(
      candidates.begin(), candidates.end(),
      [this](std::string_view path) { return this->paths.contains(path); });
}

}  // namespace mustardproxy::settings_detail
