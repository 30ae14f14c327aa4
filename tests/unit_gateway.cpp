#include "promotion_coordinator.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

const std::string& serverOf(const GatewayFixture& f, size_t link) { return f.connector.links[link].server; }

/// Begins a transaction and writes in it. Returns the link on which it runs.
size_t writeInTransaction(GatewayFixture& f, uint64_t session)
{
    f.execute(session, StatementKind::Begin, "BEGIN", "1");
    f.execute(session, StatementKind::Write, "WRITE a b", "2");
    f.connector.acceptAll();
    f.connector.answerOwnCommands({ 1, 5 });
    const size_t link = f.connector.statementLink();
    BOOST_REQUIRE(link < f.connector.links.size());
    f.connector.reply(link, okReply("", { 1, 5 }, TransactionState::Open));
    return link;
}

} // namespace

// A write that was forwarded and not answered is never reported as not run and never sent again.
BOOST_FIXTURE_TEST_CASE(outcome_of_a_lost_write_is_unknown, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BOOST_TEST(serverOf(*this, link) == "p");
    connector.links[link].observer->backendClosed(BackendCloseReason::Lost);
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::OutcomeUnknown));
    pass(std::chrono::seconds(2));
    BOOST_TEST(connector.statementLink() == connector.links.size());
}

// The outcome of a write that times out is unknown as well.
BOOST_FIXTURE_TEST_CASE(outcome_of_an_unanswered_write_is_unknown, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    pass(std::chrono::milliseconds(1100));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::OutcomeUnknown));
}

// If a connection ends before the statement was sent, the statement is sent on another one without an error.
BOOST_FIXTURE_TEST_CASE(write_is_retried_after_a_refused_connection, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    BOOST_REQUIRE(connector.links.size() == 1U);
    connector.links[0].observer->backendClosed(BackendCloseReason::Refused);
    BOOST_TEST(caller.answers.empty());
    pass(std::chrono::milliseconds(400));
    connector.acceptAll();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    connector.reply(link, okReply("", { 1, 5 }));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::Ok));
}

// Reads of a primary route run inside a transaction that only the primary accepts.
BOOST_FIXTURE_TEST_CASE(primary_read_proves_leadership, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Read, "READ a");
    connector.acceptAll();
    BOOST_REQUIRE(connector.links[0].commands.size() == 3U);
    BOOST_TEST((connector.links[0].commands[0].kind == BackendCommandKind::Begin));
    BOOST_TEST((connector.links[0].commands[2].kind == BackendCommandKind::Rollback));
    connector.reply(0, errorReply(BackendError::ReadOnly));
    BOOST_TEST(gateway.directory().primary("orders", now) != "p");
    // Without the transaction the rows may be stale; they must not reach the caller.
    connector.reply(0, okReply("stale", { 1, 3 }));
    BOOST_TEST(caller.answers.empty());
    connector.reply(0, errorReply(BackendError::Other));
    connector.acceptAll();
    BOOST_TEST(caller.answers.empty());
    for (size_t link = 1; link < connector.links.size(); ++link) {
        if (connector.links[link].closed || connector.links[link].commands.empty())
            continue;
        connector.reply(link, okReply("", { 2, 4 }, TransactionState::Open));
        connector.reply(link, okReply("fresh", { 2, 4 }, TransactionState::Open));
        break;
    }
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers[0].rows.front() == "fresh");
}

// A read of bounded staleness goes to a replica only if a recent enough primary position is known, and carries it.
BOOST_FIXTURE_TEST_CASE(bounded_read_needs_evidence, GatewayFixture)
{
    provePrimary({ 1, 7 });
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    for (int i = 0; i < 8; ++i) {
        execute(session, StatementKind::Read, "READ a");
        connector.acceptAll();
        const size_t link = connector.statementLink();
        BOOST_REQUIRE(link < connector.links.size());
        const BackendCommand command = connector.links[link].commands.front();
        BOOST_REQUIRE(command.after.has_value());
        BOOST_TEST(command.after->position == 7U);
        connector.reply(link, okReply("x", { 1, 7 }));
    }
    now += std::chrono::milliseconds(1600); // Suspended or idle: the known position is too old now.
    execute(session, StatementKind::Read, "READ a");
    connector.acceptAll();
    BOOST_TEST(connector.statementLink() == connector.links.size());
    size_t begins = 0;
    for (const FakeConnector::Opened& link : connector.links) {
        if (!link.closed && !link.commands.empty() && link.commands.front().kind == BackendCommandKind::Begin) {
            BOOST_TEST(link.server == "p");
            ++begins;
        }
    }
    BOOST_TEST(begins >= 1U);
}

