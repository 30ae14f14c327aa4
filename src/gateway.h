#pragma once

#include "gateway_connection.h"
#include "gateway_settings.h"
#include "log_event.h"
#include "metrics.h"
#include "position_exchange.h"
#include "primary_positions.h"
#include "quota_exchange.h"
#include "server_directory.h"
#include "work_queue.h"
#include <random>
#include <unordered_map>

namespace plantainwall {

/// Serves callers' sessions from the backend servers: keys, quotas, transactions, read positions, placement, retries
/// and shutdown. Single-threaded; every function is called from one event loop.
class Gateway final : public PositionHolder {
public:
    using Clock = std::function<Instant()>;

    /// clock must count the time in which the machine was suspended.
    Gateway(const GatewaySettings&, BackendConnector&, QuotaGate&, Clock, Metrics&, uint64_t seed);
    ~Gateway() override;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Callers.

    /// Opens a session. Returns Ok and sets number, or says why not.
    ResultCode openSession(CallerSink&, const std::string& database, const std::string& key, uint64_t& number);

    /// Runs a statement. The answer comes through the sink, possibly before the return. A session has one at a time.
    void execute(uint64_t session, Statement);

    /// The caller is gone; the sink is not used any more.
    void closeSession(uint64_t session);

    /// Answers a message that is no valid statement.
    void refuseMessage(uint64_t session, const Statement&, ResultCode, const std::string& detail);

    // Fleet.

    /// Takes over a configuration unless it is older than the present one.
    void setConfiguration(std::shared_ptr<const GatewayConfiguration>);
    const std::shared_ptr<const GatewayConfiguration>& configuration() const { return m_configuration; }

    /// Adapts connections to the directory after it has changed.
    void serversChanged();
    ServerDirectory& directory() { return m_directory; }

    /// Sets the number of registered entry hosts, this one included.
    void setHosts(size_t hosts);

    /// Sets whether other hosts lend connections to servers.
    void setSharedConnections(bool shared) { m_sharedConnections = shared; }

    // Evidence of primaries, shared with other hosts.

    /// Sets whether other hosts tell evidence; this one then asks primaries only when theirs gets old.
    void setPositionsFromPeers(bool told) { m_positionsFromPeers = told; }
    std::vector<std::string> servicesToRefresh() const override;
    std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) override;
    void positionReceived(const std::string& service, const PrimaryPositions::Observation&) override;

    // Life.

    /// Handles what is due; to be called every few milliseconds.
    void tick();

    /// Returns whether callers can be served.
    bool ready() const;

    /// Starts the graceful shutdown.
    void drain();

    /// Returns whether nothing is left to do after drain().
    bool drained() const;

    bool draining() const { return m_drainStarted.has_value(); }

    /// Returns whether new connections of callers are still taken.
    bool accepting() const;

    size_t sessions() const { return m_sessions.size(); }

    /// Sets the gauges of sessions, connections and waiting work.
    void collect(Metrics&) const;

private:
    friend struct GatewayConnection;

    /// Retry advice when the queue cannot tell how long the wait would be.
    static constexpr Duration defaultRetryAfter = std::chrono::milliseconds(500);

    struct Session {
        uint64_t number = 0;
        CallerSink* sink = nullptr; ///< Null once the caller is gone.
        std::string database;
        std::string key;
        std::map<std::string, std::string> values;
        std::unordered_map<std::string, PreparedShape> prepared;
        TransactionState state = TransactionState::Idle;
        LogPosition ownPosition; ///< Of the session's last commit.
        uint64_t job = 0;
        uint64_t quotaRequest = 0; ///< Question to the quota that is open; 0: none.
        // The open transaction.
        bool readOnly = false;
        bool wrote = false;
        Instant began;
        Instant lastStatement;
        GatewayRoute route;
        std::string customer;
        GatewayConnection* pinned = nullptr;
    };

    struct Job {
        uint64_t number = 0;
        uint64_t session = 0;
        Statement statement;
        GatewayRoute route;
        std::string customer;
        bool opensTransaction = false;
        bool inTransaction = false;
        bool writes = false;
        bool needsPrimary = false; ///< By the route, the statement, or for lack of evidence.
        bool onPrimary = false; ///< Current attempt: leadership is proved by a transaction around a read.
        std::optional<LogPosition> after;
        Instant arrived;
        Instant freshAt; ///< Reads must see what was acknowledged before this, less the allowed staleness.
        Instant timeoutAt;
        Instant sentAt;
        Instant resendAt; ///< A pinned statement that found no slot is sent again then; zero: none pending.
        std::set<std::string> tried;
        unsigned attempts = 0;
        unsigned running = 0; ///< Connections that work on it.
        bool queued = false;
        bool offered = false; ///< Sent to a server at least once.
        bool mayHaveRun = false; ///< A read was sent, and its answer is lost or of no use.
        bool overloaded = false; ///< Every server that could run it answers too slowly.
    };

