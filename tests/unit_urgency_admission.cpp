#include "connection_reserve.h"
#include "urgency_admission.h"
#include "work_queue.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const UrgencyNeeds threePriorities { { 1, 2, 5 }, seconds(1) };

constexpr Duration tickTime = milliseconds(5);

/// One server's admission at one host.
struct Server {
    explicit Server(const UrgencyNeeds& needs = threePriorities)
        : needs(needs)
    {
    }

    /// Lets time pass while the server answers in the given time.
    void answerIn(Duration responseTime, Duration duration, Duration age = Duration(0), bool free = false)
    {
        for (Duration passed {}; passed < duration; passed += tickTime) {
            now += tickTime;
            admission.update(needs, { responseTime, age, 1, free }, now);
        }
    }

    double admitted(size_t rank) const { return admission.admittedFraction(rank); }

    UrgencyNeeds needs;
    UrgencyAdmission admission;
    Instant now { seconds(1000) };
};

} // namespace

// Load pattern: a burst over many hosts slows a server down. Guards against urgent operations that pay first.
BOOST_AUTO_TEST_CASE(the_least_urgent_priority_is_turned_away_first)
{
    Server server;
    server.answerIn(milliseconds(100), seconds(2));
    BOOST_TEST(server.admission.level() == 0.0);
    for (int i = 0; i < 400; ++i) {
        server.answerIn(milliseconds(400), tickTime);
        BOOST_TEST(server.admitted(0) == 1.0);
        if (server.admitted(1) < 1)
            BOOST_TEST(server.admitted(2) == 0.0);
        if (server.admission.lowerRanksTurnedAway(0))
            BOOST_TEST(server.admitted(1) == 0.0);
    }
    BOOST_TEST(server.admitted(2) == 0.0);
    BOOST_TEST(server.admitted(1) == 0.0);
    BOOST_TEST(server.admission.lowerRanksTurnedAway(0));
    // The next priority returns before the least urgent one.
    BOOST_TEST(server.admission.returnAfter(1).count() < server.admission.returnAfter(2).count());
    BOOST_TEST(server.admission.returnAfter(0).count() == 0);
}

// Load pattern: a burst that lasts for less than the urgent callers can wait, such as a checkpoint of the server.
BOOST_AUTO_TEST_CASE(a_short_delay_turns_away_a_part_of_the_least_urgent_only)
{
    Server server;
    server.answerIn(milliseconds(600), milliseconds(100));
    BOOST_TEST(server.admitted(2) > 0.5);
    BOOST_TEST(server.admitted(2) < 0.7);
    BOOST_TEST(server.admitted(1) == 1.0);
}

// Load pattern: demand of the least urgent priority is twice the capacity for ten seconds. The response time follows
// the admitted load with a delay. Guards against a level that swings between none and all.
BOOST_AUTO_TEST_CASE(the_level_settles_under_steady_overload)
{
    const UrgencyNeeds twoPriorities { { 1, 2 }, seconds(1) };
    Server server(twoPriorities);
    constexpr double capacity = 200; // Statements a second.
    constexpr double urgentDemand = 60;
    constexpr double otherDemand = 340;
    double queued = 0;
    double lowest = 1;
    double highest = 0;
    for (int i = 0; i < 4000; ++i) {
        const double arriving = urgentDemand + otherDemand * server.admitted(1);
        queued = std::max(0.0, queued + (arriving - capacity) * 0.005);
        const auto wait = milliseconds(20 + static_cast<int64_t>(queued / capacity * 1000));
        server.answerIn(wait, tickTime);
        BOOST_TEST(server.admitted(0) == 1.0);
        if (i < 2000)
            continue;
        lowest = std::min(lowest, server.admitted(1));
        highest = std::max(highest, server.admitted(1));
    }
    BOOST_TEST(highest - lowest < 0.5);
    BOOST_TEST(highest > 0.2);
}

// Load pattern: the burst ends. Guards against callers that all return at once and start the next overload.
BOOST_AUTO_TEST_CASE(priorities_return_slower_than_they_were_turned_away)
{
    Server server;
    server.answerIn(milliseconds(400), milliseconds(600));
    BOOST_TEST(server.admitted(1) == 0.0);
    server.answerIn(milliseconds(100), milliseconds(600));
    BOOST_TEST(server.admitted(1) > 0.0);
    BOOST_TEST(server.admitted(1) < 1.0);
    BOOST_TEST(server.admitted(2) == 0.0);
    server.answerIn(milliseconds(100), seconds(3));
    BOOST_TEST(server.admission.level() == 0.0);
}