// A session's reads require the position of its own last commit.
BOOST_FIXTURE_TEST_CASE(session_reads_its_own_write, GatewayFixture)
{
    provePrimary({ 1, 7 });
    FakeCaller caller;
    const uint64_t session = open(caller, "own");
    execute(session, StatementKind::Write, "WRITE a b", "w");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 7 });
    connector.reply(connector.statementLink(), okReply("", { 1, 12 }));
    execute(session, StatementKind::Read, "READ a", "r");
    connector.acceptAll();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BOOST_REQUIRE(connector.links[link].commands.front().after.has_value());
    BOOST_TEST(connector.links[link].commands.front().after->position == 12U);
}

// A transaction stays on one connection; if that is lost before the commit, the transaction is reported as aborted.
BOOST_FIXTURE_TEST_CASE(lost_transaction_is_aborted, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN");
    execute(session, StatementKind::Write, "WRITE a b", "w");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 1 });
    const size_t link = connector.statementLink();
    connector.reply(link, okReply("", { 1, 1 }, TransactionState::Open));
    execute(session, StatementKind::Read, "READ a", "r");
    BOOST_TEST(connector.statementLink() == link);
    connector.links[link].observer->backendClosed(BackendCloseReason::Lost);
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
    BOOST_TEST((caller.answers[2].state == TransactionState::Failed));
}

// The outcome of a commit that was sent and not answered is unknown.
BOOST_FIXTURE_TEST_CASE(outcome_of_a_lost_commit_is_unknown, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN");
    execute(session, StatementKind::Write, "WRITE a b", "w");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 1 });
    const size_t link = connector.statementLink();
    connector.reply(link, okReply("", { 1, 1 }, TransactionState::Open));
    execute(session, StatementKind::Commit, "COMMIT", "c");
    BOOST_TEST(connector.statementLink() == link);
    connector.links[link].observer->backendClosed(BackendCloseReason::Lost);
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::OutcomeUnknown));
}

// After a key was withdrawn, the next statement of an open session is refused and the session is closed.
BOOST_FIXTURE_TEST_CASE(withdrawn_key_is_refused, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    const std::shared_ptr<GatewayConfiguration> next = configuration(2);
    next->customerByKey.clear();
    gateway.setConfiguration(next);
    execute(session, StatementKind::Read, "READ a");
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::KeyInvalid));
    BOOST_TEST(caller.closed);
    BOOST_TEST(connector.links.empty());
}

// Guards against a transaction that goes on as the former customer of its caller's key.
BOOST_FIXTURE_TEST_CASE(transaction_of_a_moved_key_is_rolled_back, GatewayFixture)
{
    for (const StatementKind next : { StatementKind::Write, StatementKind::Read, StatementKind::Commit }) {
        gateway.setConfiguration(configuration(gateway.configuration()->version + 1));
        provePrimary({ 1, 5 });
        FakeCaller caller;
        const uint64_t session = open(caller, "primary");
        const size_t link = writeInTransaction(*this, session);
        const std::shared_ptr<GatewayConfiguration> moved = configuration(gateway.configuration()->version + 1);
        moved->customers["milliner"] = { "milliner", 100, 100 };
        moved->customerByKey["key"] = "milliner";
        gateway.setConfiguration(moved);
        execute(session, next, "NEXT", "3");
        BOOST_REQUIRE(caller.answers.size() == 3U);
        BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
        BOOST_TEST((caller.answers[2].state
            == (next == StatementKind::Commit ? TransactionState::Idle : TransactionState::Failed)));
        BOOST_TEST(!caller.closed);
        BOOST_TEST(connector.statementLink() == connector.links.size());
        BOOST_REQUIRE(!connector.links[link].commands.empty());
        BOOST_TEST((connector.links[link].commands.back().kind == BackendCommandKind::Rollback));
        connector.answerOwnCommands({ 1, 5 });
        // The session goes on as the present customer.
        execute(session, StatementKind::Rollback, "ROLLBACK", "4");
        execute(session, StatementKind::Write, "WRITE c d", "5");
        connector.acceptAll();
        connector.answerOwnCommands({ 1, 5 });
        const size_t write = connector.statementLink();
        BOOST_REQUIRE(write < connector.links.size());
        BOOST_TEST(connector.links[write].customer == "milliner");
        connector.reply(write, okReply("", { 1, 6 }));
        gateway.closeSession(session);
    }
}

