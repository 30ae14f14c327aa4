#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

struct ConnectionAllowanceSettings {
    /// Part of a server's connection limit that entry hosts share out. The rest is room for restarts: servers keep the
    /// connections of a dead host for up to 3 s.
    double share = 0.6;
    /// A host that would get fewer than this takes up to shareFew: with few connections, closing one customer's for
    /// another's costs the servers more than the room is worth.
    size_t few = 3;
    double shareFew = 0.95;
    /// Below this many connections a host, connections are borrowed for a moment instead of kept.
    double borrowBelow = 2;
    size_t borrowed = 4; ///< Most that a host borrows from one server: statements of four customers at a time.
    Duration borrowIdle = std::chrono::milliseconds(200); ///< An unused one goes back after this; halved when refused.
    Duration borrowIdleMin = std::chrono::milliseconds(20);
    /// With lenders (see ConnectionPool) a connection costs one round trip, and others wait for it meanwhile.
    size_t shared = 8;
    Duration sharedIdle = std::chrono::milliseconds(50);
    Duration keepIdle = std::chrono::seconds(15); ///< An unused connection that a host may keep is closed after this.
    Duration firstPause = std::chrono::milliseconds(60); ///< After a refusal; doubles with each further one.
    Duration maxPause = std::chrono::seconds(1);
    Duration startupPeriod = std::chrono::seconds(5); ///< First time of a process; others may be starting too.
};

/// How many connections one host may have open to one server, and for how long unused. A decision object.
///
/// Load pattern: many hosts, each with statements of many customers a few times a second, and a server that allows
/// about as many connections as there are hosts. Connections that every host keeps for its last customer exhaust the
/// limit while most are unused. Where a lasting share would be less than two, hosts borrow: they may open several,
/// close unused ones soon, and sooner once the server has refused one.
class ConnectionAllowance {
public:
    explicit ConnectionAllowance(const ConnectionAllowanceSettings& = {});

    /// Sets the server's limit over all hosts, the number of hosts and whether this process has just started.
    void setFleet(unsigned limit, size_t hosts, bool starting);

    /// Sets that connections are lent by other hosts, which keep the server's limit.
    void setShared();

    /// Sets that the connections are pooled for other hosts, and how long an unused one is kept.
    void setPooled(Duration idle);

    /// Returns the most connections to have open.
    size_t cap() const { return m_cap; }

    /// Returns after which time an unused connection is closed.
    Duration idleLimit(Instant now) const;

    /// Returns whether a connection may be opened as far as refusals go.
    bool mayOpen(Instant now) const { return now >= m_pausedUntil; }

    /// The server refused a connection because of its limit.
    void noteRefused(Instant now);

    void noteOpened() { m_refusals = 0; }

private:
    ConnectionAllowanceSettings m_settings;
    size_t m_cap = 1;
    bool m_borrows = false;
    bool m_shared = false;
    Duration m_borrowIdle;
    Instant m_refusedAt;
    Instant m_pausedUntil;
    unsigned m_refusals = 0;
};

} // namespace plantainwall
