#include "read_router.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;

namespace {

struct Fixture {
    ReadRouter router { { { "m0", "", "dc-a", "r1" }, { "m1", "", "dc-b", "r1" }, { "m2", "", "dc-c", "r2" } },
        ReadCosts() };
    Instant now { std::chrono::seconds(10) };

    Fixture() { router.setPrimary("m0", 2); }

    void report(const char* member, uint64_t applied, MemberRole role = MemberRole::Replica, uint64_t term = 2)
    {
        MemberStatus status;
        status.term = term;
        status.role = role;
        status.received = { term, applied };
        status.applied = { term, applied };
        router.onStatus(member, status, now, now + milliseconds(1));
    }

    ReadRequirement need(LogPosition position, std::optional<Duration> maxAge = std::nullopt) const
    {
        return ReadRequirement { position, maxAge, now, "dc-b", "r1" };
    }
};

} // namespace

// Guards against reads that miss the session's own writes and against needless use of the primary.
BOOST_FIXTURE_TEST_CASE(nearest_member_that_has_the_position_is_chosen, Fixture)
{
    report("m0", 100, MemberRole::Primary);
    report("m1", 100);
    report("m2", 100);
    BOOST_TEST(router.choose(need({ 2, 100 }), now).member == "m1");
    BOOST_TEST(!router.canServe("m1", need({ 2, 101 })));
    BOOST_TEST(!router.canServe("m1", need({ 3, 50 })));
    report("m0", 200, MemberRole::Primary);
    BOOST_TEST(router.choose(need({ 2, 200 }), now).member == "m0");
    BOOST_TEST(router.choose(need({ 2, 200 }), now).primary);
    router.onFailure("m1");
    BOOST_TEST(router.choose(need({ 2, 100 }), now).member == "m0");
    router.onFailure("m0");
    router.onFailure("m2");
    BOOST_TEST(router.choose(need({ 2, 100 }), now).member.empty());
}

// Guards against waits that cost more than the alternative and against none where a short one saves a primary read.
BOOST_FIXTURE_TEST_CASE(waits_while_the_estimate_is_below_the_cost_of_the_alternative, Fixture)
{
    report("m0", 1000, MemberRole::Primary);
    report("m1", 900);
    now += milliseconds(100);
    report("m1", 990); // 900 entries per second: 10 more take about 11 ms.
    const ReadChoice close = router.choose(need({ 2, 1000 }), now);
    BOOST_TEST(close.member == "m1");
    BOOST_TEST(close.wait.count() > 0);
    report("m0", 1200, MemberRole::Primary);
    BOOST_TEST(router.choose(need({ 2, 1200 }), now).member == "m0");
}

// Guards against data older than stated: an old primary that is cut off proves nothing about freshness.
BOOST_FIXTURE_TEST_CASE(freshness_needs_a_majority_without_a_higher_term, Fixture)
{
    const Instant first = now;
    report("m0", 100, MemberRole::Primary);
    BOOST_TEST(!router.freshSince("m0").has_value()); // One member is no majority of three.
    now += milliseconds(10);
    report("m1", 90);
    BOOST_TEST((router.freshSince("m0") == std::optional<Instant>(first)));
    BOOST_TEST(!router.freshSince("m1").has_value());
    now += milliseconds(10);
    report("m1", 100);
    BOOST_TEST((router.freshSince("m1") == std::optional<Instant>(first)));
    BOOST_TEST(router.canServe("m1", need({}, milliseconds(20))));
    BOOST_TEST(!router.canServe("m1", need({}, milliseconds(19))));
    report("m1", 110, MemberRole::Replica, 3);
    report("m2", 110, MemberRole::Replica, 3);
    now += milliseconds(10);
    report("m0", 105, MemberRole::Primary); // Replaced, but has not noticed.
    report("m1", 110, MemberRole::Replica, 3);
    report("m2", 110, MemberRole::Replica, 3);
    BOOST_TEST((router.freshSince("m0") == std::optional<Instant>(first)));
}
