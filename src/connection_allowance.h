#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

struct ConnectionAllowanceSettings {
    /// Fraction of a server's connection limit that is divided among the entry hosts. The rest is reserved for
    /// restarts: servers keep the connections of a dead host for up to 3 s.
    double dividedFraction = 0.6;
    /// A host that would get fewer connections than this uses up to dividedFractionIfFew of the limit instead: with few
    /// connections, closing one customer's for another's costs the servers more than the reserve is worth.
    size_t fewConnections = 3;
    double dividedFractionIfFew = 0.95;
    /// With fewer connections per host than this, connections are opened for a short time instead of kept.
    double shortLivedBelow = 2;
    /// Maximum number of short-lived connections to one server: statements of four customers at a time.
    size_t maxShortLived = 4;
    /// A short-lived connection is closed after being unused for this long; halved on each refusal.
    Duration shortLivedIdleTime = std::chrono::milliseconds(200);
    Duration minShortLivedIdleTime = std::chrono::milliseconds(20);
    /// Maximum number of connections to one server if lenders open them (see ConnectionPool). Opening one costs a round
    /// trip, during which other statements wait for it.
    size_t maxLent = 8;
    Duration lentIdleTime = std::chrono::milliseconds(50);
    Duration keptIdleTime = std::chrono::seconds(15); ///< An unused kept connection is closed after this.
    Duration firstPause = std::chrono::milliseconds(60); ///< Pause after a refusal; doubles with each further one.
    Duration maxPause = std::chrono::seconds(1);
    Duration startupPeriod = std::chrono::seconds(5); ///< Other hosts may be starting at the same time.
};

/// Decides how many connections one host may have open to one server, and how long unused ones are kept. A decision
/// object.
///
/// Load pattern: many hosts, each with statements of many customers a few times per second, and a server that allows
/// about as many connections as there are hosts. If every host kept a connection for its last customer, the limit would
/// be exhausted while most connections are unused. Where a host's share would be less than two connections, hosts use
/// short-lived ones: they may open several, close unused ones early, and even earlier once the server has refused one.
class ConnectionAllowance {
public:
    explicit ConnectionAllowance(const ConnectionAllowanceSettings& = {});

    /// Sets the server's limit over all hosts, the number of hosts and whether this process has just started.
    void setFleet(unsigned limit, size_t hosts, bool starting);

    /// Sets that lenders open the connections and observe the server's limit.
    void useLenders();

    /// Sets that the connections are pooled for other hosts, and how long an unused connection is kept.
    void setPooled(Duration idle);

    /// Returns the maximum number of open connections.
    size_t cap() const { return m_cap; }

    /// Returns the time after which an unused connection is closed.
    Duration idleLimit(Instant now) const;

    /// Returns whether no pause after a refusal is in effect. Does not check cap().
    bool mayOpen(Instant now) const { return now >= m_pausedUntil; }

    /// Records that the server refused a connection because of its limit.
    void noteRefused(Instant now);

    void noteOpened() { m_refusals = 0; }

private:
    ConnectionAllowanceSettings m_settings;
    size_t m_cap = 1;
    bool m_shortLived = false;
    bool m_usesLenders = false;
    Duration m_shortLivedIdleTime;
    Instant m_refusedAt;
    Instant m_pausedUntil;
    unsigned m_refusals = 0;
};

} // namespace plantainwall