// The same for a statement that waits for a server.
BOOST_FIXTURE_TEST_CASE(waiting_statement_of_a_moved_key_does_not_run, GatewayFixture)
{
    gateway.directory().noteNotPrimary("orders", "p", now);
    for (const char* id : { "r1", "r2" })
        gateway.directory().noteNotPrimary("orders", id, now);
    FakeCaller caller;
    execute(open(caller, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_REQUIRE(caller.answers.empty());
    const std::shared_ptr<GatewayConfiguration> moved = configuration(2);
    moved->customers["milliner"] = { "milliner", 100, 100 };
    moved->customerByKey["key"] = "milliner";
    gateway.setConfiguration(moved);
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::QueueFull));
    pass(std::chrono::seconds(1));
    connector.acceptAll();
    BOOST_TEST(connector.statementLink() == connector.links.size());
}

// An older configuration never replaces a newer one.
BOOST_FIXTURE_TEST_CASE(older_configuration_is_ignored, GatewayFixture)
{
    gateway.setConfiguration(configuration(5));
    const std::shared_ptr<GatewayConfiguration> older = configuration(3);
    older->customerByKey.clear();
    gateway.setConfiguration(older);
    BOOST_TEST(gateway.configuration()->version == 5U);
}

// Connections are opened under the customer's name, and statements never run on another customer's connection.
BOOST_FIXTURE_TEST_CASE(connections_belong_to_one_customer, GatewayFixture)
{
    const std::shared_ptr<GatewayConfiguration> next = configuration(2);
    next->customers["packer"] = { "packer", 100, 100 };
    next->customerByKey["other"] = "packer";
    gateway.setConfiguration(next);
    provePrimary({ 1, 1 });
    FakeCaller caller;
    uint64_t session = 0;
    BOOST_REQUIRE((gateway.openSession(caller, "primary", "other", session) == ResultCode::Ok));
    execute(session, StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BOOST_TEST(connector.links[link].customer == "packer");
}

// A statement above the rate is refused at once with retry advice and reaches no server.
BOOST_FIXTURE_TEST_CASE(quota_refuses_at_once, GatewayFixture)
{
    quota.refused.insert("hatter");
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN");
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::RateExceeded));
    BOOST_TEST(caller.answers[0].retryAfter.count() > 0);
    BOOST_TEST((caller.answers[0].state == TransactionState::Idle));
    BOOST_TEST(connector.links.empty());
}

// Session values are set on the connection that runs the next statement, and reset for the next session.
BOOST_FIXTURE_TEST_CASE(session_values_are_set_and_reset, GatewayFixture)
{
    FakeCaller first;
    const uint64_t a = open(first, "primary");
    Statement set;
    set.kind = StatementKind::SetValue;
    set.id = "s";
    set.name = "zone";
    set.argument = "x y";
    gateway.execute(a, set);
    execute(a, StatementKind::Write, "WRITE a b", "w");
    connector.acceptAll();
    BOOST_REQUIRE(connector.links[0].commands.size() == 2U);
    BOOST_TEST((connector.links[0].commands[0].kind == BackendCommandKind::SetValue));
    BOOST_TEST(connector.links[0].commands[0].argument == "x y");
    connector.answerOwnCommands({ 1, 1 });
    connector.reply(0, okReply("", { 1, 1 }));
    gateway.closeSession(a);
    FakeCaller second;
    const uint64_t b = open(second, "primary");
    execute(b, StatementKind::Write, "WRITE a b", "w2");
    BOOST_REQUIRE(!connector.links[0].commands.empty());
    BOOST_TEST((connector.links[0].commands[0].kind == BackendCommandKind::Reset));
}

// A prepared statement that the server no longer knows is prepared again, without an error to the caller.
BOOST_FIXTURE_TEST_CASE(forgotten_statement_is_prepared_again, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    Statement prepare;
    prepare.kind = StatementKind::Prepare;
    prepare.id = "p";
    prepare.name = "s1";
    prepare.argument = "q2c";
    prepare.writes = true;
    gateway.execute(session, prepare);
    Statement run;
    run.kind = StatementKind::Execute;
    run.id = "e";
    run.name = "s1";
    run.argument = "item data";
    run.text = "EXECUTE s1 item data";
    gateway.execute(session, run);
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 1 });
    size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    connector.reply(link, errorReply(BackendError::StatementUnknown));
    connector.acceptAll();
    size_t prepares = 0;
    for (const FakeConnector::Opened& it : connector.links) {
        for (const BackendCommand& command : it.commands)
            prepares += command.kind == BackendCommandKind::Prepare ? 1 : 0;
    }
    BOOST_TEST(prepares == 1U);
    connector.answerOwnCommands({ 1, 1 });
    link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BOOST_TEST(connector.links[link].commands.front().argument == "item data");
    connector.reply(link, okReply("", { 1, 2 }));
    BOOST_TEST((caller.answers.back().code == ResultCode::Ok));
}

