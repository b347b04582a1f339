#define BOOST_TEST_MODULE soak_tests
#include <boost/test/unit_test.hpp>
