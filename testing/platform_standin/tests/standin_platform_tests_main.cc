#define BOOST_TEST_MODULE standin_platform_tests
#include <boost/test/unit_test.hpp>
