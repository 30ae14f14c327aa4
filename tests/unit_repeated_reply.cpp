#include "connection_pool.h"
#include "matched_connector.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

// The session's transaction ends with its connection; it must not be continued on a destroyed one.
BOOST_FIXTURE_TEST_CASE(reply_between_the_statements_of_a_transaction_ends_it, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN", "1");
    execute(session, StatementKind::Write, "WRITE a b", "2");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    connector.reply(link, okReply("", { 1, 5 }, TransactionState::Open));
    connector.links[link].observer->backendReplied(okReply("", { 1, 5 }, TransactionState::Open));
    pass(std::chrono::milliseconds(100));
    execute(session, StatementKind::Commit, "COMMIT", "3");
    BOOST_REQUIRE(!caller.answers.empty());
    BOOST_TEST((caller.answers.back().code == ResultCode::TransactionAborted));
}

namespace {

/// Returns the link on which the oldest unanswered command is a BEGIN, or links.size().
size_t beginLink(const FakeConnector& connector)
{
    for (size_t i = 0; i < connector.links.size(); ++i) {
        const FakeConnector::Opened& link = connector.links[i];
        if (!link.closed && !link.commands.empty() && link.commands.front().kind == BackendCommandKind::Begin)
            return i;
    }
    return connector.links.size();
}

/// A transaction of a session with a value, whose BEGIN got a reply at 1.5 that may be a copy.
struct TransactionInDoubt : GatewayFixture {
    TransactionInDoubt()
    {
        const uint64_t session = open(caller, "primary");
        Statement set;
        set.kind = StatementKind::SetValue;
        set.id = "0";
        set.name = "zone";
        set.argument = "north";
        gateway.execute(session, set);
        execute(session, StatementKind::Begin, "BEGIN", "1");
        execute(session, StatementKind::Write, "WRITE a b", "2");
        connector.acceptAll();
        connector.reply(0, okReply("", { 1, 5 }));
        doubtful.lookalikes = 1;
        connector.reply(0, doubtful);
    }

    FakeCaller caller;
    BackendReply doubtful = okReply("", { 1, 5 }, TransactionState::Open);
};

} // namespace

// A write must not follow a BEGIN that may have failed.
BOOST_FIXTURE_TEST_CASE(transaction_in_doubt_is_begun_on_another_connection, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN", "1");
    execute(session, StatementKind::Write, "WRITE a b", "2");
    connector.acceptAll();
    const size_t first = beginLink(connector);
    BOOST_REQUIRE(first < connector.links.size());
    BackendReply doubtful = okReply("", { 1, 5 }, TransactionState::Open);
    doubtful.lookalikes = 1;
    connector.reply(first, doubtful);
    BOOST_TEST(connector.links[first].closed);
    BOOST_TEST(connector.links[first].commands.empty());
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 6 });
    const size_t second = connector.statementLink();
    BOOST_REQUIRE(second < connector.links.size());
    BOOST_TEST(second != first);
    connector.reply(second, okReply("", { 1, 6 }, TransactionState::Open));
    BOOST_REQUIRE(!caller.answers.empty());
    BOOST_TEST((caller.answers.back().code == ResultCode::Ok));
}

// "Not run" would be a promise that the reply still to come may break.
BOOST_FIXTURE_TEST_CASE(error_in_doubt_leaves_the_outcome_of_a_write_unknown, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b", "1");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BackendReply doubtful = errorReply(BackendError::Busy);
    doubtful.lookalikes = 1;
    connector.reply(link, doubtful);
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::OutcomeUnknown));
    BOOST_TEST(connector.links[link].closed);
}

// The BEGIN around a read of the primary is proved by the state in the read's own reply.
BOOST_FIXTURE_TEST_CASE(primary_read_outside_a_transaction_is_not_used, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Read, "READ a", "1");
    connector.acceptAll();
    BackendReply doubtful = okReply("", { 1, 5 }, TransactionState::Open);
    doubtful.lookalikes = 1;
    connector.reply(0, doubtful);
    connector.reply(0, okReply("stale", { 1, 5 }));
    BOOST_TEST(caller.answers.empty());
    BOOST_TEST(connector.links[0].closed);
}

