#pragma once

#include "connection_allowance.h"
#include "gateway_ports.h"
#include "server_load.h"
#include <deque>
#include <list>

namespace plantainwall {

struct ConnectionPoolSettings {
    /// A connection that was unused for longer than this is tested before it is lent, because it may have stopped
    /// answering.
    Duration validateAfter = std::chrono::milliseconds(500);
    /// Timeout of a test or a reset, and the time after which a borrower is notified that its connection does not open.
    /// Lenders are near the server, so a healthy server answers sooner.
    Duration answerTimeout = std::chrono::milliseconds(450);
    /// Timeout of an opening. It is longer than answerTimeout, so that a late connection serves the next borrower: when
    /// all hosts reopen their connections, openings queue at the servers, and each aborted one would waste slot time.
    Duration openingTimeout = std::chrono::milliseconds(1500);
    /// Maximum time that a borrower waits for a free connection. Right after a restart of all hosts every connection is
    /// reopened, which takes the servers about a second.
    Duration maxWaitTime = std::chrono::milliseconds(400);
    /// Maximum number of concurrent openings to one server, at most one for each customer. Each occupies a slot of the
    /// server.
    size_t maxOpenings = 2;
    /// Time after which an unused connection is closed. Shorter where a host's share of the server's limit is small,
    /// and shorter still after refusals.
    Duration maxIdleTime = std::chrono::seconds(3);
    Duration maxIdleTimePerConnection = std::chrono::milliseconds(350); ///< Per connection of this host's share.
    /// Borrowers waiting for one server; further ones are refused at once. Half as many as connections of this host's
    /// share may wait if that is more: those become free within maxWaitTime.
    size_t maxWaiting = 8;
    /// Weight of a new sample in the moving averages of opening and loan times. The averages cover about ten samples,
    /// that is one second of a busy server.
    double averagingGain = 0.2;
};

/// Keeps connections to backend servers open after use and lends them again to the same customer.
///
/// Load pattern: hundreds of sessions on each of many hosts, each with a statement every few seconds. On a single host,
/// the statements of one customer to one server are too far apart to share a connection. Each would open its own, which
/// occupies a slot of the server for about as long as the statement itself. A host that lends connections to all others
/// (LinkLender) sees all statements of its customers.
///
/// On a saturated server, openings queue for slots like statements do. A customer that has a connection in use then
/// waits for it: it is returned sooner than another one would be open, and needs no slot.
///
/// A returned connection is rolled back and reset before it is lent again, and closed if replies are still outstanding
/// or the last one is in doubt (see BackendReply::lookalikes).
class ConnectionPool final : public BackendConnector {
public:
    using Clock = std::function<Instant()>;
    using Post = std::function<void(std::function<void()>)>;

    /// servers looks up registered servers; post runs a function asynchronously, never within the call.
    ConnectionPool(BackendConnector&, FindServer servers, Clock, Post, const ConnectionPoolSettings& = {});
    ~ConnectionPool() override;

    /// Sets the connection limit of each server of a service and the number of hosts that share it.
    void setLimit(const std::string& service, unsigned limit, size_t hosts);

    /// Sets the most urgent priority of a service, which has a reserve of connections; none without a value.
    void setUrgentPriority(const std::string& service, std::optional<unsigned> priority);

    std::unique_ptr<BackendLink> open(const ServerEntry&, const std::string& customer, BackendObserver&) override;
    std::unique_ptr<BackendLink> openWithPriority(
        const ServerEntry&, const std::string& customer, unsigned priority, BackendObserver&) override;
    bool carries(const BackendCommand& command) const override { return m_connector.carries(command); }
    std::optional<ServerStatus> statusOf(const BackendReply& reply) override { return m_connector.statusOf(reply); }

    /// Closes connections that were unused for too long or lead to draining servers, and times out openings, tests,
    /// resets and waiting borrowers. Must be called every few milliseconds.
    void tick();

    /// Returns the load of a server that this host's connections put on it, or nothing if it has had none. Connections
    /// that are being opened count as statements, since each occupies a slot.
    std::optional<ServerLoadSample> loadOf(const std::string& server) const;

    /// Returns the servers to which this host has or had connections.
    std::vector<std::string> servers() const;

    /// Returns the number of connections, lent or not.
    size_t size() const;

private:
    struct PhysicalConnection;
    struct Borrower;
    struct Link;
    struct Server {
        ConnectionAllowance allowance;
        std::list<std::unique_ptr<PhysicalConnection>> connections;
        std::deque<std::shared_ptr<Borrower>> waiting;
        Duration openingTime { 0 }; ///< Moving average; 0 until the first sample.
        Duration loanTime { 0 }; ///< Time from lending to the end of the reset; likewise a moving average.
        ServerLoadMeter load;
    };
    struct Limit {
        unsigned connections = 1;
        size_t hosts = 1;
        std::optional<unsigned> urgentPriority;
    };

    double connectionShare(const std::string& service) const;
    size_t waitingLimit(const std::string& service) const;
    size_t cap(const std::string& service) const;
    std::unique_ptr<BackendLink> openLoan(
        const ServerEntry&, const std::string& customer, std::optional<unsigned> priority, BackendObserver&);
    std::shared_ptr<Borrower> displacedBy(const Server&, const Borrower&) const;
    std::vector<std::shared_ptr<Borrower>> waitingInOrder(const Server&) const;
    bool mayUseConnection(const Server&, const std::string& service, const Borrower&) const;
    bool tryProvide(Server&, const std::shared_ptr<Borrower>&);
    static bool returnsSooner(const Server&, const Borrower&);
    void updateAverage(Duration& average, Duration sample) const;
    void openFor(Server&, const std::shared_ptr<Borrower>&);
    void lend(PhysicalConnection&, const std::shared_ptr<Borrower>&);
    void notifyOpened(const std::shared_ptr<Borrower>&);
    void fail(const std::shared_ptr<Borrower>&, BackendCloseReason);
    void checkOverdue(PhysicalConnection&);
    void release(Borrower&);
    void resetForReuse(PhysicalConnection&);
    void becomeIdle(PhysicalConnection&);
    void discard(PhysicalConnection&);
    void serveWaiting(Server&);
    void measureLoad(Server&);
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
