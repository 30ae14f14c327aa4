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
        , port(loop, "127.0.0.1:" + std::to_string(portNumber), gateway)
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

    uint16_t portNumber;
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
