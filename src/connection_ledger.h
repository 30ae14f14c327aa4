#pragma once

#include "plantainwall/plantainwall.h"
#include <deque>
#include <map>
#include <optional>

#include <variant>

namespace plantainwall {

/// Decides which request uses which logical connection of one database. A decision object. Opens at most half of the
/// database's limit, so that two hosts that both act as its owner stay within the limit.
class ConnectionLedger {
public:
    using Waiter = uint64_t;

    /// Requests that one connection be opened. The result is reported by opened() or openFailed().
    struct Open { };
    struct Close {
        std::string connection;
    };
    struct Grant {
        Waiter waiter = 0;
        std::string connection;
    };
    /// Reports that the waiter's deadline passed before a connection was available.
    struct Expire {
        Waiter waiter = 0;
    };
    using Action = std::variant<Open, Close, Grant, Expire>;
    using Actions = std::vector<Action>;

    /// Sets the connection limit of the database. Half of it is used, rounded down.
    void setLimit(unsigned databaseLimit) { m_limit = databaseLimit / 2; }

    Actions acquire(Waiter, Instant deadline, Instant now);

    /// Removes a waiter whose request has ended.
    void cancel(Waiter);

    Actions opened(const std::string& connection, Instant now);
    Actions openFailed(Instant now);

    /// Releases a connection granted to the waiter. Has no effect if another one holds it by now. reusable must be
    /// false if any part of the connection's state is uncertain; the connection is then closed.
    Actions release(Waiter, const std::string& connection, bool reusable, Instant now);

    /// Closes connections that have been idle for too long, expires waiters and retries failed opens.
    Actions tick(Instant now);

    /// Closes every idle connection and opens no further ones.
    Actions close();

    /// Allows opening connections again after close().
    void reopen() { m_closed = false; }

    unsigned limit() const { return m_limit; }
    size_t open() const { return m_idle.size() + m_inUse.size(); }
    size_t inUse() const { return m_inUse.size(); }
    size_t opening() const { return m_opening; }
    size_t waiting() const { return m_waiters.size(); }

private:
    struct Idle {
        std::string connection;
        Instant since {};
    };
    struct Waiting {
        Waiter waiter = 0;
        Instant deadline {};
    };

    void serve(Instant now, Actions&);

    unsigned m_limit = 1;
    bool m_closed = false;
    std::vector<Idle> m_idle;
    std::map<std::string, Waiter> m_inUse;
    size_t m_opening = 0;
    std::deque<Waiting> m_waiters;
    Instant m_openNotBefore {};
};

} // namespace plantainwall