// A caller's text may fit in its own message, but not in the longer one to a server.
BOOST_FIXTURE_TEST_CASE(statement_that_is_too_long_for_servers_is_refused_before_it_runs, GatewayFixture)
{
    connector.maxCommandBytes = 100;
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    Statement statement;
    statement.id = "1";
    statement.name = "v";
    statement.argument = std::string(100, 'a');
    for (const StatementKind kind : { StatementKind::SetValue, StatementKind::Prepare, StatementKind::Write }) {
        statement.kind = kind;
        statement.text = "WRITE " + statement.argument;
        gateway.execute(session, statement);
        BOOST_TEST((caller.answers.back().code == ResultCode::RequestTooLarge));
        BOOST_TEST((caller.answers.back().state == TransactionState::Idle));
    }
    BOOST_TEST(connector.links.empty());
    // The name on the connection may be longer than the caller's.
    statement.kind = StatementKind::Prepare;
    statement.argument = "q";
    gateway.execute(session, statement);
    BOOST_TEST((caller.answers.back().code == ResultCode::Ok));
    statement.kind = StatementKind::Execute;
    statement.argument = std::string(95, 'a');
    gateway.execute(session, statement);
    BOOST_TEST((caller.answers.back().code == ResultCode::RequestTooLarge));
    BOOST_TEST(connector.links.empty());
}

BOOST_FIXTURE_TEST_CASE(read_that_is_too_long_with_a_position_runs_on_the_primary, GatewayFixture)
{
    connector.maxCommandBytes = 100;
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    provePrimary({ 1, 5 });
    const size_t before = caller.answers.size();
    execute(session, StatementKind::Read, "READ " + std::string(90, 'a'), "r");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 6 });
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BOOST_TEST(connector.links[link].server == "p");
    BOOST_TEST(!connector.links[link].commands.front().after.has_value());
    connector.reply(link, okReply("row", { 1, 6 }, TransactionState::Open));
    BOOST_REQUIRE(caller.answers.size() == before + 1);
    BOOST_TEST((caller.answers.back().code == ResultCode::Ok));
}

// Without a primary, a write is refused after the queue's waiting limit instead of waiting for its deadline.
BOOST_FIXTURE_TEST_CASE(unservable_write_is_refused_early, GatewayFixture)
{
    for (const char* id : { "p", "r1", "r2" })
        gateway.directory().noteNotPrimary("orders", id, now);
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    for (int i = 0; i < 40 && caller.answers.empty(); ++i) {
        for (const char* id : { "p", "r1", "r2" })
            gateway.directory().noteNotPrimary("orders", id, now);
        pass(std::chrono::milliseconds(20));
    }
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::NoPrimary));
    BOOST_TEST((resultCodeInfo(caller.answers[0].code).runState == RunState::NotRun));
    BOOST_TEST(caller.answers[0].retryAfter.count() > 0);
}

// During shutdown statements are still served; idle sessions are closed after the readiness drain time.
BOOST_FIXTURE_TEST_CASE(drain_serves_then_closes, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    gateway.drain();
    BOOST_TEST(!gateway.ready());
    BOOST_TEST(gateway.accepting());
    execute(session, StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    connector.reply(connector.statementLink(), okReply("", { 1, 1 }));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::Ok));
    BOOST_TEST(!caller.closed);
    pass(std::chrono::milliseconds(2300));
    BOOST_TEST(caller.closed);
    gateway.closeSession(session);
    BOOST_TEST(gateway.drained());
}

// An overdue read is also sent to another server, and the first answer wins.
BOOST_FIXTURE_TEST_CASE(overdue_read_is_hedged, GatewayFixture)
{
    provePrimary({ 1, 7 });
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    execute(session, StatementKind::Read, "READ a");
    connector.acceptAll();
    const size_t first = connector.statementLink();
    BOOST_REQUIRE(first < connector.links.size());
    pass(std::chrono::milliseconds(400));
    connector.acceptAll();
    size_t statements = 0;
    size_t second = 0;
    for (size_t i = 0; i < connector.links.size(); ++i) {
        if (!connector.links[i].commands.empty() && !connector.links[i].commands.front().id.empty()) {
            ++statements;
            second = i != first ? i : second;
        }
    }
    BOOST_REQUIRE(statements == 2U);
    BOOST_TEST(serverOf(*this, second) != serverOf(*this, first));
    connector.reply(second, okReply("x", { 1, 7 }));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    connector.reply(first, okReply("x", { 1, 7 }));
    BOOST_TEST(caller.answers.size() == 1U);
}

