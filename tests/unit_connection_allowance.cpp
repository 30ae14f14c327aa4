#include "connection_allowance.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Load {
    unsigned hosts;
    unsigned limit;
    unsigned customers;
    double perSecond; ///< Statements of all hosts.
};

struct Outcome {
    unsigned served = 0;
    unsigned refused = 0;
};

/// Replays statements of random customers at random hosts against one server's connection limit.
class Replay {
public:
    Replay(const Load& load, const ConnectionAllowanceSettings& settings)
        : m_load(load)
    {
        for (unsigned i = 0; i < load.hosts; ++i) {
            m_hosts.push_back({ ConnectionAllowance(settings), {}, {} });
            m_hosts.back().allowance.setFleet(load.limit, load.hosts, false);
        }
    }

    Outcome run(Duration time)
    {
        double due = 0;
        for (const Instant end = m_now + time; m_now < end; m_now += step) {
            for (due += m_load.perSecond * std::chrono::duration<double>(step).count(); due >= 1; due -= 1)
                m_hosts[m_random() % m_hosts.size()].waiting.push_back(
                    { static_cast<unsigned>(m_random()) % m_load.customers, m_now });
            for (Host& host : m_hosts)
                serve(host);
        }
        return m_outcome;
    }

private:
    struct Connection {
        unsigned customer;
        Instant freeAt;
    };
    struct Statement {
        unsigned customer;
        Instant arrived;
    };
    struct Host {
        ConnectionAllowance allowance;
        std::vector<Connection> connections;
        std::deque<Statement> waiting;
    };

    void serve(Host& host)
    {
        const auto unused
            = [&](const Connection& connection) { return m_now - connection.freeAt > host.allowance.idleLimit(m_now); };
        const size_t before = host.connections.size();
        host.connections.erase(
            std::remove_if(host.connections.begin(), host.connections.end(), unused), host.connections.end());
        m_open -= before - host.connections.size();
        for (size_t n = host.waiting.size(); n > 0; --n) {
            const Statement statement = host.waiting.front();
            host.waiting.pop_front();
            if (tryServe(host, statement.customer))
                ++m_outcome.served;
            else if (m_now - statement.arrived > maxWaitTime)
                ++m_outcome.refused;
            else
                host.waiting.push_back(statement);
        }
    }

    bool tryServe(Host& host, unsigned customer)
    {
        Connection* oldest = nullptr;
        for (Connection& connection : host.connections) {
            if (connection.freeAt > m_now)
                continue;
            if (connection.customer == customer) {
                connection.freeAt = m_now + statementTime;
                return true;
            }
            if (oldest == nullptr || connection.freeAt < oldest->freeAt)
                oldest = &connection;
        }
        if (host.connections.size() < host.allowance.cap() && host.allowance.mayOpen(m_now)) {
            if (m_open < m_load.limit) {
                ++m_open;
                host.allowance.noteOpened();
                host.connections.push_back({ customer, m_now + openingTime + statementTime });
                return true;
            }
            host.allowance.noteRefused(m_now);
        }
        if (oldest == nullptr)
            return false;
        *oldest = { customer, m_now + openingTime + statementTime };
        return true;
    }

    static constexpr Duration step = milliseconds(5);
    static constexpr Duration statementTime = milliseconds(100);
    static constexpr Duration openingTime = milliseconds(60);
    static constexpr Duration maxWaitTime = milliseconds(250);

    Load m_load;
    std::mt19937 m_random { 5 };
    Instant m_now { seconds(1000) };
    std::vector<Host> m_hosts;
    size_t m_open = 0;
    Outcome m_outcome;
};

} // namespace

// 86 hosts, 82 connections, 85 customers: short-lived connections serve statements that are refused if each host keeps
// its connections, also at twice the usual load.
BOOST_AUTO_TEST_CASE(short_lived_connections_serve_more_than_kept_ones)
{
    ConnectionAllowanceSettings keeping;
    keeping.shortLivedBelow = 0;
    for (const double perSecond : { 100.0, 200.0 }) {
        const Load load { 86, 82, 85, perSecond };
        const Outcome kept = Replay(load, keeping).run(seconds(30));
        const Outcome shortLived = Replay(load, {}).run(seconds(30));
        BOOST_TEST_MESSAGE(perSecond << "/s: kept " << kept.refused << " refused, short-lived " << shortLived.refused);
        BOOST_TEST(shortLived.refused * 200 <= shortLived.served);
        BOOST_TEST(shortLived.refused * 4 <= kept.refused);
    }
}

// With enough connections for all hosts they are kept, within a share that leaves a reserve for restarts.
BOOST_AUTO_TEST_CASE(connections_are_kept_if_there_are_enough)
{
    ConnectionAllowance allowance;
    allowance.setFleet(32, 6, false);
    BOOST_TEST(allowance.cap() == 3U);
    BOOST_TEST((allowance.idleLimit(Instant(seconds(5))) == seconds(15)));
    allowance.setFleet(262, 79, false);
    BOOST_TEST(allowance.cap() == 3U);
    allowance.setFleet(262, 79, true);
    BOOST_TEST(allowance.cap() == 2U);
    allowance.setFleet(0, 79, false);
    BOOST_TEST(allowance.cap() >= 1U);
}

// Refusals lengthen the pause and shorten the time for which unused connections are kept. A time without refusals
// reverts both.
BOOST_AUTO_TEST_CASE(refusals_shorten_the_idle_time)
{
    ConnectionAllowance allowance;
    allowance.setFleet(82, 86, false);
    Instant now(seconds(100));
    const Duration unrefused = allowance.idleLimit(now);
    allowance.noteRefused(now);
    BOOST_TEST(!allowance.mayOpen(now + milliseconds(50)));
    BOOST_TEST(allowance.mayOpen(now + milliseconds(60)));
    BOOST_TEST((allowance.idleLimit(now) == unrefused / 2));
    now += milliseconds(60);
    allowance.noteRefused(now);
    BOOST_TEST(!allowance.mayOpen(now + milliseconds(110)));
    for (int i = 0; i < 20; ++i)
        allowance.noteRefused(now);
    BOOST_TEST(allowance.mayOpen(now + seconds(1)));
    BOOST_TEST((allowance.idleLimit(now) == milliseconds(20)));
    allowance.noteOpened();
    BOOST_TEST((allowance.idleLimit(now + seconds(5)) == unrefused));
}
