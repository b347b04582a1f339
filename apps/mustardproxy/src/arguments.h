#ifndef MUSTARDPROXY_APP_ARGUMENTS_H_
#define MUSTARDPROXY_APP_ARGUMENTS_H_

#include <cxxopts.hpp>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace mustardproxy {

/// What a command does with its arguments; `help` is its page.
/// @return the exit code
using Command = std::function<int(const cxxopts::ParseResult& arguments,
                                  const std::string& help)>;

/// Parses the arguments and runs the command; complains of what can't be
/// parsed.
/// @param arguments the program's name first
/// @return the exit code
[[nodiscard]] int ParseAndRun(const std::vector<std::string>& arguments,
                              cxxopts::Options options, std::ostream& errors,
                              const Command& command);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_ARGUMENTS_H_
