#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// After random faults and long silences a primary leads and commits are acknowledged. Environment variables as in
// unit_promotion_coordinator.

using namespace plantainwall;

BOOST_AUTO_TEST_CASE(random_long_silences_end_in_service) { checkRandomFaults(&RandomFaults::outage, longSilences()); }
