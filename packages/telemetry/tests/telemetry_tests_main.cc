#define BOOST_TEST_MODULE telemetry_tests
#include <boost/test/unit_test.hpp>
