#ifndef MUSTARDPROXY_JOBS_TESTS_CHECK_INVARIANTS_H_
#define MUSTARDPROXY_JOBS_TESTS_CHECK_INVARIANTS_H_

#include <boost/test/unit_test.hpp>
#include <string>

#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {

/// Fails the test for each violated invariant of the cell.
inline void CheckInvariants(job_sim::SimCell* cell) {
  for (const std::string& line : cell->Judge().Broken()) BOOST_TEST_ERROR(line);
}

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_TESTS_CHECK_INVARIANTS_H_
