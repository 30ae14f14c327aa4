#include "connection_ledger.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Pause after a failed open: the database is at its limit or unreachable, and each open costs it 10 to 25 ms.
    constexpr Duration openRetryPause = std::chrono::milliseconds(50);
    // The database closes idle connections itself. Closing them earlier avoids requests over connections that it has
    // already closed.
    constexpr Duration maxIdle = std::chrono::seconds(5);

} // namespace

ConnectionLedger::Actions ConnectionLedger::acquire(Waiter waiter, Instant deadline, Instant now)
{
    Actions actions;
    m_waiters.push_back(Waiting { waiter, deadline });
    serve(now, actions);
    return actions;
}

void ConnectionLedger::cancel(Waiter waiter)
{
    m_waiters.erase(std::remove_if(m_waiters.begin(), m_waiters.end(),
                        [waiter](const Waiting& waiting) { return waiting.waiter == waiter; }),
        m_waiters.end());
}

ConnectionLedger::Actions ConnectionLedger::opened(const std::string& connection, Instant now)
{
    Actions actions;
    m_opening -= m_opening > 0 ? 1 : 0;
    if (m_closed) {
        actions.emplace_back(Close { connection });
        return actions;
    }
    m_idle.push_back(Idle { connection, now });
    serve(now, actions);
    return actions;
}

ConnectionLedger::Actions ConnectionLedger::openFailed(Instant now)
{
    m_opening -= m_opening > 0 ? 1 : 0;
    m_openNotBefore = now + openRetryPause;
    return {};
}

ConnectionLedger::Actions ConnectionLedger::release(
    Waiter holder, const std::string& connection, bool reusable, Instant now)
{
    Actions actions;
    const std::map<std::string, Waiter>::iterator it = m_inUse.find(connection);
    if (it == m_inUse.end() || it->second != holder)
        return actions;
    m_inUse.erase(it);
    if (!reusable || m_closed)
        actions.emplace_back(Close { connection });
    else
        m_idle.push_back(Idle { connection, now });
    serve(now, actions);
    return actions;
}

ConnectionLedger::Actions ConnectionLedger::tick(Instant now)
{
    Actions actions;
    for (std::vector<Idle>::iterator it = m_idle.begin(); it != m_idle.end();) {
        if (now - it->since < maxIdle) {
            ++it;
            continue;
        }
        actions.emplace_back(Close { it->connection });
        it = m_idle.erase(it);
    }
    for (std::deque<Waiting>::iterator it = m_waiters.begin(); it != m_waiters.end();) {
        if (it->deadline > now) {
            ++it;
            continue;
        }
        actions.emplace_back(Expire { it->waiter });
        it = m_waiters.erase(it);
    }
    serve(now, actions);
    return actions;
}

ConnectionLedger::Actions ConnectionLedger::close()
{
    Actions actions;
    m_closed = true;
    for (const Idle& idle : m_idle)
        actions.emplace_back(Close { idle.connection });
    m_idle.clear();
    return actions;
}

/// Grants idle connections, the most recently used first so that the others can time out, and opens missing ones.
void ConnectionLedger::serve(Instant now, Actions& actions)
{
    while (!m_waiters.empty() && !m_idle.empty()) {
        const std::string connection = m_idle.back().connection;
        m_idle.pop_back();
        m_inUse[connection] = m_waiters.front().waiter;
        actions.emplace_back(Grant { m_waiters.front().waiter, connection });
        m_waiters.pop_front();
    }
    while (!m_closed && now >= m_openNotBefore && m_waiters.size() > m_opening && open() + m_opening < m_limit) {
        ++m_opening;
        actions.emplace_back(Open {});
    }
}

} // namespace plantainwall
