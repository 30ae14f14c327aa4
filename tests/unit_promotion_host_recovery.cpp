#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

// After random faults of servers and hosts, and late orders of promotions, the service acknowledges commits again.
BOOST_AUTO_TEST_CASE(random_host_faults_end_in_service) { checkRandomFaults(&RandomFaults::outage, hostFaults()); }
