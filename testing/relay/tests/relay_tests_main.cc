#define BOOST_TEST_MODULE standin_relay_tests
#include <boost/test/unit_test.hpp>
