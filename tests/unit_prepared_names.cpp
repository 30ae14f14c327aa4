#include "line_codec.h"
#include "support_gateway.h"
#include "support_odd_texts.h"
#include <boost/test/unit_test.hpp>

// Sessions share connections, and connections share prepared statements. Whatever the shapes are, a server must run the
// one that the session has prepared.

using namespace plantainwall;
using plantainwall::test::OddTexts;
using plantainwall::test::printable;

namespace {

std::string nextWord(std::string_view& rest)
{
    const size_t end = rest.find(' ');
    std::string word(rest.substr(0, end));
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return word;
}

/// Servers that read the encoded commands and keep what is prepared on each connection.
struct PreparedFixture : GatewayFixture {
    /// Answers all commands until there is none. One of so many own commands fails; 0: none.
    void serve(unsigned failOneOf)
    {
        while (const std::optional<size_t> link = connector.linkToAnswer())
            answer(*link, failOneOf != 0 && random() % failOneOf == 0);
    }

    void answer(size_t link, bool fails)
    {
        const BackendCommand command = connector.links[link].commands.front();
        const std::string line = platform::encodeCommand(command).value();
        std::string_view rest(line.data(), line.size() - 2);
        nextWord(rest);
        const std::string id = nextWord(rest);
        const std::string verb = nextWord(rest);
        std::map<std::string, std::string>& names = prepared[link];
        if (id == "-" && fails && verb == "PREPARE") {
            connector.reply(link, errorReply(BackendError::Other, stateOf(link)));
            return;
        }
        if (verb == "RESET")
            names.clear();
        if (verb == "PREPARE") {
            const std::string name = nextWord(rest);
            names[name] = std::string(rest);
        }
        if (verb == "EXECUTE") {
            const auto it = names.find(nextWord(rest));
            if (it == names.end()) {
                connector.reply(link, errorReply(BackendError::StatementUnknown, stateOf(link)));
                return;
            }
            BOOST_TEST(it->second == expected[id],
                id << " prepared " << printable(expected[id]) << ", runs " << printable(it->second));
            BOOST_TEST(std::string(rest) == "item " + id, "arguments are " << printable(rest));
            ++executed;
        }
        ++position;
        if (verb == "BEGIN" || verb == "ROLLBACK")
            open[link] = verb == "BEGIN";
        connector.reply(link, okReply("", { 1, position }, stateOf(link)));
    }

    TransactionState stateOf(size_t link) { return open[link] ? TransactionState::Open : TransactionState::Idle; }

    void prepareAndExecute(uint64_t session, const PreparedShape& shape, const std::string& id)
    {
        Statement statement;
        statement.kind = StatementKind::Prepare;
        statement.id = id + "-prepare";
        statement.name = "s";
        statement.argument = shape.shape;
        statement.writes = shape.writes;
        gateway.execute(session, statement);
        expected[id] = (shape.writes ? "WRITE " : "READ ") + shape.shape;
        statement.kind = StatementKind::Execute;
        statement.id = id;
        statement.argument = "item " + id;
        statement.text = "EXECUTE s " + statement.argument;
        gateway.execute(session, statement);
    }

    std::map<size_t, std::map<std::string, std::string>> prepared; ///< Mode and shape by name, by link.
    std::map<size_t, bool> open; ///< Whether a transaction is open, by link.
    std::map<std::string, std::string> expected; ///< By id of the EXECUTE.
    std::mt19937_64 random { 1 };
    uint64_t position = 1;
    unsigned executed = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(shape_with_blanks_does_not_redefine_another_name, PreparedFixture)
{
    FakeCaller callers[3];
    uint64_t sessions[3];
    for (size_t i = 0; i < 3; ++i)
        sessions[i] = GatewayFixture::open(callers[i], "primary");
    const PreparedShape shapes[] = { { "q1", true }, { "q1 READ kb", true }, { "q1", false } };
    for (int round = 0; round < 3; ++round) {
        for (size_t i = 0; i < 3; ++i) {
            prepareAndExecute(sessions[i], shapes[i], std::to_string(round) + "." + std::to_string(i));
            serve(0);
        }
    }
    BOOST_TEST(executed == 9U);
}

BOOST_FIXTURE_TEST_CASE(any_shape_is_run_as_it_was_prepared, PreparedFixture)
{
    OddTexts texts(1);
    FakeCaller callers[4];
    uint64_t sessions[4];
    for (size_t i = 0; i < 4; ++i)
        sessions[i] = GatewayFixture::open(callers[i], "primary");
    for (int round = 0; round < 300; ++round) {
        const size_t i = random() % 4;
        prepareAndExecute(sessions[i], { texts.chance(300) ? texts.lastField() : texts.shape(), texts.chance(700) },
            std::to_string(round));
        serve(10);
        pass(std::chrono::milliseconds(100));
        serve(0);
        BOOST_TEST((callers[i].answers.back().code == ResultCode::Ok), "round " << round);
    }
    BOOST_TEST(executed >= 300U);
}
