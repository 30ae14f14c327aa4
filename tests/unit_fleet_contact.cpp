#include "fleet_contact.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A host without others needs no contact, and one that hears them makes no calls.
BOOST_AUTO_TEST_CASE(contact_lasts_while_other_hosts_are_heard)
{
    Instant now { seconds(100) };
    FleetContact it;
    BOOST_TEST(!it.isLost(now));
    BOOST_TEST(!it.takeReadDue(now));
    it.setOthers(true);
    for (int i = 0; i < 40; ++i) {
        it.heard(now);
        now += milliseconds(250);
        BOOST_TEST(!it.isLost(now));
        BOOST_TEST(!it.takeReadDue(now));
    }
}

// A host that is cut off from the others stays in contact through the store, whose calls it makes itself.
BOOST_AUTO_TEST_CASE(store_keeps_contact_of_a_host_that_hears_no_other)
{
    Instant now { seconds(100) };
    FleetContact it;
    it.setOthers(true);
    it.heard(now);
    unsigned reads = 0;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        if (it.takeReadDue(now)) {
            it.storeRead(now);
            ++reads;
        }
        BOOST_TEST(!it.isLost(now));
    }
    BOOST_TEST(reads > 20U);
    BOOST_TEST(reads < 40U);
}

// Load pattern: a partition from everything but callers and servers. Contact ends after a bounded time, counted from
// when the last call was made, and is back with the first message.
BOOST_AUTO_TEST_CASE(contact_is_lost_after_a_bounded_time)
{
    const Duration timeout = FleetContactSettings().timeout;
    const Instant now { seconds(100) };
    FleetContact it;
    it.setOthers(true);
    it.heard(now);
    it.storeRead(now + milliseconds(300));
    BOOST_TEST(!it.isLost(now + milliseconds(300) + timeout - milliseconds(1)));
    BOOST_TEST(it.isLost(now + milliseconds(300) + timeout));
    it.heard(now + seconds(9));
    BOOST_TEST(!it.isLost(now + seconds(9)));
    // A message that waited while the host did not run is as old as that.
    it.heard(now + seconds(2));
    BOOST_TEST(it.isLost(now + seconds(9) + timeout));
}
