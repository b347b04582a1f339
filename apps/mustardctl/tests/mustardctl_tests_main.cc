#define BOOST_TEST_MODULE mustardctl_tests
#include <boost/test/unit_test.hpp>