// Load pattern: servers that answer in the time that urgent callers can spend on a statement, or in somewhat more.
BOOST_AUTO_TEST_CASE(the_level_grows_with_the_response_time)
{
    double before = 0;
    for (const milliseconds responseTime : { milliseconds(200), milliseconds(240), milliseconds(280) }) {
        Server server;
        server.answerIn(responseTime, seconds(4));
        BOOST_TEST(server.admission.level() > before);
        BOOST_TEST(server.admission.level() < 2.0);
        before = server.admission.level();
    }
}

// Failure: the hosts that reported are lost, or this host has sent no statement for some seconds.
BOOST_AUTO_TEST_CASE(old_knowledge_turns_nobody_away)
{
    Server server;
    server.answerIn(milliseconds(900), seconds(1));
    BOOST_TEST(server.admitted(2) == 0.0);
    server.answerIn(milliseconds(900), seconds(4), seconds(3));
    BOOST_TEST(server.admission.level() == 0.0);
}

// Failure: slow answers of a server whose slots are free, as over a slow link.
BOOST_AUTO_TEST_CASE(a_server_with_a_free_slot_turns_nobody_away)
{
    Server server;
    server.answerIn(milliseconds(900), seconds(2), Duration(0), true);
    BOOST_TEST(server.admission.level() == 0.0);
}

// Failure: the process was stopped for a while, and the first knowledge afterwards is a single slow answer.
BOOST_AUTO_TEST_CASE(a_gap_without_updates_raises_the_level_little)
{
    Server server;
    server.answerIn(milliseconds(100), milliseconds(100));
    server.now += seconds(10);
    server.answerIn(milliseconds(900), tickTime);
    BOOST_TEST(server.admission.level() < 0.3);
}

// The configuration may be replaced by one in which all routes have the same priority.
BOOST_AUTO_TEST_CASE(equal_priorities_turn_nobody_away)
{
    Server server;
    server.answerIn(milliseconds(900), seconds(1));
    BOOST_TEST(server.admitted(2) == 0.0);
    server.needs = { { 3 }, seconds(1) };
    server.answerIn(milliseconds(900), seconds(1));
    BOOST_TEST(server.admission.level() == 0.0);
    BOOST_TEST(server.admitted(0) == 1.0);
    BOOST_TEST(server.admission.lowerRanksTurnedAway(0));
}

BOOST_AUTO_TEST_CASE(priorities_of_an_earlier_configuration_have_a_rank)
{
    BOOST_TEST(threePriorities.rankOf(1) == 0U);
    BOOST_TEST(threePriorities.rankOf(2) == 1U);
    BOOST_TEST(threePriorities.rankOf(3) == 2U);
    BOOST_TEST(threePriorities.rankOf(9) == 2U);
    BOOST_TEST(threePriorities.rankOf(0) == 0U);
}

// Load pattern: sessions of one customer rest inside transactions on all connections that they can get.
BOOST_AUTO_TEST_CASE(a_reserve_remains_for_urgent_operations_and_other_customers)
{
    const auto leaves = [](size_t limit, size_t used, bool urgent, bool hasNone) {
        return leavesReserve({ limit, used, urgent, hasNone });
    };
    BOOST_TEST(leaves(10, 7, false, false));
    BOOST_TEST(!leaves(10, 8, false, false));
    BOOST_TEST(leaves(10, 8, true, false));
    BOOST_TEST(leaves(10, 8, false, true));
    BOOST_TEST(leaves(3, 1, false, false));
    BOOST_TEST(!leaves(3, 2, false, false));
    BOOST_TEST(leaves(2, 1, false, false)); // Too few for a reserve.
}

// Load pattern: a burst of less urgent statements has filled the queue when an urgent one arrives.
BOOST_AUTO_TEST_CASE(an_urgent_statement_displaces_the_newest_of_the_least_urgent)
{
    WorkQueue queue({ 3 });
    const Instant now { seconds(1000) };
    const auto entryOf = [&](uint64_t job, unsigned priority, bool resumed = false) {
        WorkQueue::Entry entry;
        entry.job = job;
        entry.priority = priority;
        entry.customer = "hatter";
        entry.resumed = resumed;
        entry.arrived = now;
        entry.expiresAt = now + seconds(1);
        return entry;
    };
    for (uint64_t job = 1; job <= 2; ++job)
        BOOST_TEST(queue.push(entryOf(job, 2), 0, now));
    BOOST_TEST(!queue.displacedBy(entryOf(9, 1)).has_value()); // There is room.
    BOOST_TEST(queue.push(entryOf(3, 2, true), 0, now));
    BOOST_TEST(!queue.displacedBy(entryOf(9, 2)).has_value());
    BOOST_TEST((queue.displacedBy(entryOf(9, 1)) == std::optional<uint64_t>(2)));
    // What has run in part goes before all that has not.
    queue.erase(2);
    BOOST_TEST(queue.push(entryOf(9, 1), 0, now));
    BOOST_TEST((queue.order() == std::vector<uint64_t> { 3, 9, 1 }));
}
