#define BOOST_TEST_MODULE jobs_tests
#include <boost/test/unit_test.hpp>
