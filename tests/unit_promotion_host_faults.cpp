#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

// Random faults of servers beside hosts that end without notice or are cut off, and late orders of promotions.
BOOST_AUTO_TEST_CASE(random_host_faults_lose_no_commit) { checkRandomFaults(&RandomFaults::loss, hostFaults()); }
