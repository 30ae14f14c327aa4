#include "backend_link.h"
#include "support_wire_stream.h"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace plantainwall;
using namespace plantainwall::platform;

namespace {

struct CloseReason final : BackendObserver {
    void backendOpened() override { }
    void backendReplied(BackendReply) override { }
    void backendClosed(BackendCloseReason value) override { reason = value; }

    std::optional<BackendCloseReason> reason;
};

ServerEntry entryAt(const std::string& address)
{
    ServerEntry entry;
    entry.id = "a";
    entry.service = "orders";
    entry.address = address;
    return entry;
}

} // namespace

BOOST_AUTO_TEST_CASE(closed_port_refuses)
{
    boost::asio::io_context loop;
    LineConnector connector(loop);
    CloseReason observer;
    const std::unique_ptr<BackendLink> link = connector.open(entryAt("127.0.0.1:1"), "customer", observer);
    loop.run();
    BOOST_TEST((observer.reason == BackendCloseReason::Refused));
}

// Only a refusal by the server's machine shows that its process does not run.
BOOST_AUTO_TEST_CASE(missing_descriptors_of_the_host_are_no_refusal)
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket(loop).open(boost::asio::ip::tcp::v4()); // Opens the descriptors of the loop itself.
    LineConnector connector(loop);
    CloseReason observer;
    rlimit before {};
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit none = before;
    none.rlim_cur = 3;
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    const std::unique_ptr<BackendLink> link = connector.open(entryAt("127.0.0.1:1"), "customer", observer);
    loop.run();
    setrlimit(RLIMIT_NOFILE, &before);
    BOOST_REQUIRE(observer.reason.has_value());
    BOOST_TEST((*observer.reason != BackendCloseReason::Refused));
}

namespace {

/// A server that notes the messages it gets and accepts every connection.
struct NotingServer {
    NotingServer()
        : acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        acceptor.async_accept([this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            stream = std::make_shared<plantainwall::test::WireStream>(std::move(socket));
            plantainwall::test::WireStream::Handlers handlers;
            handlers.message = [this](std::string_view message) {
                messages.emplace_back(message);
                stream->send(messages.size() == 1 ? "READY I 1.1\r\n" : "COMPLETE -\r\nREADY I 1.1\r\n");
            };
            handlers.closed = [] {};
            stream->start(std::move(handlers));
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<plantainwall::test::WireStream> stream;
    std::vector<std::string> messages;
};

BackendCommand forward(const std::string& text)
{
    BackendCommand command;
    command.id = "1";
    command.text = text;
    return command;
}

} // namespace

BOOST_AUTO_TEST_CASE(customer_that_reads_as_two_fields_opens_no_connection)
{
    for (const char* const customer : { "a i-7", "a\r\nQUERY 1 READ x", "-" }) {
        NotingServer server;
        LineConnector connector(server.loop);
        CloseReason observer;
        const std::unique_ptr<BackendLink> link = connector.open(entryAt(server.address()), customer, observer);
        server.loop.run_for(std::chrono::milliseconds(50));
        BOOST_TEST((observer.reason == BackendCloseReason::ProtocolError));
        BOOST_TEST(server.messages.empty());
    }
}

// What is sent after a command that was not sent would run without it.
BOOST_AUTO_TEST_CASE(command_that_reads_as_two_messages_ends_the_connection)
{
    NotingServer server;
    LineConnector connector(server.loop);
    CloseReason observer;
    const std::unique_ptr<BackendLink> link = connector.open(entryAt(server.address()), "customer", observer);
    server.loop.run_for(std::chrono::milliseconds(50));
    link->send(forward("READ a\nQUERY 2 READ b"));
    link->send(forward("READ a\r\nQUERY 3 READ c"));
    link->send(forward("READ d"));
    server.loop.restart();
    server.loop.run_for(std::chrono::milliseconds(50));
    BOOST_TEST((observer.reason == BackendCloseReason::ProtocolError));
    BOOST_TEST(
        server.messages == (std::vector<std::string> { "STARTUP orders customer a", "QUERY 1 READ a\nQUERY 2 READ b" }),
        boost::test_tools::per_element());
}
