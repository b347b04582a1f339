#define BOOST_TEST_MODULE worker_tests
#include <boost/test/unit_test.hpp>
