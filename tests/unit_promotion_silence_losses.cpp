#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// Random faults that also disconnect replicas from the store and some hosts for long. Environment variables as in
// unit_promotion_coordinator.

using namespace plantainwall;

BOOST_AUTO_TEST_CASE(random_long_silences_lose_no_commit) { checkRandomFaults(&RandomFaults::loss, longSilences()); }
