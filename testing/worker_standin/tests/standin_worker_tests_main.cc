#define BOOST_TEST_MODULE standin_worker_tests
#include <boost/test/unit_test.hpp>