namespace {

struct NoProbes final : IndirectProbes {
    ProbeSummary probe(const ServerEntry&) override { return {}; }
};

struct NoPromotions final : PromotionService {
    void promote(const std::string&, const std::string&, const std::string&, uint64_t,
        std::function<void(PromotionOutcome)>) override
    {
    }
};

} // namespace

// A resigned coordinator closes its connections, so that a late reply cannot reach a destroyed object.
BOOST_FIXTURE_TEST_CASE(resigned_coordinator_closes_its_connections, GatewayFixture)
{
    NoPromotions promotions;
    NoProbes probes;
    PromotionCoordinator coordinator(
        gateway, connector, promotions, probes, [this] { return now; }, "mill-1", metrics);
    coordinator.setActive(true, 7);
    coordinator.tick(true);
    BOOST_REQUIRE(connector.links.size() == 3U);
    connector.acceptAll();
    now += std::chrono::milliseconds(500);
    coordinator.tick(true);
    BOOST_TEST(connector.links[0].commands.size() == 1U);
    coordinator.setActive(false, 0);
    for (const FakeConnector::Opened& link : connector.links)
        BOOST_TEST(link.closed);
}

// Load pattern: both replicas lag by seconds. Reads that need a later position go to the primary, and reads are sent
// to the replicas less and less often.
BOOST_FIXTURE_TEST_CASE(lagging_replicas_get_fewer_reads, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    unsigned atReplicas = 0;
    unsigned reads = 0;
    const Instant start = now;
    for (uint64_t i = 1; i <= 100; ++i) {
        provePrimary({ 1, 100 + i });
        pass(std::chrono::milliseconds(100));
        execute(session, StatementKind::Read, "READ a");
        ++reads;
        while (caller.answers.size() < reads) {
            connector.acceptAll();
            connector.answerOwnCommands({ 1, 100 + i });
            const size_t link = connector.statementLink();
            BOOST_REQUIRE(link < connector.links.size());
            if (connector.links[link].server == "p") {
                now += std::chrono::milliseconds(
                    250); // A slow primary, so that the server choice prefers the replicas.
                connector.reply(link, okReply("x", { 1, 100 + i }, TransactionState::Open));
                continue;
            }
            ++atReplicas;
            BackendReply behind = errorReply(BackendError::Behind);
            behind.position = { 1, 7 };
            connector.reply(link, std::move(behind));
        }
        BOOST_REQUIRE((caller.answers.back().code == ResultCode::Ok));
    }
    BOOST_TEST(atReplicas >= 2U);
    // Each replica gives five replies until its pause reaches the maximum of 16 times 80 ms, then one per pause.
    const double longestPauses = std::chrono::duration<double>(now - start).count() / 1.28;
    BOOST_TEST(atReplicas <= 2 * (5 + longestPauses));
}

// A read that a server may have run is never reported as not run.
BOOST_FIXTURE_TEST_CASE(read_that_was_lost_everywhere_is_a_failure, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Read, "READ a");
    for (int i = 0; i < 20 && caller.answers.empty(); ++i) {
        connector.acceptAll();
        for (size_t link = 0; link < connector.links.size(); ++link) {
            if (!connector.links[link].closed && !connector.links[link].commands.empty()
                && connector.links[link].commands.front().kind == BackendCommandKind::Begin)
                connector.reply(link, okReply("", { 1, 1 }, TransactionState::Open));
        }
        const size_t link = connector.statementLink();
        if (link < connector.links.size())
            connector.links[link].observer->backendClosed(BackendCloseReason::Lost);
        pass(std::chrono::milliseconds(100));
    }
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::BackendFailure));
}

// Load pattern: the primary is in another region, so the answer to a poll of its position takes many ticks. The other
// idle connections do not poll meanwhile, unless the answer is overdue.
BOOST_FIXTURE_TEST_CASE(one_connection_polls_the_position, GatewayFixture)
{
    FakeCaller writers[3];
    for (FakeCaller& writer : writers)
        execute(open(writer, "primary"), StatementKind::Write, "WRITE a b", "w");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 7 });
    while (connector.statementLink() < connector.links.size())
        connector.reply(connector.statementLink(), okReply("", { 1, 7 }));
    FakeCaller reader;
    execute(open(reader, "bounded"), StatementKind::Read, "READ a", "r");
    connector.acceptAll();
    BOOST_REQUIRE(connector.statementLink() < connector.links.size());
    connector.reply(connector.statementLink(), okReply("x", { 1, 7 }));
    const auto polls = [this] {
        return std::count_if(connector.links.begin(), connector.links.end(), [](const FakeConnector::Opened& link) {
            return !link.commands.empty() && link.commands.front().kind == BackendCommandKind::Begin;
        });
    };
    for (int i = 0; i < 30 && polls() == 0; ++i)
        pass(std::chrono::milliseconds(20));
    BOOST_REQUIRE(polls() == 1);
    pass(std::chrono::milliseconds(160));
    BOOST_TEST(polls() == 1);
    pass(std::chrono::milliseconds(60));
    BOOST_TEST(polls() == 2);
}

