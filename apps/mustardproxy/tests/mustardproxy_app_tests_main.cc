#define BOOST_TEST_MODULE mustardproxy_app_tests
#include <boost/test/unit_test.hpp>
