#pragma once

#include "acknowledged_commits.h"
#include "evacuations.h"
#include "fleet_contact.h"
#include "gateway_connection.h"
#include "gateway_settings.h"
#include "home_regions.h"
#include "log_event.h"
#include "metrics.h"
#include "position_exchange.h"
#include "primary_positions.h"
#include "primary_revocation.h"
#include "quota_exchange.h"
#include "server_directory.h"
#include "server_load.h"
#include "work_queue.h"
#include <random>
#include <unordered_map>

namespace plantainwall {

/// Serves callers' sessions from the backend servers: keys, quotas, transactions, read positions, server choice,
/// retries and shutdown. Not thread-safe; all functions must be called from the same event loop.
class Gateway final : public PositionHolder {
public:
    using Clock = std::function<Instant()>;

    /// @param clock must include the time during which the machine was suspended.
    Gateway(const GatewaySettings&, BackendConnector&, QuotaGate&, Clock, Metrics&, uint64_t seed);
    ~Gateway() override;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Callers' sessions.

    /// Opens a session. Returns Ok and sets @p number, or returns the reason for the refusal.
    ResultCode openSession(CallerSink&, const std::string& database, const std::string& key, uint64_t& number);

    /// Announces a statement that has been read and will be passed to execute() or refuseMessage(). Until then the
    /// session is not closed by a shutdown.
    void expectStatement(uint64_t session);

    /// Runs a statement. The answer goes to the sink, possibly before this function returns. A session runs one
    /// statement at a time; a further one is ignored.
    void execute(uint64_t session, Statement);

    /// Closes a session whose caller has disconnected. The sink is not used afterwards.
    void closeSession(uint64_t session);

    /// Answers a message that is not a valid statement with an error.
    void refuseMessage(
        uint64_t session, const Statement&, ResultCode, const std::string& detail, Duration retryAfter = Duration(0));

    /// Returns the customer to whom a session's key belongs; empty if there is none.
    std::string_view customerOfSession(uint64_t session) const;

    // Configuration and fleet.

    /// Applies a configuration unless the current one is as new or newer.
    void setConfiguration(std::shared_ptr<const GatewayConfiguration>);
    const std::shared_ptr<const GatewayConfiguration>& configuration() const { return m_configuration; }

    /// Updates servers and connections after the directory has changed.
    void serversChanged();
    ServerDirectory& directory() { return m_directory; }

    /// Returns the most urgent priority of a service; nothing if urgency makes no difference there.
    std::optional<unsigned> urgentPriority(const std::string& service) const;

    /// Leases on the word of primaries. serversChanged() must be called after entries have changed.
    PrimaryLeases& primaryLeases() { return m_primaryLeases; }
    PrimaryRevocations& revocations() { return m_revocations; }

    Instant startedAt() const { return m_started; }

    /// Whether this host would know if a primary were being replaced. While not, it sends no writes and acknowledges no
    /// commits.
    FleetContact& fleetContact() { return m_fleetContact; }

    /// Returns what this host knows of the commits of a service.
    AcknowledgedCommits acknowledgedCommits(const std::string& service) const;

    /// Records that a caller is told of a commit. Parameters as in AcknowledgedCommits::note.
    void commitAcknowledged(const std::string& service, const LogPosition& before, const LogPosition& end);

    /// Sets the number of registered entry hosts, this one included.
    void setHosts(size_t hosts);

    /// Sets the names of the registered entry hosts but this one, and of those that may still run.
    void setOtherHosts(std::vector<std::string>);

    /// Evacuated data centres. evacuationsChanged() must be called after changes.
    Evacuations& evacuations() { return m_evacuations; }
    void evacuationsChanged();

    /// Returns whether a server is in an evacuated data centre.
    bool isEvacuated(const std::string& server) const;

    /// Sets whether hosts lend each other connections to servers.
    void setSharedConnections(bool shared) { m_sharedConnections = shared; }

    // Primary positions, shared with other hosts.

    /// Sets whether other hosts send primary positions. If so, this host polls a primary only when these get old.
    void setPositionsFromPeers(bool fromPeers) { m_positionsFromPeers = fromPeers; }
    std::vector<std::string> servicesToRefresh() const override;
    std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) override;
    void positionReceived(const std::string& service, const PrimaryPositions::Observation&) override;

    // Load of backend servers, shared with other hosts (gateway_load.cpp).

    /// Returns the load that this host puts on servers, encoded; empty if there is none. See encodeServerLoads().
    std::string loadReport() const;

    /// Takes the result of another host's loadReport(). A malformed one, or one with values that cannot be, is counted
    /// and ignored.
    void loadReported(const std::string& host, std::string_view report);

