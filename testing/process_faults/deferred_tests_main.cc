#define BOOST_TEST_MODULE process_faults_deferred
#include <boost/test/unit_test.hpp>
