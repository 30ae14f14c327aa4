#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

GatewaySettings withUrgency(bool urgency)
{
    GatewaySettings settings;
    settings.urgency = urgency;
    settings.evenLoad = urgency;
    return settings;
}

/// A gateway whose route "primary" is more urgent than "own", which needs the primary for its writes.
struct Fixture : GatewayFixture {
    explicit Fixture(bool urgency = true)
        : GatewayFixture(withUrgency(urgency))
    {
        const std::shared_ptr<GatewayConfiguration> next = configuration(2);
        for (auto& [database, route] : next->routes)
            route.statementTimeout = seconds(2);
        next->routes["primary"].priority = 1;
        next->routes["own"].priority = 2;
        next->routes["bounded"].priority = 2;
        gateway.setConfiguration(next);
    }

    /// Serves urgent writes at the primary, a few at a time, each of which takes the given time.
    void serveSlowly(Duration responseTime, Duration duration)
    {
        for (const Instant until = now + duration; now < until;) {
            std::deque<FakeCaller> callers(5);
            std::vector<uint64_t> sessions;
            for (FakeCaller& caller : callers) {
                sessions.push_back(open(caller, "primary"));
                execute(sessions.back(), StatementKind::Write, "WRITE a b");
            }
            for (int i = 0; i < 5; ++i) { // A host opens two connections at a time.
                settle();
                pass(milliseconds(20));
            }
            pass(responseTime);
            answerStatements();
            for (const FakeCaller& caller : callers)
                BOOST_TEST((caller.answers.at(0).code == ResultCode::Ok));
            for (const uint64_t session : sessions)
                gateway.closeSession(session);
        }
    }

    /// Lets time pass while a lender reports the load of the primary.
    void reportLoad(const ServerLoadSample& sample, Duration duration)
    {
        for (const Instant until = now + duration; now < until;) {
            gateway.lenderReported("p", "lender", sample);
            pass(milliseconds(100));
        }
    }

    void answerStatements()
    {
        for (size_t link = connector.statementLink(); link < connector.links.size(); link = connector.statementLink())
            connector.reply(link, okReply("", { 1, 5 }));
    }

    void settle()
    {
        connector.acceptAll();
        connector.answerOwnCommands({ 1, 5 });
    }

    /// Sends statements outside transactions and returns how many were refused at once.
    size_t refusedAtOnce(const std::string& database, size_t n, StatementKind kind)
    {
        std::deque<FakeCaller> callers(n);
        size_t refused = 0;
        for (FakeCaller& caller : callers) {
            const uint64_t session = open(caller, database);
            execute(session, kind, kind == StatementKind::Begin ? "BEGIN" : "WRITE a b");
            settle();
            answerStatements();
            BOOST_REQUIRE(caller.answers.size() == 1U);
            if (caller.answers[0].code != ResultCode::Ok) {
                BOOST_TEST((caller.answers[0].code == ResultCode::QueueFull));
                BOOST_TEST((caller.answers[0].retryAfter >= milliseconds(500)));
                last = caller.answers[0];
                ++refused;
            }
            gateway.closeSession(session);
        }
        return refused;
    }

    StatementAnswer last;
};

struct FixtureWithoutUrgency : Fixture {
    FixtureWithoutUrgency()
        : Fixture(false)
    {
    }
};

} // namespace

// Load pattern: a burst slows the primary down. Guards against urgent operations that are refused with the others.
BOOST_FIXTURE_TEST_CASE(less_urgent_operations_are_refused_first, Fixture)
{
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Write) == 0U);
    serveSlowly(milliseconds(400), seconds(3));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Write) == 10U);
    BOOST_TEST(last.detail.find("priority 2 is turned away at level 1.00: server p answers in ") != std::string::npos);
    BOOST_TEST(refusedAtOnce("primary", 10, StatementKind::Write) == 0U);
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 10U);
    BOOST_TEST(refusedAtOnce("primary", 10, StatementKind::Begin) == 0U);
}