    /// Takes what a lender of connections, which may be this host, knows of the load of a server.
    void lenderReported(const std::string& server, const std::string& host, ServerLoadSample);

    /// Drops what a host has reported.
    void forgetReports(const std::string& host) { m_loads.forgetSource(host); }

    const ServerLoads& loads() const { return m_loads; }

    // Life cycle.

    /// Handles time-outs, retries and queued statements. Must be called every few milliseconds.
    void tick();

    /// Returns whether callers can be served.
    bool ready() const;

    /// Starts the graceful shutdown.
    void drain();

    /// Returns whether all sessions and statements have ended after drain().
    bool drained() const;

    bool draining() const { return m_drainStarted.has_value(); }

    /// Returns whether new connections of callers are still accepted.
    bool accepting() const;

    size_t sessions() const { return m_sessions.size(); }

    /// Sets the gauges of sessions, connections, queued and running statements.
    void collect(Metrics&) const;

private:
    friend struct GatewayConnection;

    /// Retry advice for refusals whose waiting time cannot be estimated.
    static constexpr Duration defaultRetryAfter = std::chrono::milliseconds(500);

    struct Session {
        uint64_t number = 0;
        CallerSink* sink = nullptr; ///< Null once the caller has disconnected.
        std::string database;
        std::string key;
        std::map<std::string, std::string> values;
        std::unordered_map<std::string, PreparedShape> prepared;
        size_t stateBytes = 0; ///< What values and prepared hold.
        TransactionState state = TransactionState::Idle;
        LogPosition ownPosition; ///< Position of the session's last commit.
        uint64_t job = 0; ///< Statement that is queued or running; 0: none.
        uint64_t quotaRequest = 0; ///< Unanswered request to the quota; 0: none.
        bool statementExpected = false; ///< See expectStatement().
        // The open transaction.
        bool readOnly = false;
        bool wrote = false;
        Instant began;
        Instant lastStatement;
        GatewayRoute route;
        std::string customer;
        GatewayConnection* pinned = nullptr; ///< Connection on which the transaction is open.
    };

    /// A statement from its admission to its answer.
    struct Job {
        uint64_t number = 0;
        uint64_t session = 0;
        Statement statement;
        GatewayRoute route;
        std::string customer;
        bool opensTransaction = false;
        bool inTransaction = false;
        bool writes = false;
        bool needsPrimary = false; ///< The route or the statement requires the primary.
        bool onPrimary = false; ///< The current attempt must run on the primary; a transaction around a read proves it.
        std::optional<LogPosition> after; ///< Position that a replica must have applied for the read.
        Instant arrived;
        Instant freshnessTime; ///< Reads must see all commits acknowledged before this time less the allowed staleness.
        Instant timeoutAt;
        Instant sentAt;
        LogPosition primaryBefore; ///< Newest position that a primary had reported when it was sent; zero if none.
        Instant resendAt; ///< When to resend a statement for which a pinned connection found no slot; zero: none.
        std::set<std::string> tried;
        unsigned attempts = 0;
        unsigned running = 0; ///< Connections on which it runs.
        bool queued = false;
        bool sentToServer = false; ///< Sent to a server at least once.
        bool mayHaveRun = false; ///< A read was sent, but its answer was lost or unusable.
        bool beginInDoubt = false; ///< A BEGIN for it could not be proved.
        bool overloaded = false; ///< Held back because the best server is expected to answer too late.
        GatewayServer* turnedAwayBy = nullptr; ///< Set by the last attempt if all its servers turn its priority away.
    };

    // Sessions (gateway_session.cpp).
    const GatewayRoute* routeOf(const Session&) const;
    /// Returns the customer of the session's key, or null if the key is not valid. Owned by the configuration.
    const std::string* customerOf(const Session&) const;
    ResultCode authorize(const Session&, const GatewayRoute&, std::string& customer) const;
    void answer(Session&, const Statement&, StatementAnswer);
    void refuse(Session&, const Statement&, ResultCode, const std::string& detail, Duration retryAfter = Duration(0));
    /// Refuses a statement that exceeds the budget of memory. An open transaction is rolled back and fails.
    void refuseForMemory(Session&, const Statement&, const std::string& detail, Duration retryAfter);
    bool executeLocally(Session&, const Statement&);
    /// Returns the command for a statement that a server runs.
    /// @param preparedName Name on the connection, for an EXECUTE.
    static BackendCommand commandOf(const Statement&, std::string preparedName);
    /// Counts the change of a value or prepared name. Returns false and refuses the statement if it exceeds a limit.
    bool resizeState(Session&, const Statement&, size_t removed, size_t added);
    void quotaAnswered(uint64_t session, uint64_t quotaRequest, Statement, QuotaBuckets::Verdict);
    void startStatement(Session&, Statement);
    void beginTransaction(Session&, const Statement&);
    void endTransaction(Session&, const Statement&);
    void runInTransaction(Session&, Statement);
    void runOutsideTransaction(Session&, Statement);
    void failTransaction(Session&, const Job&, ResultCode, const std::string& detail);
    void releasePinned(Session&);
    Job& addJob(Session&, Statement, const GatewayRoute&, const std::string& customer);
    void countAnswer(const Job&, ResultCode);
    void finish(Job&, StatementAnswer);
    void eraseJob(uint64_t job);
    bool statementWrites(const Session&, const Statement&) const;

