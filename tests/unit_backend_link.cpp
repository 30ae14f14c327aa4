#include "backend_link.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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
