#pragma once

#include "database.h"
#include "database_standin_journal.h"
#include "database_standin_log.h"
#include "scheduler.h"
#include "standin_http.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <tuple>

namespace plantainwall {

/// Settings of one stand-in member. Times in milliseconds.
struct MemberOptions {
    std::string group = "g";
    std::string name = "m";
    std::string address;
    std::string dataFile; ///< Keeps log and term over a restart; empty: nothing is kept.
    std::map<std::string, std::string> peers; ///< Address (ip:port) by name.
    unsigned slots = 4;
    unsigned connectionLimit = 30;
    double connectMs = 0;
    double statementMs = 0;
    double lagMs = 0;
    double connectionIdleMs = 10000;
    double transactionIdleMs = 5000;
    bool primary = false;
};

/// Sends one answer: HTTP status and body. Called once, possibly later and from another thread; must not block.
using Reply = std::function<void(int, const value&)>;

/// Next replication call to a peer.
struct ReplicationBatch {
    uint64_t term = 0;
    LogPosition previous;
    std::vector<LogEntryPtr> entries;
};

/// One member of a database group: log, state, roles, connections, slots. Safe to call from any thread.
class Member {
public:
    Member(MemberOptions, std::shared_ptr<Scheduler>);

    const MemberOptions& options() const { return m_options; }

    // Group status and terms.
    void status(const Reply&);
    /// Answers when the status differs from the positions known to the caller, or after waitMs.
    void waitForPosition(LogPosition received, LogPosition applied, double waitMs, const Reply&);
    void fence(uint64_t term, const std::string& candidate, const Reply&);
    void promote(uint64_t term, const std::string& candidate, const Reply&);

    // Logical connections and statements.
    void openConnection(const std::string& client, const Reply&);
    void closeConnection(const std::string& connection, const Reply&);
    void execute(const std::string& connection, const value& body, const Reply&);
    void outcome(const std::string& requestId, const Reply&);

    // Replication.
    void replicate(const value& body, const Reply&);
    /// Waits until this member is primary and has entries for a peer or owes it a heartbeat. peerPosition is the last
    /// position that the peer is known to have.
    ReplicationBatch nextBatch(uint64_t peerPosition, SteadyTime lastSent);
    /// Handles a peer's refusal because of a higher term.
    void observeTerm(uint64_t term);

    // Tests.
    void admin(const value& body, const Reply&);
    void stats(const Reply&);
    void dump(const Reply&);
    /// Records request headers and whether a caller's key is in them or in the path or body.
    void recordRequest(const ServerCall&);

private:
    struct Transaction {
        std::vector<Statement> statements; ///< Writes so far, run again on the current state by the commit.
        std::map<std::string, Results> resultsByRequest;
    };

    struct Connection {
        std::string id;
        bool open = false; ///< False until connectMs have passed, and after it was closed.
        bool busy = false;
        SteadyTime lastUsed;
        std::unique_ptr<Transaction> transaction;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    struct Request {
        ConnectionPtr connection;
        std::string id;
        uint64_t term = 0;
        std::vector<Statement> statements;
        bool readOnly = false;
        TransactionStep step = TransactionStep::None;
        bool started = false;
        Reply reply;

        bool hasWrites() const;
        bool needsPrimary() const;
    };
    using RequestPtr = std::shared_ptr<Request>;

    /// Role, term, leaving, received and applied positions.
    using Snapshot = std::tuple<MemberRole, uint64_t, bool, uint64_t, uint64_t, uint64_t, uint64_t>;

    struct Waiter {
        Snapshot known;
        Reply reply;
    };

    // All private functions are called with m_mutex held.
    value statusObject() const;
    Snapshot snapshot(LogPosition received, LogPosition applied) const;
    Snapshot currentSnapshot() const;
    void stateChanged();
    void restore();
    void saveTerm();
    void adoptTerm(uint64_t term, MemberRole);
    void appendEntry(std::string requestId, std::vector<Write>, Results);
    void rollBackTransactions();
    void applyDue();
    void truncateLog(uint64_t position);
    bool matchPrevious(LogPosition previous);
    bool appendReplicated(const value& entries);

    RequestPtr parseRequest(const ConnectionPtr&, const value& body, const Reply&) const;
    std::string refusalOf(const Request&) const;
    bool replyRecorded(const Request&);
    void queueRequest(const RequestPtr&, double timeLeftMs);
    void startQueued();
    void startRequest(const RequestPtr&);
    void finishRequest(const RequestPtr&);
    void runRequest(const Request&);
    void runInTransaction(const Request&);
    void runCommit(const Request&);
    void commitWrites(const Request&, const std::vector<Statement>&, size_t firstResult);
    void countStatements(const Request&, size_t count);
    void countExecuted(const std::string& requestId);
    void replyRefused(const Request&, const std::string& error, const std::string& message);
    void closeNow(const ConnectionPtr&);
    void closeIdle();

    const MemberOptions m_options;
    const std::shared_ptr<Scheduler> m_scheduler;
    mutable std::mutex m_mutex;
    std::condition_variable m_replicationWork;

    MemberRole m_role = MemberRole::Replica;
    uint64_t m_term = 0;
    std::string m_candidate; ///< Candidate to which m_term was granted; empty if learned from elsewhere.
    std::string m_termPrimary; ///< Primary of m_term as far as known.
    SteadyTime m_primaryHeard;
    MemberLog m_log;
    MemberJournal m_journal;
    KeyValues m_values;
    uint64_t m_applied = 0;
    bool m_applyScheduled = false;
    std::map<uint64_t, Waiter> m_waiters;
    uint64_t m_nextWaiter = 0;

    std::map<std::string, ConnectionPtr> m_connections;
    uint64_t m_nextConnection;
    std::deque<RequestPtr> m_queue;
    unsigned m_slotsUsed = 0;

    bool m_leaving = false;
    bool m_refuseWork = false;
    bool m_replicationPaused = false;
    double m_lagMs;
    double m_statementMs;
    SteadyTime m_leavingSince;

    struct {
        std::unordered_map<std::string, uint64_t> executedWrites;
        std::deque<std::string> executedOrder;
        std::map<std::string, std::set<std::string>> headers;
        uint64_t keysSeen = 0;
        uint64_t connectionsPeak = 0;
        uint64_t connectionsRefused = 0;
        uint64_t slotsPeak = 0;
        uint64_t statementsRun = 0;
        uint64_t statementsAfterLeaving = 0;
        double lastStatementAfterLeavingMs = 0;
        uint64_t entriesTruncated = 0;
        uint64_t termConflicts = 0;
    } m_stats;
};

/// Starts one replication thread for each peer. The threads run until the process ends.
void startReplication(Member&);

/// Reads an entry from its JSON form and writes it.
std::shared_ptr<LogEntry> entryFromJson(const value&);
value entryToJson(const LogEntry&);

/// Converts results to and from a JSON array.
value resultsToJson(const Results&);

} // namespace plantainwall
