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
