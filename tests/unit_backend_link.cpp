#include "backend_link.h"
#include "connection_pool.h"
#include "link_lender.h"
#include "support_wire_stream.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace plantainwall;
using namespace plantainwall::platform;

namespace {

struct CloseReason final : BackendObserver {
    void backendOpened() override { opened = true; }
    void backendReplied(BackendReply) override { }
    void backendClosed(BackendCloseReason value) override { reason = value; }

    bool opened = false;
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

/// A server that accepts one connection and records what arrives on it.
struct Server {
    explicit Server(boost::asio::io_context& loop)
        : acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 })
        , socket(loop)
    {
        acceptor.async_accept(socket, [this](const boost::system::error_code& ec) {
            if (!ec)
                read();
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    void read()
    {
        socket.async_read_some(boost::asio::buffer(buf), [this](const boost::system::error_code& ec, size_t n) {
            ended = bool(ec);
            if (ec)
                return;
            if (received.empty())
                boost::asio::write(socket, boost::asio::buffer(std::string_view("READY I -\r\n")));
            received.append(buf.data(), n);
            read();
        });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket socket;
    std::array<char, 1024> buf {};
    std::string received;
    bool ended = false;
};

const std::string startup = "STARTUP orders customer a\r\n";

/// Runs the loop until a condition holds, or for some seconds. Returns whether it holds.
template <typename Condition> bool runUntil(boost::asio::io_context& loop, Condition condition)
{
    for (int i = 0; i < 500 && !condition(); ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(5));
    }
    return condition();
}

BackendCommand unsendable()
{
    BackendCommand command;
    command.id = "1";
    command.text = "READ a\r\nQUERY 2 WRITE a b";
    return command;
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

BOOST_AUTO_TEST_CASE(a_command_that_does_not_read_back_ends_the_connection)
{
    boost::asio::io_context loop;
    Server server(loop);
    LineConnector connector(loop);
    CloseReason observer;
    const std::unique_ptr<BackendLink> link = connector.open(entryAt(server.address()), "customer", observer);
    BOOST_REQUIRE(runUntil(loop, [&] { return observer.opened; }));
    link->send(unsendable());
    BackendCommand next;
    next.kind = BackendCommandKind::Status;
    link->send(next); // May depend on the one before.
    BOOST_TEST(!observer.reason.has_value()); // Not called from within send().
    BOOST_REQUIRE(runUntil(loop, [&] { return observer.reason.has_value(); }));
    BOOST_TEST((observer.reason == BackendCloseReason::ProtocolError));
    BOOST_TEST(server.received == startup);
}

// Guards against a use after free: the end was posted, and waits of the closed socket kept it alive meanwhile.
BOOST_AUTO_TEST_CASE(a_link_that_ends_after_such_a_command_notifies_nobody)
{
    boost::asio::io_context loop;
    Server server(loop);
    LineConnector connector(loop);
    CloseReason observer;
    std::unique_ptr<BackendLink> link = connector.open(entryAt(server.address()), "customer", observer);
    BOOST_REQUIRE(runUntil(loop, [&] { return observer.opened; }));
    boost::asio::post(loop, [&] {
        link->send(unsendable());
        link.reset();
    });
    BOOST_TEST(runUntil(loop, [&] { return server.ended; }));
    BOOST_TEST(!observer.reason.has_value());
    BOOST_TEST(server.received == startup);
}

// A host of an earlier version, or a malicious one: what it sends is not checked before it is lent a connection.
BOOST_AUTO_TEST_CASE(a_lender_sends_no_command_that_does_not_read_back)
{
    for (const char* line : { R"(["c",1,6,"1","READ a\r\nQUERY 2 WRITE a b","","",true,0])",
             R"(["c",1,6,"1 READ a","READ b","","",false,0])", R"(["c",1,6,"-","READ a","","",false,0])",
             R"(["c",1,5,"","","s1 READ","q1",false,0])", R"(["c",1,4,"","","v1 x","y",false,0])",
             R"(["c",1,7,"1","","","a",false,0])", R"(["c",1,7,"1","","s1","a\r\nQUERY 2 COMMIT",false,0])" }) {
        BOOST_TEST_CONTEXT(line)
        {
            boost::asio::io_context loop;
            Server server(loop);
            LineConnector connector(loop);
            const ServerEntry entry = entryAt(server.address());
            ConnectionPool pool(
                connector, [&](const std::string&) { return &entry; }, [] { return Instant(std::chrono::seconds(9)); },
                [&](std::function<void()> function) { boost::asio::post(loop, std::move(function)); });
            std::vector<LinkMessage> sent;
            LinkLender lender(
                pool, [&](const std::string&) { return &entry; }, [] { return false; },
                [&](const std::string& text) { sent.push_back(decodeLinkMessage(text)); });
            lender.line(R"(["o",1,"a","customer"])");
            BOOST_REQUIRE(runUntil(loop, [&] { return sent.size() == 2; }));
            BOOST_REQUIRE((sent[1].kind == LinkMessageKind::Opened));
            lender.line(line);
            lender.line(R"(["c",1,6,"3","WRITE a c","","",true,0])");
            BOOST_REQUIRE(runUntil(loop, [&] { return sent.size() == 3; }));
            BOOST_TEST((sent[2].kind == LinkMessageKind::Closed));
            BOOST_TEST((sent[2].reason == BackendCloseReason::ProtocolError));
            BOOST_TEST(runUntil(loop, [&] { return server.ended; }));
            BOOST_TEST(server.received == startup);
            BOOST_TEST(lender.size() == 0U);
            BOOST_TEST(pool.size() == 0U);
        }
    }
}

// Likewise.
BOOST_AUTO_TEST_CASE(a_lender_opens_no_connection_for_a_customer_that_cannot_be_named)
{
    for (const char* customer : { "a b", "-", "a\\r\\nQUERY 2 WRITE a b" }) {
        BOOST_TEST_CONTEXT(customer)
        {
            boost::asio::io_context loop;
            Server server(loop);
            LineConnector connector(loop);
            const ServerEntry entry = entryAt(server.address());
            std::vector<LinkMessage> sent;
            LinkLender lender(
                connector, [&](const std::string&) { return &entry; }, [] { return false; },
                [&](const std::string& text) { sent.push_back(decodeLinkMessage(text)); });
            lender.line(std::string(R"(["o",1,"a",")") + customer + R"("])");
            BOOST_REQUIRE(runUntil(loop, [&] { return sent.size() == 2; }));
            BOOST_TEST((sent[1].reason == BackendCloseReason::ProtocolError));
            BOOST_TEST(server.received.empty());
        }
    }
}
