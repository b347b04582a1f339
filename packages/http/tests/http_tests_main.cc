#define BOOST_TEST_MODULE http_tests
#include <boost/test/unit_test.hpp>
