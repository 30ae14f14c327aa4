#include "support_writers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

constexpr Milliseconds recovery(10000);

Fleet::Options behindProxy()
{
    Fleet::Options options;
    options.group.behindProxy = true;
    return options;
}

Writers::Options impatient(size_t callers, int deadlineMs)
{
    Writers::Options options;
    options.callers = callers;
    options.deadlineMs = deadlineMs;
    return options;
}

void sleepFor(int ms) { std::this_thread::sleep_for(Milliseconds(ms)); }

} // namespace

// Guards against "not_run" for writes whose deadline passed while the database was already running them.
BOOST_AUTO_TEST_CASE(deadlines_pass_under_overload)
{
    Fleet fleet(behindProxy());
    Writers writers(addressesOf(fleet), fleet.key(), "g", impatient(30, 200));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    fleet.group().admin(0, json("{'statement_ms': 60}"));
    sleepFor(3000);
    fleet.group().faultCallers(0, "delay", 60);
    sleepFor(2000);
    fleet.group().faultCallers(0, "pass");
    fleet.group().admin(0, json("{'statement_ms': 0}"));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    BOOST_TEST(checkWrites(fleet.group(), writers).refused > 0U);
}

// Guards against "not_run" for writes that reached the primary although the connection failed or stayed silent.
BOOST_AUTO_TEST_CASE(connections_fail)
{
    Fleet fleet(behindProxy());
    Writers writers(addressesOf(fleet), fleet.key(), "g", impatient(12, 300));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    for (const char* fault : { "drop_answers", "freeze", "cut", "drop_answers", "cut" }) {
        fleet.group().faultCallers(0, fault);
        sleepFor(700);
        fleet.group().faultCallers(0, "cut");
        fleet.group().faultCallers(0, "pass");
        BOOST_REQUIRE(writers.waitForProgress(recovery));
    }
    const WriteFindings findings = checkWrites(fleet.group(), writers);
    BOOST_TEST(findings.refused + findings.unknown > 0U);
}

// Guards against "not_run" for writes of a failed primary that the next one has in its log.
BOOST_AUTO_TEST_CASE(primary_fails)
{
    Fleet fleet(behindProxy());
    Writers writers(addressesOf(fleet), fleet.key(), "g", impatient(12, 300));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    fleet.group().faultCallers(0, "drop_answers"); // Run and replicated, but not answered.
    sleepFor(400);
    fleet.group().process(0).pause();
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    fleet.group().faultCallers(0, "pass");
    fleet.group().process(0).resume(); // May still run what it had received.
    BOOST_TEST(writers.waitForProgress(recovery));
    BOOST_TEST(checkWrites(fleet.group(), writers).refused > 0U);
}

// Guards against "not_run" from an entry host that gave up on an owner that runs the write later.
BOOST_AUTO_TEST_CASE(owner_stops_and_is_killed)
{
    Fleet fleet;
    Writers writers({ fleet.at(1), fleet.at(2) }, fleet.key(), "g", impatient(12, 300));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    for (int round = 0; round < 3; ++round) {
        fleet.host(0).process().pause();
        sleepFor(800);
        fleet.host(0).process().resume();
        BOOST_REQUIRE(writers.waitForProgress(recovery));
    }
    fleet.host(0).process().kill();
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    const WriteFindings findings = checkWrites(fleet.group(), writers);
    BOOST_TEST(findings.refused > 0U);
    BOOST_TEST(findings.unknown > 0U);
}
