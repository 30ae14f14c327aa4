#include "locality.h"
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ServerCandidate candidate(Distance distance, Duration expected)
{
    ServerCandidate result;
    result.distance = distance;
    result.expected = expected;
    result.slots = 5;
    result.connected = true;
    result.usable = true;
    return result;
}

/// Returns the fraction of choices that fall on the first candidate.
double fractionOfFirst(std::array<ServerCandidate, 2> candidates, Duration timeLeft)
{
    std::mt19937 random(1);
    std::uniform_real_distribution<double> fraction(0, 1);
    constexpr int choices = 1000;
    int first = 0;
    for (int i = 0; i < choices; ++i) {
        preferNearServers(candidates, timeLeft);
        first += chooseServer(candidates, fraction(random)) == std::optional<size_t>(0) ? 1 : 0;
    }
    return static_cast<double>(first) / choices;
}

} // namespace

// Load pattern: two idle servers, one of them in another data centre, that answer about equally fast.
BOOST_AUTO_TEST_CASE(an_idle_near_server_gets_the_reads)
{
    const ServerCandidate near = candidate(Distance::SameDataCentre, milliseconds(25));
    BOOST_TEST(fractionOfFirst({ near, candidate(Distance::SameRegion, milliseconds(25)) }, seconds(1)) == 1.0);
    BOOST_TEST(fractionOfFirst({ near, candidate(Distance::OtherRegion, milliseconds(25)) }, seconds(1)) == 1.0);
}

// Load pattern: the near server queues statements. The reads leave the data centre long before they would be late.
BOOST_AUTO_TEST_CASE(a_busy_near_server_is_relieved)
{
    const ServerCandidate far = candidate(Distance::SameRegion, milliseconds(25));
    ServerCandidate near = candidate(Distance::SameDataCentre, milliseconds(50));
    BOOST_TEST(fractionOfFirst({ near, far }, seconds(1)) == 0.0);
    near.expected = milliseconds(25);
    near.runningStatements = 5;
    BOOST_TEST(fractionOfFirst({ near, far }, seconds(1)) == 0.0);
}

// The accepted delay never grows with the load of the near server, and ends at a tenth of the time left.
BOOST_AUTO_TEST_CASE(the_accepted_delay_shrinks_with_load)
{
    Duration last = seconds(1);
    for (int ms = 0; ms <= 200; ms += 5) {
        std::array<ServerCandidate, 2> candidates { candidate(Distance::SameDataCentre, milliseconds(ms)),
            candidate(Distance::SameRegion, milliseconds(25)) };
        preferNearServers(candidates, seconds(1));
        BOOST_TEST(candidates[0].detour.count() == 0);
        BOOST_TEST((candidates[1].detour <= last));
        BOOST_TEST((candidates[1].detour <= milliseconds(15)));
        BOOST_TEST((candidates[1].detour > Duration(0)) == (ms < 100));
        last = candidates[1].detour;
    }
}

// A statement that is short of time goes to the fastest server.
BOOST_AUTO_TEST_CASE(a_statement_without_time_left_has_no_preference)
{
    const ServerCandidate near = candidate(Distance::SameDataCentre, milliseconds(40));
    const ServerCandidate far = candidate(Distance::SameRegion, milliseconds(25));
    BOOST_TEST(fractionOfFirst({ near, far }, milliseconds(50)) == 0.0);
    BOOST_TEST(fractionOfFirst({ near, far }, Duration(0)) == 0.0);
    BOOST_TEST(fractionOfFirst({ near, far }, milliseconds(-5)) == 0.0);
}

// A near server that cannot be used, because it is cut off or has no room, neither gets reads nor delays them.
BOOST_AUTO_TEST_CASE(an_unusable_near_server_is_passed_over)
{
    std::array<ServerCandidate, 3> candidates { candidate(Distance::SameDataCentre, milliseconds(10)),
        candidate(Distance::SameRegion, milliseconds(25)), candidate(Distance::OtherRegion, milliseconds(25)) };
    candidates[0].usable = false;
    preferNearServers(candidates, seconds(1));
    BOOST_TEST(candidates[1].detour.count() == 0);
    BOOST_TEST(candidates[2].detour.count() > 0);
    BOOST_TEST((chooseServer(candidates, 0.5) == std::optional<size_t>(1)));
}

// Load pattern: a new connection costs the server more than the passage between data centres costs the network.
BOOST_AUTO_TEST_CASE(an_open_connection_outweighs_the_distance)
{
    ServerCandidate near = candidate(Distance::SameDataCentre, milliseconds(25));
    near.connected = false;
    for (const Duration timeLeft : { Duration(seconds(1)), Duration(seconds(60)) }) {
        BOOST_TEST(fractionOfFirst({ near, candidate(Distance::SameRegion, milliseconds(25)) }, timeLeft) == 0.0);
        BOOST_TEST(fractionOfFirst({ near, candidate(Distance::OtherRegion, milliseconds(25)) }, timeLeft) == 0.0);
    }
}
