#define BOOST_TEST_MODULE core_tests
#include <boost/test/unit_test.hpp>
