#include "connection_pool.h"
#include "link_lender.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Links = std::vector<std::unique_ptr<BackendLink>>;

/// A lender whose four connections to a server are in use.
struct Fixture {
    Fixture()
        : pool(
            connector, [this](const std::string&) { return &entry; }, [this] { return now; },
            [this](std::function<void()> task) { tasks.push_back(std::move(task)); }, settings())
        , first(4)
    {
        entry.id = "p";
        entry.service = "orders";
        pool.setLimit("orders", 40, 10);
        for (FakeObserver& borrower : first)
            used.push_back(open(borrower, "large", 2));
        BOOST_REQUIRE(connector.links.size() == 4U);
    }

    static ConnectionPoolSettings settings()
    {
        ConnectionPoolSettings result;
        result.maxWaiting = 3;
        return result;
    }

    std::unique_ptr<BackendLink> open(
        FakeObserver& borrower, const std::string& customer, std::optional<unsigned> priority)
    {
        std::unique_ptr<BackendLink> link = priority ? pool.openWithPriority(entry, customer, *priority, borrower)
                                                     : pool.open(entry, customer, borrower);
        settle();
        return link;
    }

    /// Accepts connections and runs the posted tasks.
    void settle()
    {
        connector.acceptAll();
        for (; !tasks.empty(); tasks.pop_front())
            tasks.front()();
    }

    /// Returns a connection to the pool.
    void giveBack(std::unique_ptr<BackendLink>& link)
    {
        link.reset();
        connector.answerOwnCommands({ 1, 1 });
        settle();
        connector.answerOwnCommands({ 1, 1 });
        settle();
    }

    Instant now { seconds(1000) };
    ServerEntry entry;
    std::deque<std::function<void()>> tasks;
    FakeConnector connector;
    ConnectionPool pool;
    std::vector<FakeObserver> first;
    Links used;
};

} // namespace

// Load pattern: operations of many hosts wait for the connections of one lender.
BOOST_FIXTURE_TEST_CASE(waiting_borrowers_are_served_by_urgency, Fixture)
{
    FakeObserver lower;
    FakeObserver urgent;
    Links links;
    links.push_back(open(lower, "large", 2));
    links.push_back(open(urgent, "large", 1));
    giveBack(used[0]);
    BOOST_TEST(urgent.opened == 1U);
    BOOST_TEST(lower.opened == 0U);
    giveBack(used[1]);
    BOOST_TEST(lower.opened == 1U);
}

// Load pattern: one customer's crowd of the same urgency came first.
BOOST_FIXTURE_TEST_CASE(customers_of_one_priority_take_turns, Fixture)
{
    std::vector<FakeObserver> crowd(2);
    FakeObserver small;
    Links links;
    links.push_back(open(crowd[0], "large", 2));
    links.push_back(open(crowd[1], "large", 2));
    links.push_back(open(small, "small", 2));
    giveBack(used[0]);
    giveBack(used[1]);
    BOOST_TEST(crowd[0].opened == 1U);
    BOOST_TEST(small.opened == 1U);
    BOOST_TEST(crowd[1].opened == 0U);
}

// Load pattern: a burst of less urgent operations has filled the waiting list when an urgent one arrives.
BOOST_FIXTURE_TEST_CASE(an_urgent_borrower_displaces_the_newest_of_the_least_urgent, Fixture)
{
    std::vector<FakeObserver> lower(3);
    FakeObserver sameAsLower;
    FakeObserver urgent;
    Links links;
    for (FakeObserver& borrower : lower)
        links.push_back(open(borrower, "large", 2));
    links.push_back(open(sameAsLower, "large", 2));
    BOOST_TEST((sameAsLower.closed == BackendCloseReason::ConnectionLimit));
    links.push_back(open(urgent, "large", 1));
    BOOST_TEST(!urgent.closed.has_value());
    BOOST_TEST((lower[2].closed == BackendCloseReason::ConnectionLimit));
    BOOST_TEST(!lower[0].closed.has_value());
    giveBack(used[0]);
    BOOST_TEST(urgent.opened == 1U);
}

// Hosts of an earlier version send no priority: they are neither first nor displaced, and order among them is arrival.
BOOST_FIXTURE_TEST_CASE(an_unknown_priority_counts_as_the_least_urgent_that_waits, Fixture)
{
    FakeObserver unknown;
    FakeObserver lower;
    FakeObserver urgent;
    Links links;
    links.push_back(open(unknown, "large", std::nullopt));
    links.push_back(open(lower, "large", 2));
    links.push_back(open(urgent, "large", 1));
    giveBack(used[0]);
    BOOST_TEST(urgent.opened == 1U);
    giveBack(used[1]);
    BOOST_TEST(unknown.opened == 1U);
    BOOST_TEST(lower.opened == 0U);
}

// Load pattern: sessions of one customer rest inside transactions on a lender's connections.
BOOST_AUTO_TEST_CASE(a_customer_cannot_take_the_reserve_of_a_lender)
{
    Fixture f;
    f.giveBack(f.used[0]);
    f.pool.setUrgentPriority("orders", 1);
    FakeObserver lower;
    FakeObserver other;
    Links links;
    links.push_back(f.open(lower, "large", 2)); // Three of four are in use.
    BOOST_TEST(lower.opened == 0U);
    links.push_back(f.open(other, "small", 2));
    BOOST_TEST(other.opened == 1U);
    f.giveBack(links[1]);
    FakeObserver urgent;
    links.push_back(f.open(urgent, "large", 1));
    BOOST_TEST(urgent.opened == 1U);
    f.giveBack(f.used[1]);
    BOOST_TEST(lower.opened == 0U);
    f.giveBack(f.used[2]);
    BOOST_TEST(lower.opened == 1U);
}

// Rolling restart: messages between hosts of both versions.
BOOST_AUTO_TEST_CASE(the_priority_passes_in_the_opening)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Open;
    message.link = 7;
    message.server = "p";
    message.customer = "hatter";
    BOOST_TEST(encodeLinkMessage(message, LinkFormat::Strings).value() == R"(["o",7,"p","hatter"])");
    BOOST_TEST(!decodeLinkMessage(encodeLinkMessage(message, LinkFormat::Strings).value()).priority.has_value());
    message.priority = 2;
    const LinkMessage decoded = decodeLinkMessage(encodeLinkMessage(message, LinkFormat::Strings).value());
    BOOST_TEST((decoded.priority == std::optional<unsigned>(2)));
    BOOST_TEST(decoded.customer == "hatter");
    BOOST_CHECK_THROW(decodeLinkMessage(R"(["o",7,"p","hatter",-1])"), std::exception);
    BOOST_CHECK_THROW(decodeLinkMessage(R"(["o",7,"p","hatter","urgent"])"), std::exception);
}
