#pragma once

#include "ack_tracker.h"
#include "connection_ledger.h"
#include "controller_group.h"
#include "fair_queue.h"
#include "promotion.h"
#include <set>

namespace plantainwall {

/// The members of a group that a host owns, and who else owns members of it.
struct GroupOwnership {
    std::map<std::string, std::string> ownerByMember;
    std::set<std::string> owned;
    std::vector<std::string> otherOwners;
    unsigned rank = 0; ///< Of this host among the group's owners.
    std::set<std::string> leaving; ///< Members that the platform's list says are leaving.
};

/// State of one group at one entry host, under one lock. Calls to databases and answers to requests are collected
/// under the lock and carried out after it is released.
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
    void onPeerPrimaryContact(std::string_view host, Duration age);
    Duration primaryContactAge() const;
    ReadChoice chooseMember(const ReadNeed&) const;
    GroupReport report() const;
    GroupCounters counters() const;
    size_t inProgress() const;
    bool ownsMembers() const;

private:
    enum class Stage : uint8_t { CatchingUp, Queued, Connecting, Running, Confirming, ResolvingOutcome, Count };

    /// A request from its arrival to its answer.
    struct Work {
        uint64_t id = 0;
        MemberRequest request;
        pplx::task_completion_event<MemberAnswer> done;
        bool lookupOnly = false; ///< Outcome lookup without a request of its own.
        Stage stage = Stage::Queued;
        Instant arrived {};
        Instant deadline {};
        Instant catchUpUntil {};
        std::optional<FairQueue::Ticket> ticket;
        bool holdsSlot = false; ///< Holds a slot of the queue.
        Instant sentAt {};
        std::string connection;
        uint64_t term = 0; ///< Term it was last sent in; 0: read from a replica.
        unsigned attempts = 0;
        bool inDoubt = false; ///< An attempt may have run: no answer may say "not run" without further proof.
        bool closeConfirmed = false; ///< The connection of the attempt in doubt is known to be closed.
        bool lookUpSentAfterClose = false; ///< It was when the last lookup was sent.
        bool lookingUp = false;
        Instant nextLookUpAt {};
        std::vector<std::optional<std::string>> results;
    };
    using WorkPtr = std::shared_ptr<Work>;

    struct Member {
        MemberConfig config;
        std::shared_ptr<Database> database;
        std::string owner;
        bool owned = false;
        bool reachable = false;
        std::optional<MemberStatus> status;
        std::unique_ptr<FairQueue> queue;
        ConnectionLedger ledger;
        std::map<FairQueue::Ticket, uint64_t> queuedWork;
    };

    struct Transaction {
        std::string member;
        std::string customer;
        std::string keyId; ///< Of the key it was begun with.
        std::string connection;
        uint64_t connectionHolder = 0; ///< Work that the connection was granted to.
        uint64_t term = 0; ///< Term it was begun in; a write transaction ends with it.
        bool readOnly = false;
        bool busy = false;
        bool withdrawn = false; ///< Its key was withdrawn: roll back after the running statement.
        Instant begunAt {};
        Instant lastUsed {};
    };

    /// Holds the lock; carries out the collected effects after releasing it.
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

    // Watching and promotion (controller_group_shard.cpp).
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
    void admit(const WorkPtr&);
    void admitRead(const WorkPtr&, Member&);
    void admitWrite(const WorkPtr&);
    void admitTransactionStep(const WorkPtr&);
    ReadNeed readNeedOf(const Work&) const;
    bool canServe(const Work&) const;
    void enqueueCaughtUpReads(const std::string& member);
    void enqueue(const WorkPtr&);
    void startQueued(Member&);
    void start(const WorkPtr&, Member&);
    void send(const WorkPtr&);
    std::optional<ResultCode> refusalBeforeSending(const Work&);
    void apply(Member&, const ConnectionLedger::Actions&);
    void openConnection(const Member&);
    void closeConnection(const Member&, const std::string& connection);
    void onExecuted(uint64_t id, unsigned attempt, const ExecuteOutcome&);
    void onSucceeded(const WorkPtr&, const ExecuteOutcome&);
    void onRefused(const WorkPtr&, const ExecuteOutcome&);
    void onNotSent(const WorkPtr&, const ExecuteOutcome&);
    void onInDoubt(const WorkPtr&, const std::string& message);
    void onPrimaryReplaced(const std::string& primary, uint64_t term);
    void retryOrFinish(const WorkPtr&, ResultCode, const std::string& message);
    void beginTransaction(const WorkPtr&, const ExecuteOutcome&);
    void abortTransaction(const std::string& id);
    void endTransaction(const Work&, bool reusable);
    void expireOverdue(Instant);

    // Acknowledgement and outcomes (controller_group_settle.cpp).
    void confirm(const WorkPtr&, std::string_view primary, uint64_t term, const ExecuteOutcome&);
    void apply(const AckTracker::Actions&);
    void resolveOutcome(const WorkPtr&);
    void lookUp(const WorkPtr&);
    void onOutcomeAnswer(
        uint64_t id, const std::string& primary, uint64_t term, const ExecuteOutcome&, const MemberStatus&);
    void onNotFound(const WorkPtr&, const std::string& primary, uint64_t term);
    void closeConnectionOfCommit(const WorkPtr&);
    LogPosition readPosition(const Work&, const LogPosition& applied) const;
    void finish(const WorkPtr&, ResultCode, const std::string& message = {});
    void finish(const WorkPtr&, MemberAnswer);
    void releaseSlot(Work&);
    void releaseConnection(Work&, bool reusable);
    WorkPtr findWork(uint64_t id) const;
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
    std::map<uint64_t, WorkPtr> m_works;
    std::map<std::string, Transaction, std::less<>> m_transactions;
    std::vector<std::function<void()>> m_deferredCalls;
    GroupCounters m_counters;
    uint64_t m_lastWork = 0;
    Instant m_lastProgressNeeded {}; ///< When a write or read last waited for a member to receive or apply entries.
    bool m_stopped = false;
};

} // namespace plantainwall