// When an unresponsive connection is closed, a queued statement may take the idle connection on which the primary's
// position was to be polled. The poll must then wait. (This caused a segmentation fault in a large fleet.)
BOOST_FIXTURE_TEST_CASE(connection_taken_meanwhile_is_not_asked, GatewayFixture)
{
    provePrimary({ 1, 7 });
    FakeCaller reader;
    const uint64_t bounded = open(reader, "bounded");
    FakeCaller silent;
    execute(open(silent, "primary"), StatementKind::Read, "READ a", "silent");
    const size_t silentLink = 0;
    FakeCaller writer;
    const uint64_t writing = open(writer, "primary");
    execute(writing, StatementKind::Write, "WRITE a b", "first");
    connector.acceptAll();
    const size_t link = connector.links.size() - 1;
    BOOST_REQUIRE(link != silentLink);
    connector.reply(link, okReply("", { 1, 8 }));
    const Instant sent = now;
    execute(bounded, StatementKind::Read, "READ a", "bounded");
    connector.acceptAll();
    for (size_t i = 0; i < connector.links.size(); ++i) {
        if (!connector.links[i].commands.empty() && connector.links[i].commands.front().id == "bounded")
            connector.reply(i, okReply("x", { 1, 8 }));
    }
    BOOST_REQUIRE(reader.answers.size() == 1U);
    // Runs until shortly after the last poll of the position before the unresponsive connection is closed.
    bool polled = false;
    while (now - sent < std::chrono::milliseconds(3060) || !polled) {
        pass(std::chrono::milliseconds(20));
        polled = !connector.links[link].commands.empty();
        connector.answerOwnCommands({ 1, 8 });
    }
    now = std::max(now + std::chrono::milliseconds(405), sent + std::chrono::milliseconds(3480));
    execute(writing, StatementKind::Write, "WRITE a b", "w");
    BOOST_REQUIRE(connector.links[link].commands.size() == 1U);
    connector.reply(link, errorReply(BackendError::Busy));
    now += std::chrono::milliseconds(40);
    gateway.tick();
    BOOST_TEST(connector.links[silentLink].closed);
    BOOST_REQUIRE(!connector.links[link].commands.empty());
    BOOST_TEST(connector.links[link].commands.front().id == "w");
    BOOST_TEST(connector.links[link].commands.size() == 1U);
}

// The loss of a lender does not count against the server: an unsent statement goes to the same server at once.
BOOST_FIXTURE_TEST_CASE(lost_lender_does_not_count_against_the_server, GatewayFixture)
{
    provePrimary({ 1, 5 });
    for (const FakeConnector::Opened& it : connector.links) {
        if (!it.closed && it.accepted)
            it.observer->backendClosed(BackendCloseReason::LenderLost);
    }
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    const size_t first = connector.links.size() - 1;
    BOOST_REQUIRE(!connector.links[first].accepted);
    connector.links[first].observer->backendClosed(BackendCloseReason::LenderLost);
    BOOST_REQUIRE(connector.links.size() == first + 2);
    BOOST_TEST(connector.links[first + 1].server == "p");
    connector.acceptAll();
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    // Once the write was sent, its outcome is unknown.
    connector.links[link].observer->backendClosed(BackendCloseReason::LenderLost);
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::OutcomeUnknown));
}

// Guards against a request that is cut off by a shutdown after it was read: a busy event loop checks sessions before it
// runs the statements that it has just read.
BOOST_FIXTURE_TEST_CASE(a_shutdown_answers_statements_that_were_read, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    gateway.drain();
    gateway.expectStatement(session);
    pass(GatewaySettings().readinessDrainTime + std::chrono::milliseconds(100));
    BOOST_TEST(!caller.closed);
    execute(session, StatementKind::SetValue, "SET a b");
    BOOST_TEST(caller.answers.size() == 1U);
    pass(std::chrono::milliseconds(40));
    BOOST_TEST(caller.closed);
}

