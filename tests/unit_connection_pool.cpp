#include "connection_pool.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Borrower = FakeObserver;

struct Fixture {
    Fixture()
        : pool(
            connector, [this](const std::string& id) { return id == entry.id && registered ? &entry : nullptr; },
            [this] { return now; }, [this](std::function<void()> task) { tasks.push_back(std::move(task)); })
    {
        entry.id = "p";
        entry.service = "orders";
        pool.setLimit("orders", 40, 10);
    }

    std::unique_ptr<BackendLink> open(Borrower& borrower, const std::string& customer = "hatter")
    {
        std::unique_ptr<BackendLink> link = pool.open(entry, customer, borrower);
        settle();
        return link;
    }

    /// Accepts connections and runs the posted tasks.
    void settle()
    {
        connector.acceptAll();
        while (!tasks.empty()) {
            const std::function<void()> task = std::move(tasks.front());
            tasks.pop_front();
            task();
        }
    }

    void pass(Duration duration)
    {
        now += duration;
        pool.tick();
        settle();
    }

    static BackendCommand statement(const std::string& id)
    {
        BackendCommand command;
        command.id = id;
        command.text = "READ a";
        return command;
    }

    /// Runs one statement of a customer over a connection of its own.
    void runStatement(const std::string& customer)
    {
        Borrower borrower;
        const std::unique_ptr<BackendLink> link = open(borrower, customer);
        connector.answerOwnCommands({ 1, 1 });
        BOOST_REQUIRE(borrower.opened == 1U);
        link->send(statement("1"));
        connector.reply(connector.statementLink(), okReply("row", { 1, 1 }));
        BOOST_TEST(borrower.replies.size() == 1U);
    }

    size_t openLinks() const
    {
        return static_cast<size_t>(
            std::count_if(connector.links.begin(), connector.links.end(), [](const auto& it) { return !it.closed; }));
    }

    Instant now { seconds(1000) };
    ServerEntry entry;
    bool registered = true;
    std::deque<std::function<void()>> tasks;
    FakeConnector connector;
    ConnectionPool pool;
};

} // namespace

// Load pattern: 8 customers with one statement per second each, all through this host. Each customer's connection is
// opened once; without the pool every statement would open one.
BOOST_FIXTURE_TEST_CASE(statements_of_a_customer_share_a_connection, Fixture)
{
    pool.setLimit("orders", 100, 10);
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 8; ++i) {
            runStatement("customer" + std::to_string(i));
            connector.answerOwnCommands({ 1, 1 });
            pass(milliseconds(125));
        }
    }
    BOOST_TEST(connector.links.size() == 8U);
}

