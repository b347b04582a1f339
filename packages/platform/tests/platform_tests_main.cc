#define BOOST_TEST_MODULE platform_tests
#include <boost/test/unit_test.hpp>
