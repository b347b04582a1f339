#define BOOST_TEST_MODULE process_faults_requests
#include <boost/test/unit_test.hpp>