    // Server choice and queues (gateway_dispatch.cpp).
    void dispatch(Job&);
    bool tryDispatch(Job&);
    void enqueue(Job&);
    double capacityPerSecond(const Job&) const;
    void refuseJob(Job&, ResultCode, const std::string& detail, Duration retryAfter = Duration(0));
    void determineRequirement(Job&);
    std::vector<GatewayServer*> candidates(Job&);

    // Servers that a statement may use (gateway_eligibility.cpp).
    bool isEvacuated(const GatewayServer& server) const { return m_evacuations.contains(server.dataCentre); }
    /// Notes whether the configuration names regions for any route or customer.
    void noteRegions();
    HomeRegions homesOf(const Job&) const;
    /// Returns whether a server may serve the job, apart from the limit of warming servers.
    bool mayServe(const Job&, const GatewayServer&) const;
    /// Returns whether the job may be sent to a server now.
    bool mayUse(const Job&, GatewayServer&);
    /// Returns the statements per second to a server while it warms up; 0 if it is not limited.
    double warmupPerSecond(const GatewayServer&) const;
    bool admitsWarming(GatewayServer&);
    void noteLocation(GatewayServer&, const ServerEntry&) const;
    void noteWarmup(GatewayServer&, const ServerEntry&);
    void noteSent(GatewayServer&);
    /// Refuses a job that writes while this host may not know that the primary is being replaced. Returns false
    /// otherwise.
    bool refuseOutOfContact(Job&);
    /// Refuses a job that no server may run. Returns false if there may be one.
    bool refuseUnplaceable(Job&);
    /// The same for every job that waits, after what decides where jobs may run has changed.
    void refuseQueuedUnplaceable();
    /// Stops a statement of an open transaction that its server may not run, or not yet. Returns whether it did.
    bool heldBack(GatewayConnection&, Job&, Session&);
    /// Returns the id of the server to use as primary, whether or not a lease on its word is held; empty if none.
    std::string primaryOf(const std::string& service) const;
    /// Returns the server to which a job that needs the primary goes; empty if there is none.
    std::string primaryFor(const Job&) const;
    /// Returns whether a job is a write or opens a transaction that may write.
    bool jobWrites(const Job&) const;
    /// Returns whether a server is a primary that is being replaced.
    bool isRevoked(const std::string& service, const std::string& server) const;
    /// Returns whether a server is known to lead long enough that its word suffices for the job.
    bool leadsFor(const Job&, const std::string& server) const;
    /// Returns whether no server can serve the job as primary now.
    bool lacksPrimary(const Job&) const;
    bool usableAsPrimary(const GatewayServer&) const;
    ServerCandidate candidateOf(GatewayServer&, const Job&);
    std::optional<size_t> choose(const std::vector<ServerCandidate>&);
    GatewayConnection* takeConnection(GatewayServer&, const Job&);
    /// Opens a connection for an operation of the given priority, or for none.
    GatewayConnection* openConnection(
        GatewayServer&, const std::string& customer, std::optional<unsigned> priority = std::nullopt);
    bool connectionsFull(const GatewayServer&) const;
    void setAllowance(GatewayServer&) const;
    void dispatchQueued();
    void requeue(Job&, GatewayConnection&, const std::string& cause);
    void noteLagging(GatewayServer&) const;
    Duration waitLimit(const Job&) const;

    // Admission by urgency (gateway_urgency.cpp).
    /// Returns the needs of the callers of a service; null if urgency makes no difference there.
    const UrgencyNeeds* needsOf(const std::string& service) const;
    void updateNeeds();
    void updateAdmission();
    ServerPressure pressureAt(const GatewayServer&) const;
    bool turnsAway(const GatewayServer&, const Job&) const;
    /// Removes the servers that turn the job away. If all do, notes one of them in the job.
    void removeTurningAway(Job&, std::vector<GatewayServer*>&) const;
    /// Returns whether a job may be held back because its server is slow.
    bool mayHoldBack(const GatewayServer&, const Job&) const;
    /// Returns whether the reserve of connections leaves one to the job.
    bool mayUseConnection(const GatewayServer&, const Job&) const;
    void refuseTurnedAway(Job&);
    void refuseTurnedAway(Session&, const Statement&, const Job&);
    /// Refuses the start of a transaction if all servers that could run it turn it away. Returns whether it did.
    bool refuseBegin(Session&, const Statement&);

