#define BOOST_TEST_MODULE gateway_tests
#include <boost/test/unit_test.hpp>
