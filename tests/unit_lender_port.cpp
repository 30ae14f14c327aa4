#include "caller_memory.h"
#include "peer_stream.h"
#include "support_gateway.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace plantainwall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// Load pattern: many callers use up the descriptors of a host, and another host asks to borrow. Guards against a port
// that tries again without a pause and takes the processor from all sessions.
BOOST_AUTO_TEST_CASE(port_without_descriptors_waits_before_the_next_attempt)
{
    MemoryBudget budget(64 * 1024 * 1024);
    Metrics metrics;
    boost::asio::io_context loop;
    FakeConnector connector;
    unsigned lenders = 0;
    const uint16_t number = [&loop] {
        return tcp::acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
    }();
    LenderPort port(loop, "127.0.0.1:" + std::to_string(number), budget, metrics, [&](LinkLender::Send send) {
        ++lenders;
        return std::make_unique<LinkLender>(
            connector, [](const std::string&) { return nullptr; }, [] { return false; }, std::move(send));
    });
    tcp::socket borrower(loop);
    borrower.connect({ boost::asio::ip::address_v4::loopback(), number });
    rlimit before {};
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit none = before;
    none.rlim_cur = 3;
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    const size_t handled = loop.run_for(milliseconds(250));
    setrlimit(RLIMIT_NOFILE, &before);
    BOOST_TEST(handled < 20U);
    BOOST_TEST(lenders == 0U);
    loop.run_for(milliseconds(250));
    BOOST_TEST(lenders == 1U); // The borrower is accepted once there are descriptors again.
}

// Load pattern: replies of several lenders at the same time, each of the largest size, at a host with little memory.
BOOST_AUTO_TEST_CASE(streams_read_as_much_as_the_budget_allows)
{
    constexpr size_t mebibyte = 1024 * 1024;
    MemoryBudget budget(8 * mebibyte);
    boost::asio::io_context loop;
    TcpPeerStreams streams(loop, budget);
    tcp::acceptor acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 });
    std::vector<size_t> lengths;
    const std::unique_ptr<PeerStream> stream
        = streams.connect("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
            { [&lengths](std::string_view line) { lengths.push_back(line.size()); }, [] {} });
    tcp::socket lender(loop);
    acceptor.async_accept(lender, [](const boost::system::error_code&) {});
    const auto run = [&loop] {
        loop.restart();
        loop.run_for(milliseconds(200));
    };
    run();
    std::string line(2 * mebibyte, 'x');
    const auto send = [&lender](const std::string& text) {
        boost::asio::async_write(lender, boost::asio::buffer(text), [](const boost::system::error_code&, size_t) {});
    };
    send(line);
    run();
    BOOST_TEST(budget.held() >= 2 * mebibyte); // The part that has arrived.
    const std::string end = "\n";
    send(end);
    run();
    BOOST_REQUIRE(lengths.size() == 1U);
    BOOST_TEST(budget.held() < mebibyte);
    MemoryAccount larger(budget, ownerServers, nullptr);
    larger.set(MemoryUse::Reply, 8 * mebibyte);
    line += end;
    send(line);
    run();
    BOOST_TEST(lengths.size() == 1U); // Waits for the larger reply.
    larger.set(MemoryUse::Reply, 0);
    run();
    BOOST_REQUIRE(lengths.size() == 2U);
    BOOST_TEST(lengths[1] == 2 * mebibyte);
}
