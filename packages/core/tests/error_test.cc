#include "mustardproxy/core/error.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(error_codes)

BOOST_AUTO_TEST_CASE(an_error_converts_to_a_code_with_its_number) {
  const std::error_code code = mustardproxy::Error::kNeverFits;
  BOOST_TEST(code.value() == 106);
  BOOST_TEST(code.message() == "no worker could ever hold this task");
}

BOOST_AUTO_TEST_SUITE_END()