namespace {

/// Time for which a test revokes a primary.
constexpr Duration revocationTime = std::chrono::seconds(5);

} // namespace

// Guards against lost commits: a primary whose replacement is ordered confirms a write that the next one may lack.
BOOST_FIXTURE_TEST_CASE(commit_of_a_revoked_primary_is_not_acknowledged, GatewayFixture)
{
    provePrimary({ 1, 5 });
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    BOOST_REQUIRE(connector.statementLink() < connector.links.size());
    gateway.revocations().revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "", false }, 7, now, revocationTime);
    connector.reply(connector.statementLink(), okReply("", { 1, 6 }));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::OutcomeUnknown));
}

// Load pattern: callers go on writing while the primary that this host still reaches is being replaced. Their writes
// wait for the next primary, and reads go on.
BOOST_FIXTURE_TEST_CASE(writes_wait_for_the_successor_of_a_revoked_primary, GatewayFixture)
{
    provePrimary({ 1, 5 });
    gateway.revocations().revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "r1", false }, 7, now, revocationTime);
    FakeCaller writer;
    FakeCaller reader;
    execute(open(writer, "primary"), StatementKind::Write, "WRITE a b");
    execute(open(reader, "primary"), StatementKind::Read, "READ a", "2");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    const size_t read = connector.statementLink();
    BOOST_REQUIRE(read < connector.links.size());
    BOOST_TEST(serverOf(*this, read) == "p");
    BOOST_TEST(connector.links[read].commands.front().id == "2");
    connector.reply(read, okReply("row", { 1, 5 }, TransactionState::Open));
    BOOST_TEST(reader.answers.size() == 1U);
    connector.answerOwnCommands({ 1, 5 });
    BOOST_TEST(writer.answers.empty());
    BOOST_TEST(connector.statementLink() == connector.links.size());

    ServerEntry successor = *gateway.directory().find("r1");
    successor.primary = true;
    gateway.directory().registerServer(successor);
    gateway.serversChanged();
    pass(std::chrono::milliseconds(100));
    connector.acceptAll();
    connector.answerOwnCommands({ 2, 5 });
    const size_t write = connector.statementLink();
    BOOST_REQUIRE(write < connector.links.size());
    BOOST_TEST(serverOf(*this, write) == "r1");
    connector.reply(write, okReply("", { 2, 6 }));
    BOOST_REQUIRE(writer.answers.size() == 1U);
    BOOST_TEST((writer.answers[0].code == ResultCode::Ok));
}

// Guards against lost commits: a host that hears nobody would not know that the primary is being replaced. What it
// can't serve it refuses at once, also what was waiting, and reads go on.
BOOST_FIXTURE_TEST_CASE(host_out_of_contact_serves_no_writes, GatewayFixture)
{
    provePrimary({ 1, 5 });
    FakeCaller writer;
    FakeCaller waiting;
    FakeCaller late;
    FakeCaller reader;
    FleetContact& contact = gateway.fleetContact();
    contact.setOthers(true);
    contact.heard(now);
    const uint64_t session = open(writer, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    BOOST_REQUIRE(connector.statementLink() < connector.links.size());
    gateway.revocations().revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "", false }, 7, now, revocationTime);
    execute(open(waiting, "primary"), StatementKind::Write, "WRITE c d", "2");
    gateway.revocations().withdraw("orders", 7);
    BOOST_TEST(waiting.answers.empty());
    now += FleetContactSettings().timeout;
    connector.reply(connector.statementLink(), okReply("", { 1, 6 }));
    BOOST_REQUIRE(writer.answers.size() == 1U);
    BOOST_TEST((writer.answers[0].code == ResultCode::OutcomeUnknown));
    pass(std::chrono::milliseconds(10));
    BOOST_REQUIRE(waiting.answers.size() == 1U);
    BOOST_TEST((waiting.answers[0].code == ResultCode::NoPrimary));
    execute(open(late, "primary"), StatementKind::Write, "WRITE e f", "3");
    BOOST_REQUIRE(late.answers.size() == 1U);
    BOOST_TEST((late.answers[0].code == ResultCode::NoPrimary));
    execute(open(reader, "primary"), StatementKind::Read, "READ a", "4");
    pass(std::chrono::milliseconds(300));
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 6 });
    const size_t read = connector.statementLink();
    BOOST_REQUIRE(read < connector.links.size());
    BOOST_TEST(connector.links[read].commands.front().id == "4");
    connector.reply(read, okReply("row", { 1, 6 }, TransactionState::Open));
    BOOST_TEST(reader.answers.size() == 1U);
    contact.heard(now);
    FakeCaller again;
    execute(open(again, "primary"), StatementKind::Write, "WRITE g h", "5");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 6 });
    const size_t write = connector.statementLink();
    BOOST_REQUIRE(write < connector.links.size());
    connector.reply(write, okReply("", { 1, 7 }));
    BOOST_REQUIRE(again.answers.size() == 1U);
    BOOST_TEST((again.answers[0].code == ResultCode::Ok));
    BOOST_TEST((gateway.acknowledgedCommits("orders").latest == LogPosition { 1, 7 }));
}

