#pragma once

#include "connection_allowance.h"
#include "gateway_ports.h"
#include <deque>
#include <list>

namespace plantainwall {

struct ConnectionPoolSettings {
    /// A connection that was unused for this long is tested before it is lent: it may have gone silent.
    Duration validateAfter = std::chrono::milliseconds(500);
    /// Until a borrower is told that its connection does not open, and for a test or a reset. Lenders are near the
    /// server, so one that is well answers sooner.
    Duration answerTimeout = std::chrono::milliseconds(450);
    /// An opening goes on for this long, for the next borrower: where all hosts open connections anew they queue at the
    /// servers, and giving up would waste the slot's time again and again.
    Duration openingTimeout = std::chrono::milliseconds(1500);
    /// For a connection to become free. Right after a restart of all hosts every connection is opened anew, which takes
    /// the servers about a second.
    Duration maxWait = std::chrono::milliseconds(400);
    /// Openings to one server at a time, and one of them for each customer: each takes one of its slots.
    size_t maxOpening = 2;
    /// An unused connection is kept for this long; for less where a host's share of the server's limit is small, and
    /// still less after refusals.
    Duration keepIdle = std::chrono::seconds(3);
    Duration keepIdlePerConnection = std::chrono::milliseconds(350); ///< For each connection of the share.
    size_t maxWaiting = 8; ///< Waiting for one server; further ones are refused at once.
    /// Weight of a new measurement in the moving averages of openings and loans: some ten of them, a second of a busy
    /// server.
    double timeGain = 0.2;
};

/// Keeps open connections to backend servers after their use and lends them again to the same customer.
///
/// Load pattern: hundreds of sessions on each of many hosts, each with a statement every few seconds. On no host do two
/// statements of one customer to one server come soon enough after each other to share a connection, so every
/// statement opens one, which takes a slot of the server for about as long as the statement itself. A host that lends
/// to all others (LinkServer) sees all statements of its customers.
///
/// Where a server is saturated, openings queue for its slots like statements do. A customer with a connection in use
/// waits for that one then, as it comes back sooner than another would be open, and costs no slot.
///
/// A connection that comes back is rolled back and reset before it is lent again, and closed if it still owes replies.
class ConnectionPool final : public BackendConnector {
public:
    using Clock = std::function<Instant()>;
    using Post = std::function<void(std::function<void()>)>;

    /// servers finds registered servers; post runs a function soon, not from within the call.
    ConnectionPool(BackendConnector&, FindServer servers, Clock, Post, const ConnectionPoolSettings& = {});
    ~ConnectionPool() override;

    /// Sets the limit of connections to each server of a service, and among how many hosts it is shared out.
    void setLimit(const std::string& service, unsigned limit, size_t hosts);

    std::unique_ptr<BackendLink> open(const ServerEntry&, const std::string& customer, BackendObserver&) override;
    std::optional<ServerStatus> statusOf(const BackendReply& reply) override { return m_connector.statusOf(reply); }

    /// Closes what is unused for too long or leads to leaving servers; to be called every few milliseconds.
    void tick();

    /// Returns the number of connections, lent or not.
    size_t size() const;

private:
    struct PhysicalConnection;
    struct User;
    struct Link;
    struct Server {
        ConnectionAllowance allowance;
        std::list<std::unique_ptr<PhysicalConnection>> connections;
        std::deque<std::shared_ptr<User>> waiting;
        Duration openingTime { 0 }; ///< Moving average; 0 until one was measured.
        Duration loanTime { 0 }; ///< From lending to the reset after the return; likewise.
    };
    struct Limit {
        unsigned connections = 1;
        size_t hosts = 1;
    };

    double shareOf(const std::string& service) const;
    bool provide(Server&, const std::shared_ptr<User>&);
    static bool returnsSooner(const Server&, const User&);
    void measure(Duration& average, Duration sample) const;
    void openFor(Server&, const std::shared_ptr<User>&);
    void lend(PhysicalConnection&, const std::shared_ptr<User>&);
    void notifyOpened(const std::shared_ptr<User>&);
    void fail(const std::shared_ptr<User>&, BackendCloseReason);
    void checkOverdue(PhysicalConnection&);
    void released(User&);
    void resetForReuse(PhysicalConnection&);
    void becomeIdle(PhysicalConnection&);
    void discard(PhysicalConnection&);
    void serveWaiting(Server&);
    void physicalOpened(PhysicalConnection&);
    void physicalReplied(PhysicalConnection&, BackendReply);
    void physicalClosed(PhysicalConnection&, BackendCloseReason);

    BackendConnector& m_connector;
    FindServer m_findServer;
    Clock m_clock;
    Post m_post;
    ConnectionPoolSettings m_settings;
    std::map<std::string, Limit> m_limits; ///< By service.
    std::map<std::string, Server> m_servers; ///< By id.
    std::vector<std::unique_ptr<PhysicalConnection>> m_discarded; ///< Destroyed by the next tick.
};

} // namespace plantainwall
