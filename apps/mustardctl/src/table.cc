#include "table.h"

#include <algorithm>

namespace mustardproxy::ctl {
namespace {

constexpr std::size_t kGap = 2;

std::vector<std::size_t> Widths(const Table& table) {
  std::vector<std::size_t> widths;
  for (const auto& row : table) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

}  // namespace

void PrintTable(const Table& table, std::ostream& out) {
  const std::vector<std::size_t> widths = Widths(table);
  for (const auto& row : table) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      out << row[i];
      if (i + 1 == row.size()) continue;
      out << std::string(widths[i] - row[i].size() + kGap, ' ');
    }
    out << '\n';
  }
}

}  // namespace mustardproxy::ctl