    // Connections (gateway_backend.cpp).
    void connectionOpened(GatewayConnection&);
    void connectionReplied(GatewayConnection&, BackendReply);
    /// Returns whether a reply that may be a copy cannot be used, and notes it in the job.
    bool rejectInDoubt(GatewayConnection&, CommandRole, const BackendReply&);
    bool sendProofs(GatewayConnection&, unsigned n);
    /// Returns false if the transaction cannot be proved on the connection.
    bool requestProofs(GatewayConnection&, unsigned needed);
    void proofReplied(GatewayConnection&, const BackendReply&);
    void transactionOpened(GatewayConnection&, Job&);
    void connectionClosed(GatewayConnection&, BackendCloseReason);
    void run(GatewayConnection&, Job&);
    void sendSetup(GatewayConnection&, const Session&, const Job&);
    void sendStatement(GatewayConnection&, Job&);
    void send(GatewayConnection&, CommandRole, const BackendCommand&);
    void statementReplied(GatewayConnection&, Job&, BackendReply&, Instant sentAt);
    void statementFailed(GatewayConnection&, Job&, BackendReply&);
    void beginReplied(GatewayConnection&, BackendReply&, const GatewayConnection::SentCommand&);
    void detach(GatewayConnection&);
    void connectionIdle(GatewayConnection&);
    void dropConnection(GatewayConnection&);
    void jobConnectionLost(GatewayConnection&, Job&, BackendCloseReason);
    void notePrimary(const GatewayServer&, const LogPosition&, Instant requestedAt);

    // Load of servers (gateway_load.cpp).
    void measureLoads();
    void noteOwnChoice(GatewayConnection&);
    void endOwnChoice(GatewayConnection&);
    void reportLoads();
    double connectionLimit(const std::string& server) const;

    /// Refuses waiting writes once contact with the fleet has been lost.
    void checkContact();
    void checkTimeouts();
    void noteOverdueReplies(uint64_t job);
    void checkSessions();
    void checkConnections();
    bool positionNeeded(const std::string& service) const;
    void refreshPosition(const std::string& service, GatewayConnection* idle);
    GatewayServer& serverState(const ServerEntry&);
    Session* findSession(uint64_t);
    const Session* findSession(uint64_t) const;
    Job* findJob(uint64_t);

    GatewaySettings m_settings;
    BackendConnector& m_connector;
    Clock m_clock;
    Metrics& m_metrics;
    std::mt19937_64 m_random;
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    ServerDirectory m_directory;
    PrimaryLeases m_primaryLeases;
    PrimaryRevocations m_revocations;
    FleetContact m_fleetContact;
    bool m_contactLost = false; ///< At the last tick.
    QuotaGate& m_quota;
    size_t m_hosts = 1;
    std::vector<std::string> m_otherHosts;
    uint64_t m_warmupFleet = 1; ///< Rises with each change of m_otherHosts or the configuration.
    Evacuations m_evacuations;
    bool m_regionsRestricted = false; ///< See noteRegions().
    bool m_sharedConnections = false;
    std::map<std::string, PrimaryPositions> m_primaryPositions; ///< By service.
    std::map<std::string, AcknowledgedCommits> m_acknowledged; ///< By service; without observed.
    std::map<std::string, Instant> m_positionNeededAt; ///< By service; last need of a primary position.
    std::map<std::string, Instant> m_positionPolledAt; ///< By service; when its position was last polled.
    bool m_positionsFromPeers = false;
    std::map<std::string, GatewayServer> m_servers;
    std::map<std::string, UrgencyNeeds> m_needs; ///< By service; only services whose routes differ in priority.
    std::map<std::string, WorkQueue> m_queues; ///< By service.
    std::unordered_map<uint64_t, Session> m_sessions;
    std::unordered_map<uint64_t, Job> m_jobs;
    std::vector<std::unique_ptr<GatewayConnection>> m_discarded; ///< Destroyed by the next tick.
    uint64_t m_nextNumber = 1;
    bool m_dispatchingQueued = false;
    ServerLoads m_loads;
    Instant m_loadsLoggedAt;
    Instant m_started;
    std::optional<Instant> m_drainStarted;
};

} // namespace plantainwall
