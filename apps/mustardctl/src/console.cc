#include "console.h"

namespace mustardproxy::ctl {

void PrintProblems(const Console& console, std::string_view title,
                   const Problems& problems) {
  console.err << title << ":\n";
  for (const Problem& problem : problems) {
    console.err << "  " << FormatProblem(problem) << '\n';
  }
}

void PrintUnavailable(const Console& console, const std::error_code& error) {
  console.err << "platform: " << error.message() << '\n';
}

}  // namespace mustardproxy::ctl
