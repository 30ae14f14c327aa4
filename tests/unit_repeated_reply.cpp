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
    doubtful.mayBeCopy = true;
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
    doubtful.mayBeCopy = true;
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
    doubtful.mayBeCopy = true;
    connector.reply(0, doubtful);
    connector.reply(0, okReply("stale", { 1, 5 }));
    BOOST_TEST(caller.answers.empty());
    BOOST_TEST(connector.links[0].closed);
}

// Load pattern: read-only transactions of one customer while nothing is committed.
BOOST_FIXTURE_TEST_CASE(transaction_prefers_a_connection_on_which_its_begin_is_provable, GatewayFixture)
{
    for (unsigned i = 0; i < 3; ++i) {
        FakeCaller caller;
        const uint64_t session = open(caller, "primary");
        execute(session, StatementKind::Begin, "BEGIN", "b");
        execute(session, StatementKind::Read, "READ a", "r");
        connector.acceptAll();
        connector.answerOwnCommands({ 1, 5 + i / 2 });
        const size_t link = connector.statementLink();
        BOOST_REQUIRE(link < connector.links.size());
        connector.reply(link, okReply("x", { 1, 5 + i / 2 }, TransactionState::Open));
        execute(session, StatementKind::Rollback, "ROLLBACK", "e");
        connector.answerOwnCommands({ 1, 5 + i / 2 });
        gateway.closeSession(session);
        // The second begins at the position of the first, the third may follow on either connection.
        BOOST_TEST(connector.links.size() == (i == 0 ? 1U : 2U));
        if (i == 1)
            provePrimary({ 1, 6 });
    }
}