// Load pattern: transactions of one customer follow each other while nothing is committed.
BOOST_FIXTURE_TEST_CASE(transaction_prefers_a_connection_on_which_its_begin_is_provable, GatewayFixture)
{
    FakeCaller reader;
    FakeCaller writer;
    const uint64_t reading = open(reader, "primary");
    execute(reading, StatementKind::Begin, "BEGIN", "1");
    execute(reading, StatementKind::Read, "READ a", "2");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    const size_t used = connector.statementLink();
    BOOST_REQUIRE(used < connector.links.size());
    connector.reply(used, okReply("x", { 1, 5 }, TransactionState::Open));
    execute(open(writer, "primary"), StatementKind::Write, "WRITE a b", "3");
    connector.acceptAll();
    connector.answerOwnCommands({ 1, 5 });
    const size_t unused = connector.statementLink();
    BOOST_REQUIRE(unused < connector.links.size());
    BOOST_TEST(unused != used);
    connector.reply(unused, okReply("", { 1, 5 }));
    pass(std::chrono::milliseconds(20));
    execute(reading, StatementKind::Rollback, "ROLLBACK", "4");
    connector.answerOwnCommands({ 1, 5 });
    execute(reading, StatementKind::Begin, "BEGIN", "5");
    execute(reading, StatementKind::Read, "READ a", "6");
    BOOST_TEST(beginLink(connector) == unused);
}

// Load pattern: as above, with one connection. Its server answers one more command that shows the transaction.
BOOST_FIXTURE_TEST_CASE(transaction_in_doubt_is_proved_by_a_further_reply, TransactionInDoubt)
{
    BOOST_REQUIRE(connector.links[0].commands.size() == 1U);
    BOOST_TEST((connector.links[0].commands[0].kind == BackendCommandKind::SetValue));
    BOOST_TEST(connector.links[0].commands[0].argument == "north");
    doubtful.lookalikes = 2;
    connector.reply(0, doubtful);
    BOOST_TEST(connector.statementLink() == 0U);
}

// The BEGIN had failed: the reply to the command after it shows no transaction.
BOOST_FIXTURE_TEST_CASE(transaction_that_is_not_open_gets_no_statement, TransactionInDoubt)
{
    connector.reply(0, okReply("", { 1, 5 }));
    BOOST_TEST(connector.links[0].closed);
    BOOST_TEST(connector.links[0].commands.empty());
}

// A copy from below the greatest position proves nothing.
BOOST_FIXTURE_TEST_CASE(older_copy_is_no_proof_of_a_transaction, TransactionInDoubt)
{
    BackendReply older = okReply("", { 1, 4 }, TransactionState::Open);
    older.lookalikes = 1001; // As a matcher reports what it cannot compare.
    connector.reply(0, older);
    BOOST_TEST(connector.statementLink() == connector.links.size());
}

namespace {

using Borrower = FakeObserver;

/// A pool over one server, whose socket the test answers.
struct PoolFixture {
    PoolFixture()
    {
        entry.id = "p";
        entry.service = "orders";
        pool.setLimit("orders", 40, 10);
    }

    std::unique_ptr<BackendLink> open(Borrower& borrower)
    {
        std::unique_ptr<BackendLink> link = pool.open(entry, "hatter", borrower);
        sockets.acceptAll();
        runTasks();
        return link;
    }

    void runTasks()
    {
        while (!tasks.empty()) {
            const std::function<void()> task = std::move(tasks.front());
            tasks.pop_front();
            task();
        }
    }

    static BackendCommand statement()
    {
        BackendCommand command;
        command.id = "1";
        return command;
    }

    static BackendReply ownReply()
    {
        BackendReply reply;
        reply.position = { 1, 5 };
        return reply;
    }

    static BackendReply signedReply(const std::string& signature)
    {
        BackendReply reply = ownReply();
        reply.signature = signature;
        return reply;
    }

