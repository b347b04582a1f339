#define BOOST_TEST_MODULE settings_tests
#include <boost/test/unit_test.hpp>
