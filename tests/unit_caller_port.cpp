#include "caller_port.h"
#include "support_gateway.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace plantainwall;
using boost::asio::ip::tcp;

namespace {

uint16_t freePort()
{
    boost::asio::io_context loop;
    return tcp::acceptor(loop, tcp::endpoint(tcp::v4(), 0)).local_endpoint().port();
}

/// Gateway behind a real port on the loopback interface, and the socket of one caller.
struct PortFixture : GatewayFixture {
    PortFixture()
        : portNumber(freePort())
        , port(loop, "127.0.0.1:" + std::to_string(portNumber), gateway, { budget, metrics, 100 })
        , socket(loop)
    {
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), portNumber });
        socket.non_blocking(true);
    }

    void send(const std::string& text)
    {
        size_t sent = 0;
        while (sent < text.size()) {
            boost::system::error_code ec;
            sent += socket.write_some(boost::asio::buffer(text.data() + sent, text.size() - sent), ec);
            if (ec && ec != boost::asio::error::would_block)
                return; // The port closed the connection.
            loop.poll();
        }
    }

    /// Runs the port until the caller has received the expected text, the connection is closed or the time is up. Sets
    /// closed and returns everything received.
    std::string receive(const std::string& expected)
    {
        std::string text;
        for (int i = 0; i < 1000 && text.find(expected) == std::string::npos && !closed; ++i) {
            loop.poll();
            connector.acceptAll();
            char buf[4096];
            boost::system::error_code ec;
            const size_t n = socket.read_some(boost::asio::buffer(buf), ec);
            text.append(buf, n);
            closed = ec && ec != boost::asio::error::would_block;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return text;
    }

    /// Opens a session and a transaction, and runs a write in it. Returns the index of its link.
    size_t writeInTransaction()
    {
        send("STARTUP primary key\r\n");
        receive("READY");
        send("QUERY 1 BEGIN\r\n");
        receive("READY T");
        send("QUERY 2 WRITE a b\r\n");
        for (int i = 0; i < 100 && connector.statementLink() == connector.links.size(); ++i) {
            loop.poll();
            connector.acceptAll();
            connector.answerOwnCommands({ 1, 2 });
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        const size_t link = connector.statementLink();
        BOOST_REQUIRE(link < connector.links.size());
        connector.reply(link, okReply("", { 1, 2 }, TransactionState::Open));
        BOOST_TEST(receive("READY T").rfind("COMPLETE", 0) == 0U);
        return link;
    }

    /// Expects that the session's transaction has failed and was rolled back, and that COMMIT says so.
    void checkRolledBack(size_t link)
    {
        BOOST_REQUIRE(!connector.links[link].commands.empty());
        BOOST_TEST((connector.links[link].commands.back().kind == BackendCommandKind::Rollback));
        send("QUERY 4 COMMIT\r\n");
        const std::string text = receive("READY");
        BOOST_TEST(text.rfind("ERROR ABORTED", 0) == 0U, text);
        BOOST_TEST(text.find("READY I") != std::string::npos, text);
        BOOST_TEST(connector.statementLink() == connector.links.size()); // No COMMIT has been sent.
    }

    uint16_t portNumber;
    MemoryBudget budget { 64 * 1024 * 1024 };
    boost::asio::io_context loop;
    platform::CallerPort port;
    tcp::socket socket;
    bool closed = false;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(session_opens_and_answers, PortFixture)
{
    send("STARTUP primary key\r\n");
    BOOST_TEST(receive("READY") == "READY I -\r\n");
    send("QUERY 1 SET a b c\r\n");
    BOOST_TEST(receive("READY") == "COMPLETE -\r\nREADY I -\r\n");
    send("TERMINATE\r\n");
    receive("nothing");
    BOOST_TEST(closed);
    BOOST_TEST(gateway.sessions() == 0U);
}

BOOST_FIXTURE_TEST_CASE(unknown_database_and_key_are_refused_and_closed, PortFixture)
{
    send("STARTUP nowhere key\r\n");
    const std::string text = receive("nothing");
    BOOST_TEST(text.rfind("ERROR NODB", 0) == 0U, text);
    BOOST_TEST(closed);
}

BOOST_FIXTURE_TEST_CASE(statement_before_the_session_is_refused, PortFixture)
{
    send("QUERY 1 READ a\r\n");
    const std::string text = receive("nothing");
    BOOST_TEST(text.rfind("ERROR MALFORMED", 0) == 0U, text);
    BOOST_TEST(closed);
    BOOST_TEST(connector.links.empty());
}

// Guards against a pipelined statement that is sent to the backend server before the previous one was answered.
BOOST_FIXTURE_TEST_CASE(pipelined_statements_run_in_order, PortFixture)
{
    send("STARTUP primary key\r\nQUERY 1 WRITE a b\r\nQUERY 2 WRITE c d\r\n");
    receive("READY");
    for (int i = 0; i < 100 && connector.statementLink() == connector.links.size(); ++i)
        receive("nothing yet");
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    BOOST_TEST(connector.links[link].commands.size() == 1U);
    BOOST_TEST(connector.links[link].commands.front().text == "WRITE a b");
    connector.reply(link, okReply("", { 1, 2 }));
    receive("READY I 1.2");
    for (int i = 0; i < 10 && connector.statementLink() == connector.links.size(); ++i)
        loop.poll();
    BOOST_REQUIRE(connector.statementLink() < connector.links.size());
    BOOST_TEST(connector.links[connector.statementLink()].commands.front().text == "WRITE c d");
}

BOOST_FIXTURE_TEST_CASE(incomplete_line_is_not_run, PortFixture)
{
    send("STARTUP primary key\r\n");
    receive("READY");
    send("QUERY 1 WRITE a");
    BOOST_TEST(receive("READY").empty());
    BOOST_TEST(connector.links.empty());
    socket.close();
    for (int i = 0; i < 100; ++i)
        loop.poll();
    BOOST_TEST(gateway.sessions() == 0U);
    BOOST_TEST(connector.links.empty());
}

BOOST_FIXTURE_TEST_CASE(too_long_line_ends_the_session, PortFixture)
{
    send("STARTUP primary key\r\n");
    receive("READY");
    send("QUERY 1 WRITE a " + std::string(1200 * 1024, 'x'));
    const std::string text = receive("nothing");
    BOOST_TEST(closed);
    BOOST_TEST(gateway.sessions() == 0U);
    BOOST_TEST(connector.links.empty());
}

BOOST_FIXTURE_TEST_CASE(malformed_statements_get_an_error_and_the_session_stays, PortFixture)
{
    send("STARTUP primary key\r\n");
    receive("READY");
    for (const char* line : { "QUERY 1 NONSENSE\r\n", "HELLO\r\n", "QUERY 1 COMMIT\r\n", "QUERY 1 \x01\r\n" }) {
        send(line);
        const std::string text = receive("READY");
        BOOST_TEST(text.rfind("ERROR MALFORMED", 0) == 0U, text);
    }
    BOOST_TEST(!closed);
    BOOST_TEST(gateway.sessions() == 1U);
}

// Load pattern: a session that sets values without end.
BOOST_FIXTURE_TEST_CASE(values_of_a_session_are_limited_and_the_session_stays, PortFixture)
{
    send("STARTUP primary key\r\n");
    receive("READY");
    const std::string value(1000 * 1000, 'v');
    for (int i = 0; i < 4; ++i) {
        send("QUERY 1 SET n" + std::to_string(i) + " " + value + "\r\n");
        BOOST_TEST(receive("READY").rfind("COMPLETE", 0) == 0U);
    }
    send("QUERY 1 SET n4 " + value + "\r\n");
    BOOST_TEST(receive("READY").rfind("ERROR TOOLARGE", 0) == 0U);
    send("QUERY 1 SET n3 short\r\n");
    BOOST_TEST(receive("READY").rfind("COMPLETE", 0) == 0U);
    send("QUERY 1 SET n4 " + value + "\r\n");
    BOOST_TEST(receive("READY").rfind("COMPLETE", 0) == 0U);
    BOOST_TEST(gateway.sessions() == 1U);
}

// Load pattern: others hold the budget, and a large statement arrives.
BOOST_FIXTURE_TEST_CASE(statement_without_room_is_refused_as_not_run, PortFixture)
{
    MemoryAccount others(budget, "hare", [] {});
    others.set(MemoryUse::Output, 54 * 1024 * 1024);
    send("STARTUP primary key\r\n");
    receive("READY");
    send("QUERY 1 WRITE a " + std::string(900 * 1000, 'x') + "\r\n");
    const std::string text = receive("READY");
    BOOST_TEST(text.rfind("ERROR BUSY", 0) == 0U, text);
    BOOST_TEST(connector.links.empty());
    BOOST_TEST(gateway.sessions() == 1U);
    send("QUERY 2 SET a b\r\n");
    BOOST_TEST(receive("READY").rfind("COMPLETE", 0) == 0U);
}

// Load pattern: the budget is used up while a transaction is open. BUSY would promise that nothing of it is kept.
BOOST_FIXTURE_TEST_CASE(statement_without_room_fails_the_transaction, PortFixture)
{
    const size_t link = writeInTransaction();
    MemoryAccount others(budget, "hare", [] {});
    others.set(MemoryUse::Output, 54 * 1024 * 1024);
    send("QUERY 3 WRITE c " + std::string(900 * 1000, 'x') + "\r\n");
    const std::string text = receive("READY");
    BOOST_TEST(text.rfind("ERROR ABORTED", 0) == 0U, text);
    BOOST_TEST(text.find("READY E") != std::string::npos, text);
    checkRolledBack(link);
}

BOOST_FIXTURE_TEST_CASE(value_without_room_fails_the_transaction, PortFixture)
{
    const size_t link = writeInTransaction();
    MemoryAccount others(budget, "hare", [] {});
    others.set(MemoryUse::State, 32 * 1024 * 1024);
    send("QUERY 3 SET n " + std::string(20 * 1000, 'v') + "\r\n");
    const std::string text = receive("READY");
    BOOST_TEST(text.rfind("ERROR ABORTED", 0) == 0U, text);
    BOOST_TEST(text.find("READY E") != std::string::npos, text);
    checkRolledBack(link);
}

// Load pattern: the budget is used up while a COMMIT that has been received waits for the statement before it.
BOOST_FIXTURE_TEST_CASE(commit_and_rollback_are_not_refused_for_memory, PortFixture)
{
    const size_t link = writeInTransaction();
    const auto awaitStatement = [&] {
        for (int i = 0; i < 100 && connector.links[link].commands.empty(); ++i) {
            loop.poll();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        BOOST_REQUIRE(!connector.links[link].commands.empty());
    };
    send("QUERY 3 WRITE c d\r\nQUERY 4 COMMIT\r\n");
    awaitStatement();
    MemoryAccount others(budget, "hare", [] {});
    others.set(MemoryUse::Output, budget.total());
    connector.reply(link, okReply("", { 1, 3 }, TransactionState::Open));
    awaitStatement();
    BOOST_TEST(connector.links[link].commands.front().text == "COMMIT");
}

// Load pattern: an idle session is ended while much of its answers is unsent, and the caller goes on sending.
BOOST_FIXTURE_TEST_CASE(connection_counts_until_its_output_is_sent, PortFixture)
{
    send("STARTUP primary key\r\n");
    receive("READY");
    send("QUERY 1 READ a\r\n");
    for (int i = 0; i < 100 && connector.statementLink() == connector.links.size(); ++i) {
        loop.poll();
        connector.acceptAll();
        connector.answerOwnCommands({ 1, 2 });
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const size_t link = connector.statementLink();
    BOOST_REQUIRE(link < connector.links.size());
    connector.reply(link, okReply(std::string(24 * 1024 * 1024, 'r'), { 1, 2 }, TransactionState::Open));
    connector.answerOwnCommands({ 1, 2 });
    gateway.drain();
    pass(std::chrono::seconds(3));
    BOOST_REQUIRE(gateway.sessions() == 0U);
    BOOST_TEST(port.connections() == 1U);
    BOOST_TEST(port.answering() == 1U);
    send("QUERY 2 READ a\r\n");
    for (int i = 0; i < 100; ++i)
        loop.poll();
    BOOST_TEST(port.connections() == 1U);
    std::string buf(256 * 1024, '\0');
    for (int i = 0; i < 5000 && port.connections() > 0; ++i) {
        loop.poll();
        boost::system::error_code ec;
        socket.read_some(boost::asio::buffer(buf), ec);
        std::this_thread::sleep_for(std::chrono::milliseconds(ec ? 1 : 0));
    }
    BOOST_TEST(port.connections() == 0U);
    BOOST_TEST(port.answering() == 0U);
    // One without a session is owed nothing.
    tcp::socket other(loop);
    other.connect({ boost::asio::ip::make_address("127.0.0.1"), portNumber });
    for (int i = 0; i < 1000 && port.connections() == 0; ++i) {
        loop.poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(port.connections() == 1U);
    BOOST_TEST(port.answering() == 0U);
}

// Load pattern: more connections without a session than the host has room for, and an ordinary caller.
BOOST_FIXTURE_TEST_CASE(oldest_connection_without_a_session_makes_room, PortFixture)
{
    std::vector<tcp::socket> crowd;
    for (int i = 0; i < 120; ++i) {
        crowd.emplace_back(loop);
        crowd.back().connect({ boost::asio::ip::make_address("127.0.0.1"), portNumber });
        loop.poll();
    }
    receive("nothing");
    BOOST_TEST(closed); // The first of all.
    socket = std::move(crowd.back());
    socket.non_blocking(true);
    closed = false;
    send("STARTUP primary key\r\n");
    BOOST_TEST(receive("READY") == "READY I -\r\n");
}
