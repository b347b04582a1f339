#ifndef MUSTARDPROXY_APP_POINTERS_H_
#define MUSTARDPROXY_APP_POINTERS_H_

#include <string>
#include <vector>

namespace mustardproxy {

/// @return the arguments as `main` would get them; they must outlive it
[[nodiscard]] inline std::vector<const char*> Pointers(
    const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers;
  pointers.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  return pointers;
}

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_POINTERS_H_
