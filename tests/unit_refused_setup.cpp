#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

// SET and RESET are sent ahead of a statement without waiting for their replies. If a server refuses one of them, the
// statement runs under other session values than its caller has set.

using namespace plantainwall;

namespace {

constexpr LogPosition position { 1, 7 };

struct RefusedSetupFixture : GatewayFixture {
    RefusedSetupFixture() { provePrimary(position); }

    void set(uint64_t session, const std::string& name, const std::string& value)
    {
        Statement statement;
        statement.kind = StatementKind::SetValue;
        statement.id = "set";
        statement.name = name;
        statement.argument = value;
        gateway.execute(session, std::move(statement));
    }

    /// Answers all commands. The first one of the given kind is refused by the server, the others succeed.
    void serve(BackendCommandKind refused)
    {
        while (const std::optional<size_t> link = connector.linkToAnswer())
            answer(*link, refused);
    }

    void answer(size_t link, BackendCommandKind refused)
    {
        const BackendCommand command = connector.links[link].commands.front();
        const bool begins
            = command.kind == BackendCommandKind::Begin || command.kind == BackendCommandKind::BeginReadOnly;
        if (begins || command.kind == BackendCommandKind::Rollback)
            inTransaction[link] = begins;
        const TransactionState state = inTransaction[link] ? TransactionState::Open : TransactionState::Idle;
        if (command.kind == refused && !hasRefused) {
            hasRefused = true;
            connector.reply(link, errorReply(BackendError::Other, state));
            return;
        }
        std::map<std::string, std::string>& values = valuesOf[link];
        if (command.kind == BackendCommandKind::Reset)
            values.clear();
        if (command.kind == BackendCommandKind::SetValue)
            values[command.name] = command.argument;
        if (!command.id.empty())
            ranUnder.push_back(values);
        BackendReply reply = okReply("", position, state);
        if (command.id.empty())
            reply.signature.clear();
        connector.reply(link, std::move(reply));
    }

    std::map<size_t, std::map<std::string, std::string>> valuesOf; ///< On the server, by link.
    std::map<size_t, bool> inTransaction; ///< By link.
    std::vector<std::map<std::string, std::string>> ranUnder; ///< Values under which callers' statements ran.
    bool hasRefused = false;
};

using Values = std::map<std::string, std::string>;

} // namespace

BOOST_FIXTURE_TEST_CASE(read_is_not_served_after_its_set_was_refused, RefusedSetupFixture)
{
    for (const char* const route : { "primary", "bounded" }) {
        BOOST_TEST_CONTEXT(route)
        {
            hasRefused = false;
            FakeCaller caller;
            const uint64_t session = open(caller, route);
            set(session, "v", std::string("ip ") + route);
            execute(session, StatementKind::Read, "READ a");
            serve(BackendCommandKind::SetValue);
            BOOST_REQUIRE(hasRefused);
            BOOST_REQUIRE(!ranUnder.empty());
            const bool served = caller.answers.back().code == ResultCode::Ok;
            BOOST_TEST((!served || ranUnder.back() == Values { { "v", std::string("ip ") + route } }));
            gateway.closeSession(session);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(write_is_not_acknowledged_after_its_set_was_refused, RefusedSetupFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    set(session, "v", "ip");
    execute(session, StatementKind::Write, "WRITE a b");
    serve(BackendCommandKind::SetValue);
    BOOST_REQUIRE(hasRefused);
    const bool served = caller.answers.back().code == ResultCode::Ok;
    BOOST_TEST((!served || ranUnder.back() == Values { { "v", "ip" } }));
}

BOOST_FIXTURE_TEST_CASE(read_is_not_served_after_the_reset_of_anothers_values_was_refused, RefusedSetupFixture)
{
    FakeCaller first;
    const uint64_t other = open(first, "primary");
    set(other, "w", "another session's");
    execute(other, StatementKind::Read, "READ a");
    serve(BackendCommandKind::Count);
    BOOST_REQUIRE((first.answers.back().code == ResultCode::Ok));
    gateway.closeSession(other);
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Read, "READ a");
    serve(BackendCommandKind::Reset);
    BOOST_REQUIRE(hasRefused);
    const bool served = caller.answers.back().code == ResultCode::Ok;
    BOOST_TEST((!served || ranUnder.back().empty()));
}

BOOST_FIXTURE_TEST_CASE(statement_in_a_transaction_is_not_served_after_its_set_was_refused, RefusedSetupFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN");
    execute(session, StatementKind::Read, "READ a");
    serve(BackendCommandKind::Count);
    BOOST_REQUIRE((caller.answers.back().code == ResultCode::Ok));
    set(session, "v", "ip");
    execute(session, StatementKind::Read, "READ b");
    serve(BackendCommandKind::SetValue);
    BOOST_REQUIRE(hasRefused);
    const bool served = caller.answers.back().code == ResultCode::Ok;
    BOOST_TEST((!served || ranUnder.back() == Values { { "v", "ip" } }));
}
