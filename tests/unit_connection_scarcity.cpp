#include "connection_scarcity.h"
#include <boost/test/unit_test.hpp>

using plantainwall::ConnectionScarcity;

BOOST_AUTO_TEST_CASE(hosts_with_three_connections_or_more_keep_their_own)
{
    ConnectionScarcity scarcity;
    BOOST_TEST(!scarcity.update(46, 9));
    BOOST_TEST(!scarcity.update(262, 79));
}

BOOST_AUTO_TEST_CASE(two_dozen_hosts_with_fewer_than_three_connections_share)
{
    ConnectionScarcity scarcity;
    BOOST_TEST(scarcity.update(70, 24));
}

// Load pattern: hosts restart in turn, and replacements start before the others are gone.
BOOST_AUTO_TEST_CASE(restarts_of_some_hosts_change_nothing)
{
    ConnectionScarcity scarcity;
    BOOST_TEST(scarcity.update(70, 24));
    for (const size_t hosts : { 30, 24, 18, 15, 24, 16 })
        BOOST_TEST(scarcity.update(70, hosts));
    ConnectionScarcity plenty;
    for (const size_t hosts : { 6, 8, 9, 6 })
        BOOST_TEST(!plenty.update(32, hosts));
}

BOOST_AUTO_TEST_CASE(a_fleet_that_shrank_for_good_stops_sharing)
{
    ConnectionScarcity scarcity;
    BOOST_TEST(scarcity.update(70, 24));
    BOOST_TEST(!scarcity.update(70, 14));
}

BOOST_AUTO_TEST_CASE(few_hosts_do_not_share_however_few_the_connections)
{
    ConnectionScarcity scarcity;
    BOOST_TEST(!scarcity.update(4, ConnectionScarcity::minHosts - 1));
}

BOOST_AUTO_TEST_CASE(an_unknown_limit_keeps_the_decision)
{
    ConnectionScarcity scarcity;
    BOOST_TEST(!scarcity.update(0, 24));
    scarcity.update(70, 24);
    BOOST_TEST(scarcity.update(0, 24));
}