// Guards against session values and prepared statements of one borrower that reach the next one.
BOOST_FIXTURE_TEST_CASE(a_connection_is_reset_before_it_is_lent_again, Fixture)
{
    runStatement("hatter");
    BOOST_REQUIRE(connector.links[0].commands.size() == 1U);
    BOOST_TEST((connector.links[0].commands[0].kind == BackendCommandKind::Reset));
    Borrower early;
    const std::unique_ptr<BackendLink> first = open(early);
    BOOST_TEST(connector.links.size() == 2U); // The reset is not answered yet.
    connector.answerOwnCommands({ 1, 1 });
    Borrower late;
    const std::unique_ptr<BackendLink> second = open(late);
    BOOST_TEST(late.opened == 1U);
    BOOST_TEST(connector.links.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(other_customers_get_connections_of_their_own, Fixture)
{
    runStatement("hatter");
    connector.answerOwnCommands({ 1, 1 });
    runStatement("milliner");
    BOOST_TEST(connector.links.size() == 2U);
    BOOST_TEST(connector.links[1].customer == "milliner");
}

BOOST_FIXTURE_TEST_CASE(an_open_transaction_is_rolled_back, Fixture)
{
    Borrower borrower;
    std::unique_ptr<BackendLink> link = open(borrower);
    link->send(statement("1"));
    connector.reply(0, okReply("row", { 1, 1 }, TransactionState::Open));
    link.reset();
    BOOST_REQUIRE(connector.links[0].commands.size() == 2U);
    BOOST_TEST((connector.links[0].commands[0].kind == BackendCommandKind::Rollback));
    BOOST_TEST((connector.links[0].commands[1].kind == BackendCommandKind::Reset));
}

// Guards against a late reply that reaches the next borrower.
BOOST_FIXTURE_TEST_CASE(a_connection_that_owes_a_reply_is_closed, Fixture)
{
    Borrower borrower;
    std::unique_ptr<BackendLink> link = open(borrower);
    link->send(statement("1"));
    link.reset();
    BOOST_TEST(connector.links[0].closed);
    BOOST_TEST(pool.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_cannot_be_reset_is_closed, Fixture)
{
    runStatement("hatter");
    connector.reply(0, errorReply(BackendError::Other));
    BOOST_TEST(connector.links[0].closed);
    runStatement("milliner");
    pass(seconds(1)); // The reset is never answered.
    BOOST_TEST(connector.links[1].closed);
}

// A connection may stop answering without being closed. The borrower must not send a write over it.
BOOST_FIXTURE_TEST_CASE(a_connection_that_went_silent_is_replaced, Fixture)
{
    runStatement("hatter");
    connector.answerOwnCommands({ 1, 1 });
    now += seconds(1);
    Borrower borrower;
    const std::unique_ptr<BackendLink> link = open(borrower);
    BOOST_TEST(borrower.opened == 0U);
    BOOST_TEST(connector.links[0].commands.size() == 1U);
    pass(seconds(1));
    BOOST_TEST(connector.links[0].closed);
    BOOST_TEST(!borrower.closed.has_value());
    BOOST_TEST(borrower.opened == 1U);
    link->send(statement("2"));
    BOOST_TEST(connector.statementLink() == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_limit_is_kept, Fixture)
{
    std::vector<Borrower> borrowers(5);
    std::vector<std::unique_ptr<BackendLink>> links;
    links.reserve(borrowers.size() + 2);
    for (Borrower& borrower : borrowers)
        links.push_back(open(borrower));
    BOOST_TEST(connector.links.size() == 4U); // 40 connections for 10 hosts, less the reserve, but at least four.
    BOOST_TEST(borrowers[4].opened == 0U);
    links[0].reset();
    connector.answerOwnCommands({ 1, 1 });
    settle();
    BOOST_TEST(borrowers[4].opened == 1U);
    Borrower other;
    links.push_back(open(other, "milliner"));
    pass(ConnectionPoolSettings().maxWaitTime + milliseconds(20));
    BOOST_TEST((other.closed == BackendCloseReason::ConnectionLimit));
    links[4].reset();
    connector.answerOwnCommands({ 1, 1 });
    pass(milliseconds(20));
    Borrower third;
    links.push_back(open(third, "milliner")); // Replaces an unused connection of another customer.
    BOOST_TEST(third.opened == 1U);
    BOOST_TEST(openLinks() == 4U);
}

BOOST_FIXTURE_TEST_CASE(connections_to_leaving_servers_are_closed_once_unused, Fixture)
{
    runStatement("hatter");
    connector.answerOwnCommands({ 1, 1 });
    entry.draining = true;
    pass(milliseconds(20));
    BOOST_TEST(connector.links[0].closed);
    registered = false;
    Borrower borrower;
    const std::unique_ptr<BackendLink> link = open(borrower);
    BOOST_TEST((borrower.closed == BackendCloseReason::Refused));
}

// A refusal shows that all hosts together have reached the server's limit. Unused connections are then closed sooner.
BOOST_FIXTURE_TEST_CASE(refusals_shorten_the_time_that_connections_are_kept, Fixture)
{
    pool.setLimit("orders", 100, 10);
    runStatement("hatter");
    connector.answerOwnCommands({ 1, 1 });
    pass(milliseconds(1600));
    BOOST_TEST(!connector.links[0].closed);
    Borrower refused;
    const std::unique_ptr<BackendLink> link = pool.open(entry, "milliner", refused);
    connector.links[1].observer->backendClosed(BackendCloseReason::ConnectionLimit);
    settle();
    BOOST_TEST((refused.closed == BackendCloseReason::ConnectionLimit));
    pass(milliseconds(20));
    BOOST_TEST(connector.links[0].closed);
}

// Load pattern: after a restart of all hosts, each host opens connections to servers that are busy with openings. A
// second opening for the same customer, or a retry of one that has timed out, would keep the servers busy.
BOOST_FIXTURE_TEST_CASE(slow_openings_are_not_repeated, Fixture)
{
    std::vector<Borrower> borrowers(6);
    std::vector<std::unique_ptr<BackendLink>> links;
    links.reserve(borrowers.size() + 2);
    for (size_t i = 0; i < borrowers.size(); ++i)
        links.push_back(pool.open(entry, "customer" + std::to_string(i % 3), borrowers[i]));
    BOOST_TEST(connector.links.size() == ConnectionPoolSettings().maxOpenings);
    const auto wait = [this](Duration duration) {
        now += duration;
        pool.tick();
        for (; !tasks.empty(); tasks.pop_front())
            tasks.front()();
    };
    wait(milliseconds(500));
    BOOST_TEST((borrowers[0].closed == BackendCloseReason::Lost));
    BOOST_TEST((borrowers[3].closed == BackendCloseReason::ConnectionLimit));
    Borrower next;
    links.push_back(pool.open(entry, "customer0", next));
    wait(milliseconds(300));
    BOOST_TEST(connector.links.size() == 2U);
    settle();
    BOOST_TEST(next.opened == 1U);
    BOOST_TEST(!connector.links[0].closed);
    // An opening that is never answered times out.
    Borrower lost;
    links.push_back(pool.open(entry, "customer7", lost));
    wait(milliseconds(1600));
    BOOST_TEST((lost.closed == BackendCloseReason::Lost));
    BOOST_TEST(connector.links.back().closed);
}

// Load pattern: a saturated server, where openings queue for slots like statements do. A customer's second statement
// waits for the connection of the first one; at a server that opens connections fast it gets its own.
BOOST_FIXTURE_TEST_CASE(a_saturated_server_gets_no_needless_opening, Fixture)
{
    struct Speed {
        milliseconds opening;
        milliseconds loan;
        size_t connections;
    };
    for (const Speed& speed : { Speed { milliseconds(120), milliseconds(100), 1 },
             Speed { milliseconds(10), milliseconds(100), 2 }, Speed { milliseconds(120), milliseconds(100), 1 } }) {
        const auto use = [&](const std::string& customer) {
            Borrower borrower;
            std::unique_ptr<BackendLink> link = pool.open(entry, customer, borrower);
            now += speed.opening;
            settle();
            BOOST_TEST(borrower.opened == 1U);
            now += speed.loan;
            link.reset();
            connector.answerOwnCommands({ 1, 1 });
            pass(seconds(10)); // Closes all unused connections.
        };
        for (int i = 0; i < 30; ++i)
            use("customer" + std::to_string(i));
        const size_t before = openLinks();
        Borrower first;
        std::unique_ptr<BackendLink> firstLink = pool.open(entry, "hatter", first);
        now += speed.opening;
        settle();
        Borrower second;
        const std::unique_ptr<BackendLink> secondLink = pool.open(entry, "hatter", second);
        settle();
        BOOST_TEST(openLinks() - before == speed.connections);
        now += speed.loan / 2;
        firstLink.reset();
        connector.answerOwnCommands({ 1, 1 });
        settle();
        BOOST_TEST(second.opened == 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(a_waiting_customer_holds_up_no_other, Fixture)
{
    Borrower first;
    std::unique_ptr<BackendLink> busy = open(first, "milliner");
    Borrower opening;
    const std::unique_ptr<BackendLink> slow = pool.open(entry, "hatter", opening);
    Borrower waits;
    const std::unique_ptr<BackendLink> behind = pool.open(entry, "hatter", waits);
    Borrower other;
    const std::unique_ptr<BackendLink> another = pool.open(entry, "plaiter", other);
    Borrower third;
    const std::unique_ptr<BackendLink> next
        = pool.open(entry, "milliner", third); // Two openings are already in progress.
    busy.reset();
    connector.answerOwnCommands({ 1, 1 });
    for (; !tasks.empty(); tasks.pop_front())
        tasks.front()();
    BOOST_TEST(third.opened == 1U);
    BOOST_TEST(waits.opened == 0U);
}

// Load pattern: three hosts lend all connections of a server, and twice as many callers come at once. Those that find
// no connection wait for one of the many that will soon be returned, instead of being refused.
BOOST_FIXTURE_TEST_CASE(as_many_wait_as_connections_return, Fixture)
{
    pool.setLimit("orders", 193, 3);
    constexpr size_t connections = 54; // Three in twenty are kept in reserve.
    std::vector<Borrower> borrowers(connections + 20);
    std::vector<std::unique_ptr<BackendLink>> links;
    links.reserve(borrowers.size());
    for (Borrower& borrower : borrowers)
        links.push_back(open(borrower));
    BOOST_TEST(openLinks() == connections);
    for (const Borrower& borrower : borrowers)
        BOOST_TEST(!borrower.closed.has_value());
    for (size_t i = 0; i < 20; ++i) {
        links[i].reset();
        connector.answerOwnCommands({ 1, 1 });
        pass(milliseconds(10));
    }
    for (const Borrower& borrower : borrowers)
        BOOST_TEST(borrower.opened == 1U);
}
