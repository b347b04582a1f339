#include "arguments.h"

#include "program.h"

namespace mustardproxy {
namespace {

/// @return the arguments as `main` would get them; they must outlive it
std::vector<const char*> Pointers(const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers;
  pointers.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  return pointers;
}

}  // namespace

int ParseAndRun(const std::vector<std::string>& arguments,
                cxxopts::Options options, std::ostream& errors,
                const Command& command) {
  const std::vector<const char*> pointers = Pointers(arguments);
  try {
    const auto parsed =
        options.parse(static_cast<int>(pointers.size()), pointers.data());
    return command(parsed, options.help());
  } catch (const cxxopts::exceptions::exception& problem) {
    errors << problem.what() << '\n';
    return kExitBadSettings;
  }
}

}  // namespace mustardproxy