    /// Sends a reply that answers no command.
    void repeat(BackendReply reply) { sockets.links[0].observer->backendReplied(std::move(reply)); }

    Instant now { std::chrono::seconds(1000) };
    ServerEntry entry;
    Metrics metrics;
    FakeConnector sockets;
    MatchedConnector connector { sockets, metrics };
    std::deque<std::function<void()>> tasks;
    ConnectionPool pool { connector, [this](const std::string&) { return &entry; }, [this] { return now; },
        [this](std::function<void()> task) { tasks.push_back(std::move(task)); } };
};

} // namespace

// The copy comes while the connection is reset, idle, tested and lent to the next borrower.
BOOST_FIXTURE_TEST_CASE(copy_on_a_pooled_connection_reaches_no_borrower, PoolFixture)
{
    Borrower first;
    std::unique_ptr<BackendLink> link = open(first);
    link->send(statement());
    sockets.reply(0, signedReply("s1"));
    BOOST_TEST(first.replies.size() == 1U);
    link.reset();
    BOOST_REQUIRE(sockets.links[0].commands.size() == 1U);
    repeat(signedReply("s1"));
    sockets.reply(0, ownReply());
    repeat(signedReply("s1"));
    repeat(ownReply());
    now += std::chrono::milliseconds(600);
    Borrower second;
    link = open(second);
    BOOST_TEST(second.opened == 0U); // The connection is tested first.
    repeat(signedReply("s1"));
    BOOST_TEST(second.opened == 0U);
    sockets.reply(0, ownReply());
    runTasks();
    BOOST_REQUIRE(second.opened == 1U);
    link->send(statement());
    repeat(signedReply("s1"));
    repeat(ownReply());
    BOOST_TEST(second.replies.empty());
    sockets.reply(0, signedReply("s2"));
    BOOST_REQUIRE(second.replies.size() == 1U);
    BOOST_TEST(second.replies[0].signature == "s2");
    BOOST_TEST(!second.closed.has_value());
    BOOST_TEST(sockets.links.size() == 1U);
}

// The statement's own reply may still come, when another borrower has the connection.
BOOST_FIXTURE_TEST_CASE(pooled_connection_with_an_error_in_doubt_is_closed, PoolFixture)
{
    Borrower borrower;
    const std::unique_ptr<BackendLink> link = open(borrower);
    BackendReply busy = ownReply();
    busy.error = BackendError::Busy;
    link->send(statement());
    sockets.reply(0, busy);
    BOOST_TEST(borrower.replies.size() == 1U);
    link->send(statement());
    sockets.reply(0, busy);
    BOOST_TEST(borrower.replies.size() == 1U);
    BOOST_TEST((borrower.closed == BackendCloseReason::ProtocolError));
    BOOST_TEST(sockets.links[0].closed);
}

// Load pattern: transactions of borrowers without session values, while the log does not grow and nothing is repeated.
BOOST_FIXTURE_TEST_CASE(borrower_gets_a_connection_on_which_a_begin_can_be_proved, PoolFixture)
{
    constexpr size_t attempts = 5; // Of the gateway.
    Borrower borrowers[1 + attempts];
    size_t inDoubt = 0;
    for (Borrower& borrower : borrowers) {
        std::unique_ptr<BackendLink> link = open(borrower);
        BOOST_REQUIRE(borrower.opened == 1U);
        BackendCommand begin;
        begin.kind = BackendCommandKind::Begin;
        link->send(begin);
        BackendReply began = ownReply();
        began.state = TransactionState::Open;
        sockets.reply(sockets.links.size() - 1, began);
        BOOST_REQUIRE(borrower.replies.size() == 1U);
        inDoubt += borrower.replies[0].lookalikes > 0 ? 1 : 0;
        link.reset();
        while (!sockets.links.back().closed && !sockets.links.back().commands.empty())
            sockets.reply(sockets.links.size() - 1, ownReply());
    }
    BOOST_TEST(inDoubt < attempts);
    BOOST_TEST(sockets.links.size() > 1U);
}
