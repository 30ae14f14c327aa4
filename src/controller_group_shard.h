#pragma once

#include "ack_tracker.h"
#include "connection_ledger.h"
#include "controller_group.h"
#include "fair_queue.h"
#include "promotion.h"
#include <set>

namespace plantainwall {

/// The members of a group that this host owns, and the other hosts that own members of the group.
struct GroupOwnership {
    std::map<std::string, std::string> ownerByMember;
    std::set<std::string> owned;
    std::vector<std::string> otherOwners;
    unsigned rank = 0; ///< Rank of this host among the group's owners; rank 0 is the first promotion candidate.
    std::set<std::string> leaving; ///< Members that the platform's list marks as leaving.
};

/// State of one group at one entry host, guarded by one mutex. Calls to databases and answers to requests are collected
/// while the mutex is held and run after it is released.
class GroupShard : public std::enable_shared_from_this<GroupShard> {
public:
    GroupShard(const Settings&, const GroupConfig&, const GroupEnvironment&, uint64_t seed);

    void start();
    void stop();
    void setOwnership(GroupOwnership);
    const GroupConfig& config() const { return m_config; }

    pplx::task<MemberAnswer> execute(MemberRequest);
    pplx::task<MemberAnswer> outcome(std::string_view requestId, Duration timeLeft);
    void cancelQueued(std::string_view customer, std::string_view keyId);
    void notePeerContact(std::string_view host, Duration age);
    Duration primaryContactAge() const;
    ReadChoice chooseMember(const ReadRequirement&) const;
    GroupReport report() const;
    GroupCounters counters() const;
    size_t inProgress() const;
    bool ownsMembers() const;

private:
    enum class Stage : uint8_t { CatchingUp, Queued, Connecting, Running, Confirming, ResolvingOutcome, Count };

    /// A request between its arrival and its answer.
    struct PendingRequest {
        uint64_t id = 0;
        MemberRequest request;
        pplx::task_completion_event<MemberAnswer> answerEvent;
        bool lookupOnly = false; ///< Only looks up the outcome of another request; executes nothing.
        Stage stage = Stage::Queued;
        Instant arrived {};
        Instant deadline {};
        Instant catchUpUntil {};
        std::optional<FairQueue::Ticket> ticket;
        bool holdsSlot = false; ///< The request has left the queue and occupies one of its slots.
        Instant sentAt {};
        std::string connection;
        uint64_t term = 0; ///< Term of the last attempt; 0 if it was a read sent to a replica.
        unsigned attempts = 0;
        bool inDoubt = false; ///< An attempt may have run, so "not run" may be answered only with proof.
        bool closeConfirmed = false; ///< The database confirmed that the connection of that attempt is closed.
        bool lookUpSentAfterClose = false; ///< closeConfirmed was set when the last lookup was sent.
        bool lookingUp = false;
        Instant nextLookUpAt {};
        std::vector<std::optional<std::string>> results;
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    struct Member {
        MemberConfig config;
        std::shared_ptr<Database> database;
        std::string owner;
        bool owned = false;
        bool reachable = false;
        std::optional<MemberStatus> status;
        std::unique_ptr<FairQueue> queue;
        ConnectionLedger ledger;
        std::map<FairQueue::Ticket, uint64_t> queuedRequests;
    };

    struct Transaction {
        std::string member;
        std::string customer;
        std::string keyId; ///< Key that began the transaction.
        std::string connection;
        uint64_t connectionHolder = 0; ///< Id of the request that the ledger granted the connection to.
        uint64_t term = 0; ///< Term in which the transaction began. A write transaction cannot outlive it.
        bool readOnly = false;
        bool busy = false;
        bool withdrawn = false; ///< The key was withdrawn: roll back once the running statement has ended.
        Instant begunAt {};
        Instant lastUsed {};
    };

    /// Locks the shard. The destructor releases the lock and then runs the deferred calls.
    class DeferringLock {
    public:
        explicit DeferringLock(GroupShard&);
        ~DeferringLock();
        DeferringLock(const DeferringLock&) = delete;
        DeferringLock& operator=(const DeferringLock&) = delete;

    private:
        GroupShard& m_shard;
        std::unique_lock<std::mutex> m_lock;
    };

