#define BOOST_TEST_MODULE job_load
#include <boost/test/unit_test.hpp>
