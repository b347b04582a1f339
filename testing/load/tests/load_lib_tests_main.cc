#define BOOST_TEST_MODULE load_lib_tests
#include <boost/test/unit_test.hpp>
