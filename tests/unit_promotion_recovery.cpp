#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// After random faults a primary leads and commits are acknowledged. Environment variables as in
// unit_promotion_coordinator.

BOOST_AUTO_TEST_CASE(random_faults_end_in_service)
{
    plantainwall::checkRandomFaults(&plantainwall::RandomFaults::outage);
}
