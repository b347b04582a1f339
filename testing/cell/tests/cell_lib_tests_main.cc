#define BOOST_TEST_MODULE cell_lib_tests
#include <boost/test/unit_test.hpp>