    // Polling of members and promotion (controller_group_shard.cpp).
    Instant now() const { return m_environment.now(); }
    void tick();
    void scheduleTick();
    void pollStatus(const std::string& member);
    void schedulePoll(const std::string& member, bool answered);
    void probe(const std::string& member);
    void probeAll();
    void onStatus(const std::string& member, MemberStatus, Instant sentAt);
    void onUnreachable(const std::string& member);
    void finishUnsentReads(const std::string& member);
    void apply(const std::vector<PromotionAction>&);
    void fence(const FenceMember&);
    void promote(const PromoteMember&);
    void primaryChanged(const PrimaryKnown&);
    bool primaryUsable() const;

    // Requests (controller_group_execute.cpp).
    void admit(const PendingRequestPtr&);
    void admitRead(const PendingRequestPtr&, Member&);
    void admitWrite(const PendingRequestPtr&);
    void admitTransactionStep(const PendingRequestPtr&);
    ReadRequirement requirementOf(const PendingRequest&) const;
    bool canServe(const PendingRequest&) const;
    void enqueueCaughtUpReads(const std::string& member);
    void enqueue(const PendingRequestPtr&);
    void startQueued(Member&);
    void start(const PendingRequestPtr&, Member&);
    void send(const PendingRequestPtr&);
    std::optional<ResultCode> refusalBeforeSending(const PendingRequest&);
    void apply(Member&, const ConnectionLedger::Actions&);
    void openConnection(const Member&);
    void closeConnection(const Member&, const std::string& connection);
    void onExecuted(uint64_t id, unsigned attempt, const ExecuteOutcome&);
    void onSucceeded(const PendingRequestPtr&, const ExecuteOutcome&);
    void onRefused(const PendingRequestPtr&, const ExecuteOutcome&);
    void onNotSent(const PendingRequestPtr&, const ExecuteOutcome&);
    void onInDoubt(const PendingRequestPtr&, const std::string& message);
    void onPrimaryReplaced(const std::string& primary, uint64_t term);
    void retryOrFinish(const PendingRequestPtr&, ResultCode, const std::string& message);
    void beginTransaction(const PendingRequestPtr&, const ExecuteOutcome&);
    void abortTransaction(const std::string& id);
    void endTransaction(const PendingRequest&, bool reusable);
    void expireOverdue(Instant);

    // Acknowledgement and outcomes (controller_group_settle.cpp).
    void confirm(const PendingRequestPtr&, std::string_view primary, uint64_t term, const ExecuteOutcome&);
    void apply(const AckTracker::Actions&);
    void resolveOutcome(const PendingRequestPtr&);
    void lookUp(const PendingRequestPtr&);
    void onOutcomeAnswer(
        uint64_t id, const std::string& primary, uint64_t term, const ExecuteOutcome&, const MemberStatus&);
    void onNotFound(const PendingRequestPtr&, const std::string& primary, uint64_t term);
    void closeConnectionOfCommit(const PendingRequestPtr&);
    LogPosition readPosition(const PendingRequest&, const LogPosition& applied) const;
    void finish(const PendingRequestPtr&, ResultCode, const std::string& message = {});
    void finish(const PendingRequestPtr&, MemberAnswer);
    void releaseSlot(PendingRequest&);
    void releaseConnection(PendingRequest&, bool reusable);
    PendingRequestPtr findRequest(uint64_t id) const;
    Member* findMember(std::string_view name);

    const Settings m_settings;
    const GroupConfig m_config;
    const GroupEnvironment m_environment;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    Promotion m_promotion;
    AckTracker m_tracker;
    ReadRouter m_router;
    GroupOwnership m_ownership;
    std::map<std::string, Member, std::less<>> m_members;
    std::map<uint64_t, PendingRequestPtr> m_pendingRequests;
    std::map<std::string, Transaction, std::less<>> m_transactions;
    std::vector<std::function<void()>> m_deferredCalls;
    GroupCounters m_counters;
    uint64_t m_lastRequestId = 0;
    /// When a write or read last started to wait for a member to receive or apply entries.
    Instant m_lastProgressNeeded {};
    bool m_stopped = false;
};

} // namespace plantainwall
