#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// Changes of the primary whose coordinator ends while nobody takes the role, in virtual time.

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against the loss of commits that hosts acknowledge once a revocation has ended, while an order of its
// coordinator is still to be carried out.
BOOST_AUTO_TEST_CASE(late_order_without_a_coordinator_loses_nothing)
{
    unsigned lateEffects = 0;
    for (int lateness = 400; lateness <= 12000; lateness += 400) {
        ReplicatedService service(2);
        setLogLevel("error");
        service.pass(warmUp);
        BOOST_REQUIRE(acknowledges(service));
        service.setPromotionLateness(milliseconds(lateness));
        service.crash("p");
        service.timers.add(service.now + milliseconds(700), [&] { service.restart("p"); });
        // The order is on its way.
        service.pass(milliseconds(1200));
        service.setPromotionLateness(Duration(0));
        service.killHost(service.coordinator(), seconds(20));
        service.pass(seconds(1));
        // It receives from the old primary again and confirms its commits.
        service.crash("r2");
        service.pass(milliseconds(200));
        service.restart("r2");
        service.pass(seconds(15));
        lateEffects += service.promotions();
        for (const std::string& loss : service.losses())
            BOOST_ERROR("late by " << lateness << " ms: " << loss);
    }
    BOOST_TEST(lateEffects > 0U);
}