    // Sessions (gateway_session.cpp).
    const GatewayRoute* routeOf(const Session&) const;
    /// Returns the customer of the session's key, null if the key is not valid. Belongs to the configuration.
    const std::string* customerOf(const Session&) const;
    ResultCode authorize(const Session&, const GatewayRoute&, std::string& customer) const;
    void answer(Session&, const Statement&, StatementAnswer);
    void refuse(Session&, const Statement&, ResultCode, const std::string& detail, Duration retryAfter = Duration(0));
    bool executeLocally(Session&, const Statement&);
    void quotaAnswered(uint64_t session, uint64_t quotaRequest, Statement, QuotaBuckets::Verdict);
    void startStatement(Session&, Statement);
    void beginTransaction(Session&, const Statement&);
    void endTransaction(Session&, const Statement&);
    void runInTransaction(Session&, Statement);
    void runSingle(Session&, Statement);
    void failTransaction(Session&, const Job&, ResultCode, const std::string& detail);
    void releasePinned(Session&);
    Job& addJob(Session&, Statement, const GatewayRoute&, const std::string& customer);
    void countAnswer(const Job&, ResultCode);
    void finish(Job&, StatementAnswer);
    void eraseJob(uint64_t job);
    bool statementWrites(const Session&, const Statement&) const;

    // Placement (gateway_dispatch.cpp).
    void dispatch(Job&);
    bool tryDispatch(Job&);
    void enqueue(Job&);
    double workPerSecond(const Job&) const;
    void refuseJob(Job&, ResultCode, const std::string& detail, Duration retryAfter = Duration(0));
    void findRequirement(Job&);
    std::vector<GatewayServer*> candidates(Job&);
    bool usableAsPrimary(const GatewayServer&) const;
    ServerCandidate candidateOf(GatewayServer&, const Job&);
    GatewayConnection* takeConnection(GatewayServer&, const Job&);
    GatewayConnection* openConnection(GatewayServer&, const std::string& customer);
    bool connectionsFull(const GatewayServer&) const;
    void setAllowance(GatewayServer&) const;
    void pump();
    void requeue(Job&, GatewayConnection&, const std::string& why);
    void noteLagging(GatewayServer&) const;
    Duration waitLimit(const Job&) const;

    // Connections (gateway_backend.cpp).
    void connectionOpened(GatewayConnection&);
    void connectionReplied(GatewayConnection&, BackendReply);
    void connectionClosed(GatewayConnection&, BackendCloseReason);
    void run(GatewayConnection&, Job&);
    void sendSetup(GatewayConnection&, const Session&, const Job&);
    void sendMain(GatewayConnection&, Job&);
    void send(GatewayConnection&, CommandRole, const BackendCommand&);
    void mainReplied(GatewayConnection&, Job&, BackendReply&, Instant sentAt);
    void mainFailed(GatewayConnection&, Job&, BackendReply&);
    void beginReplied(GatewayConnection&, BackendReply&, const GatewayConnection::Expected&);
    void detach(GatewayConnection&);
    void connectionIdle(GatewayConnection&);
    void dropConnection(GatewayConnection&);
    void lostJob(GatewayConnection&, Job&, BackendCloseReason);
    void notePrimary(const GatewayServer&, const LogPosition&, Instant requestedAt);

    void checkTimeouts();
    void noteOverdue(uint64_t job);
    void checkSessions();
    void checkConnections();
    bool positionNeeded(const std::string& service) const;
    void refreshPosition(const std::string& service, GatewayConnection* idle);
    GatewayServer& serverState(const ServerEntry&);
    Session* findSession(uint64_t);
    Job* findJob(uint64_t);

    GatewaySettings m_settings;
    BackendConnector& m_connector;
    Clock m_clock;
    Metrics& m_metrics;
    std::mt19937_64 m_random;
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    ServerDirectory m_directory;
    QuotaGate& m_quota;
    size_t m_hosts = 1;
    bool m_sharedConnections = false;
    std::map<std::string, PrimaryPositions> m_primaryPositions; ///< By service.
    std::map<std::string, Instant> m_readAt; ///< Last read of each service that needs evidence.
    bool m_positionsFromPeers = false;
    std::map<std::string, GatewayServer> m_servers;
    std::map<std::string, WorkQueue> m_queues; ///< By service.
    std::unordered_map<uint64_t, Session> m_sessions;
    std::unordered_map<uint64_t, Job> m_jobs;
    std::vector<std::unique_ptr<GatewayConnection>> m_discarded; ///< Destroyed by the next tick.
    uint64_t m_nextNumber = 1;
    bool m_pumping = false;
    Instant m_started;
    std::optional<Instant> m_drainStarted;
};

} // namespace plantainwall
