#define BOOST_TEST_MODULE process_faults_platform
#include <boost/test/unit_test.hpp>