// A transaction that wrote on a revoked primary is rolled back instead of committed, so its caller may repeat it.
BOOST_FIXTURE_TEST_CASE(transaction_on_a_revoked_primary_is_aborted_before_its_commit, GatewayFixture)
{
    provePrimary({ 1, 5 });
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    const size_t link = writeInTransaction(*this, session);
    gateway.revocations().revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "", false }, 7, now, revocationTime);
    execute(session, StatementKind::Commit, "COMMIT", "3");
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
    BOOST_TEST(connector.statementLink() == connector.links.size());
    BOOST_REQUIRE(!connector.links[link].commands.empty());
    BOOST_TEST((connector.links[link].commands.back().kind == BackendCommandKind::Rollback));
}

// A revocation that is withdrawn, has ended or is one of an earlier term withholds nothing.
BOOST_AUTO_TEST_CASE(revocations_end)
{
    const Instant now { std::chrono::seconds(100) };
    PrimaryRevocations revocations;
    BOOST_TEST(!revocations.isRevoked("orders", "r1", 1, now));
    BOOST_TEST(revocations.revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "r1", false }, 7, now, revocationTime));
    BOOST_TEST(!revocations.revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "r1", false }, 7, now, revocationTime));
    BOOST_TEST(revocations.isRevoked("orders", "r1", 1, now));
    BOOST_TEST(revocations.withholdsCommits("orders", "r1", 1, now));
    BOOST_TEST(!revocations.isRevoked("orders", "r1", 2, now));
    BOOST_TEST(!revocations.isRevoked("other", "r1", 1, now));
    BOOST_TEST(!revocations.isRevoked("orders", "r1", 1, now + revocationTime));
    // Of a coordinator that has been replaced.
    BOOST_TEST(!revocations.withdraw("orders", 6));
    BOOST_TEST(!revocations.revoke(
        "orders", PrimaryRevocation { 9, RevocationScope::AllCommits, "r1", false }, 6, now, revocationTime));
    BOOST_TEST(revocations.isRevoked("orders", "r1", 1, now));
    // An odd token does not keep out the coordinator for good.
    PrimaryRevocations odd;
    odd.revoke(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "r1", false }, UINT64_MAX, now, revocationTime);
    BOOST_TEST(!odd.revoke(
        "orders", PrimaryRevocation { 3, RevocationScope::AllCommits, "r1", false }, 7, now, revocationTime));
    BOOST_TEST(odd.revoke("orders", PrimaryRevocation { 3, RevocationScope::AllCommits, "r1", false }, 7,
        now + revocationTime, revocationTime));
    BOOST_TEST(revocations.withdraw("orders", 7));
    BOOST_TEST(!revocations.isRevoked("orders", "r1", 1, now));
    const PrimaryRevocation leaving { 2, RevocationScope::NewCommits, "", false };
    BOOST_TEST(revocations.revoke("orders", leaving, 7, now, revocationTime));
    BOOST_TEST(revocations.isRevoked("orders", "r1", 1, now));
    BOOST_TEST(!revocations.withholdsCommits("orders", "r1", 1, now));
}

// A commit that was sent to a leaving primary before it was revoked is acknowledged: the next primary has its whole
// log.
BOOST_FIXTURE_TEST_CASE(commit_sent_to_a_leaving_primary_is_acknowledged, GatewayFixture)
{
    provePrimary({ 1, 5 });
    FakeCaller caller;
    execute(open(caller, "primary"), StatementKind::Write, "WRITE a b");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    BOOST_REQUIRE(connector.statementLink() < connector.links.size());
    const PrimaryRevocation leaving { 2, RevocationScope::NewCommits, "", false };
    gateway.revocations().revoke("orders", leaving, 7, now, revocationTime);
    connector.reply(connector.statementLink(), okReply("", { 1, 6 }));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::Ok));
    FakeCaller other;
    execute(open(other, "primary"), StatementKind::Write, "WRITE c d", "2");
    connector.answerOwnCommands({ 1, 6 });
    BOOST_TEST(connector.statementLink() == connector.links.size());
}
