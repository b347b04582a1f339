#define BOOST_TEST_MODULE peer_tests
#include <boost/test/unit_test.hpp>
