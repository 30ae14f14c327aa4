#include "peer_stream.h"
#include "support_gateway.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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