// A transaction that has begun goes on while new ones are turned away.
BOOST_FIXTURE_TEST_CASE(a_begun_transaction_is_not_turned_away, Fixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "own");
    execute(session, StatementKind::Begin, "BEGIN", "1");
    BOOST_REQUIRE(caller.answers.size() == 1U);
    serveSlowly(milliseconds(400), seconds(2));
    BOOST_TEST(refusedAtOnce("own", 5, StatementKind::Begin) == 5U);
    execute(session, StatementKind::Write, "WRITE a b", "2");
    settle();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    connector.reply(link, okReply("", { 1, 5 }, TransactionState::Open));
    BOOST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST((caller.answers[1].code == ResultCode::Ok));
}

// Reads that other servers admit are not refused because the primary is overloaded.
BOOST_FIXTURE_TEST_CASE(reads_go_to_servers_that_admit_them, Fixture)
{
    serveSlowly(milliseconds(400), seconds(3));
    for (int i = 0; i < 5; ++i) {
        FakeCaller caller;
        const uint64_t session = open(caller, "own");
        execute(session, StatementKind::Read, "READ a");
        settle();
        const size_t link = connector.statementLink();
        BOOST_REQUIRE(link < connector.links.size());
        BOOST_TEST(connector.links[link].server != "p");
        connector.reply(link, okReply("x", { 1, 5 }));
        BOOST_TEST((caller.answers.at(0).code == ResultCode::Ok));
        gateway.closeSession(session);
    }
}

// Load pattern: the burst ends, and this host sends nothing for a while.
BOOST_FIXTURE_TEST_CASE(less_urgent_operations_return_after_the_burst, Fixture)
{
    serveSlowly(milliseconds(400), seconds(3));
    pass(seconds(4));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Write) == 0U);
}

// Earlier deployments are served as before.
BOOST_FIXTURE_TEST_CASE(without_the_setting_nothing_is_turned_away, FixtureWithoutUrgency)
{
    serveSlowly(milliseconds(400), seconds(3));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 0U);
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Write) == 0U);
}

// Load pattern: sessions of one customer rest inside transactions until all connections of the host are in use.
BOOST_FIXTURE_TEST_CASE(resting_transactions_leave_a_connection_to_urgent_operations, Fixture)
{
    std::deque<FakeCaller> callers(40);
    for (FakeCaller& caller : callers) {
        const uint64_t session = open(caller, "own");
        execute(session, StatementKind::Begin, "BEGIN", "1");
        execute(session, StatementKind::Write, "WRITE a b", "2");
        settle();
        if (connector.statementLink() < connector.links.size())
            connector.reply(connector.statementLink(), okReply("", { 1, 5 }, TransactionState::Open));
    }
    BOOST_REQUIRE(callers.back().answers.size() == 1U); // Waits for a connection.
    FakeCaller urgent;
    const uint64_t session = open(urgent, "primary");
    execute(session, StatementKind::Write, "WRITE c d", "3");
    settle();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    connector.reply(link, okReply("", { 1, 6 }));
    BOOST_REQUIRE(urgent.answers.size() == 1U);
    BOOST_TEST((urgent.answers[0].code == ResultCode::Ok));
}

// Load pattern: a burst over many hosts, of which this one has had no statement yet.
BOOST_FIXTURE_TEST_CASE(reports_of_other_hosts_turn_away_the_less_urgent, Fixture)
{
    reportLoad({ 4, 6, milliseconds(400) }, seconds(1));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 10U);
    BOOST_TEST(refusedAtOnce("primary", 10, StatementKind::Begin) == 0U);
}

// Failure: a report of slow answers that is false, or from far away: the server's slots are free.
BOOST_FIXTURE_TEST_CASE(reports_of_slow_answers_with_free_slots_turn_nobody_away, Fixture)
{
    reportLoad({ 1, 0, milliseconds(400) }, seconds(1));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 0U);
}

// Failure: the lender that reported falls silent in the middle of the burst.
BOOST_FIXTURE_TEST_CASE(a_silent_lender_turns_nobody_away_for_long, Fixture)
{
    reportLoad({ 4, 6, milliseconds(400) }, seconds(1));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 10U);
    pass(seconds(4));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 0U);
}

// Failure: this host restarts in the middle of the burst. It turns nobody away before it knows of the load.
BOOST_FIXTURE_TEST_CASE(a_restarted_host_learns_the_level_from_reports, Fixture)
{
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 0U);
    reportLoad({ 4, 6, milliseconds(400) }, seconds(1));
    BOOST_TEST(refusedAtOnce("own", 10, StatementKind::Begin) == 10U);
}
