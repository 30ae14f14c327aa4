#include "link_borrower.h"
#include "peer_stream.h"
#include "support_gateway.h"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t mebibyte = 1024 * 1024;

uint16_t freePort(boost::asio::io_context& loop)
{
    return tcp::acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 }).local_endpoint().port();
}

/// A host that borrows from another one over a socket.
struct Fixture : LenderChoice {
    Fixture()
        : address("127.0.0.1:" + std::to_string(freePort(loop)))
        , port(loop, address, budget, metrics,
              [this](LinkLender::Send send) {
                  return std::make_unique<LinkLender>(
                      connector, [this](const std::string&) { return &entry; }, [] { return false; }, std::move(send));
              })
        , streams(loop, budget)
        , borrower("self", own, own, streams, [] { return Instant(seconds(1000)); })
    {
        entry.id = "p";
        choice.push_back({ "a", address });
        borrower.setLenders(*this);
    }

    const std::vector<LenderCandidate>& lenders(const std::string&) const override { return choice; }

    /// Runs both hosts until a condition holds, or for some seconds. Returns whether it holds.
    template <typename Condition> bool runUntil(Condition condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i) {
            loop.run_for(milliseconds(5));
            loop.restart();
            borrower.tick();
            port.tick();
            connector.acceptAll();
        }
        return condition();
    }

    std::unique_ptr<BackendLink> open(FakeObserver& observer)
    {
        std::unique_ptr<BackendLink> link = borrower.open(entry, "hatter", observer);
        BOOST_REQUIRE(runUntil([&] { return observer.opened == 1; }));
        return link;
    }

    /// Sends a command over a link, the first one at the lender, and returns whether it arrived unchanged.
    bool passes(BackendLink& link, const BackendCommand& command)
    {
        connector.links[0].commands.clear();
        link.send(command);
        if (!runUntil([this] { return !connector.links[0].commands.empty(); }))
            return false;
        const BackendCommand got = connector.links[0].commands.front();
        return got.id == command.id && got.text == command.text && got.name == command.name
            && got.argument == command.argument;
    }

    MemoryBudget budget { 256 * mebibyte }; // Before the event loop, which may destroy accounts at its end.
    boost::asio::io_context loop;
    Metrics metrics;
    ServerEntry entry;
    FakeConnector connector;
    FakeConnector own;
    std::string address;
    LenderPort port;
    TcpPeerStreams streams;
    LinkBorrower borrower;
    std::vector<LenderCandidate> choice;
};

BackendCommand forwarded(const std::string& text)
{
    BackendCommand command;
    command.id = "5c0e";
    command.text = text;
    return command;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(statements_of_the_largest_size_pass, Fixture)
{
    FakeObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    for (const char c : { 'x', '\0', '\x01', '"', '\\', '~', '\x7f', '\xff' }) {
        BOOST_TEST_CONTEXT("byte " << int(c))
        BOOST_TEST(passes(*link, forwarded("WRITE a " + std::string(mebibyte - 64, c))));
    }
    BackendCommand command;
    command.kind = BackendCommandKind::Execute;
    command.name = "n1";
    command.argument = std::string(mebibyte - 64, '\x02');
    BOOST_TEST(passes(*link, command));
    BOOST_TEST(!observer.closed.has_value());
}

// Rows of the size that a reply of a server may have.
BOOST_FIXTURE_TEST_CASE(replies_of_the_largest_size_pass, Fixture)
{
    FakeObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    for (const char c : { 'x', '\x01', '\xff' }) {
        BOOST_TEST_CONTEXT("byte " << int(c))
        {
            BOOST_REQUIRE(passes(*link, forwarded("READ a")));
            observer.replies.clear();
            BackendReply reply = okReply("", { 3, 9 });
            reply.rows.assign(8, std::string(mebibyte - 64, c));
            reply.signature = std::string(mebibyte - 64, c);
            connector.reply(0, reply);
            BOOST_TEST(runUntil([&] { return !observer.replies.empty() || observer.closed; }));
            BOOST_REQUIRE(observer.replies.size() == 1U);
            BOOST_TEST((observer.replies[0].rows == reply.rows));
            BOOST_TEST((observer.replies[0].signature == reply.signature));
        }
    }
}

// Rows that are much shorter than their share of the limit.
BOOST_FIXTURE_TEST_CASE(replies_of_many_rows_pass, Fixture)
{
    FakeObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    for (const char* row : { "", "\xff" }) {
        BOOST_REQUIRE(passes(*link, forwarded("READ a")));
        observer.replies.clear();
        BackendReply reply = okReply("", { 3, 9 });
        reply.rows.assign(8 * mebibyte / (sizeof(std::string) + 1), row);
        connector.reply(0, reply);
        BOOST_TEST(runUntil([&] { return !observer.replies.empty() || observer.closed; }));
        BOOST_REQUIRE(observer.replies.size() == 1U);
        BOOST_TEST((observer.replies[0].rows == reply.rows));
    }
}

// A command that is longer than the lender reads ends its own connection only.
BOOST_FIXTURE_TEST_CASE(a_command_that_does_not_pass_ends_its_link_only, Fixture)
{
    FakeObserver observer;
    FakeObserver other;
    const std::unique_ptr<BackendLink> link = open(observer);
    const std::unique_ptr<BackendLink> otherLink = open(other);
    link->send(forwarded(std::string(5 * mebibyte, 'x')));
    BOOST_TEST(runUntil([&] { return observer.closed.has_value(); }));
    BOOST_TEST((observer.closed == BackendCloseReason::ProtocolError));
    otherLink->send(forwarded("READ b"));
    BOOST_TEST(runUntil([this] { return !connector.links[1].commands.empty(); }));
    BOOST_TEST(connector.links[0].commands.empty());
    BOOST_TEST(!other.closed.has_value());
}

// A reply that cannot be passed on ends its own connection only.
BOOST_FIXTURE_TEST_CASE(a_reply_that_does_not_pass_ends_its_link_only, Fixture)
{
    FakeObserver observer;
    FakeObserver other;
    const std::unique_ptr<BackendLink> link = open(observer);
    const std::unique_ptr<BackendLink> otherLink = open(other);
    BOOST_REQUIRE(passes(*link, forwarded("READ a")));
    BackendReply reply = okReply("", { 3, 9 });
    reply.rows.assign(24, std::string(mebibyte, 'x'));
    connector.reply(0, reply);
    BOOST_TEST(runUntil([&] { return observer.closed.has_value(); }));
    BOOST_TEST((observer.closed == BackendCloseReason::ProtocolError));
    BOOST_TEST(observer.replies.empty());
    BOOST_TEST(!other.closed.has_value());
    otherLink->send(forwarded("READ b"));
    BOOST_TEST(runUntil([this] { return !connector.links[1].commands.empty(); }));
    connector.reply(1, okReply("b", { 3, 9 }));
    BOOST_TEST(runUntil([&] { return other.replies.size() == 1; }));
}
