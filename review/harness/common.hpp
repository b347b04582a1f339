// What several cases use.
#ifndef REVIEW_COMMON_HPP_
#define REVIEW_COMMON_HPP_

#include <string>
#include <vector>

#include "cell.hpp"

namespace review {

/// The id of the job that a case is about.
inline const std::string kJob = "5c0e7a21d94b36f8";

/// Eight machines in two racks.
std::vector<MachineOptions> EightMachines();
std::string TaskName(int step, int index);
/// @return seconds since the last run of the task ended; 0 while it runs, below
///   0 if it never ran
double IdleTime(Cell* cell, const std::string& task);

}  // namespace review

#endif  // REVIEW_COMMON_HPP_
