#ifndef MUSTARDPROXY_MUSTARDCTL_TABLE_H_
#define MUSTARDPROXY_MUSTARDCTL_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace mustardproxy::ctl {

/// Rows of text; the first is the head.
using Table = std::vector<std::vector<std::string>>;

/// Prints the rows with columns of equal width.
void PrintTable(const Table& table, std::ostream& out);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_TABLE_H_
