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
    void notePeerContact(std::string_view host, Duration age);
    Duration primaryContactAge() const;
    ReadChoice chooseMember(const ReadRequirement&) const;
    GroupReport report() const;
    GroupCounters counters() const;
    size_t inProgress() const;
    bool ownsMembers() const;

private:
    enum class Stage : uint8_t { CatchingUp, Queued, Connecting, Running, Confirming, Settling, Count };

    /// A request from its arrival to its answer.
    struct PendingRequest {
        uint64_t id = 0;
        MemberRequest request;
        pplx::task_completion_event<MemberAnswer> done;
        bool lookupOnly = false; ///< Outcome lookup without a request of its own.
        Stage stage = Stage::Queued;
        Instant arrived {};
        Instant deadline {};
        Instant catchUpUntil {};
        std::optional<FairQueue::Ticket> ticket;
        bool started = false; ///< Holds a slot of the queue.
        Instant sent {};
        std::string connection;
        uint64_t term = 0; ///< Term it was last sent in; 0: read from a replica.
        unsigned attempts = 0;
        bool inDoubt = false; ///< An attempt may have run: no answer may say "not run" without further proof.
        bool closeConfirmed = false; ///< The connection of the attempt in doubt is known to be closed.
        bool lookUpAfterClose = false; ///< It was when the last lookup was sent.
        bool lookingUp = false;
        Instant lookUpAt {};
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
        std::string keyId; ///< Of the key it was begun with.
        std::string connection;
        uint64_t holder = 0; ///< Work that the connection was granted to.
        uint64_t term = 0; ///< Term it was begun in; a write transaction ends with it.
        bool readOnly = false;
        bool busy = false;
        bool withdrawn = false; ///< Its key was withdrawn: roll back after the running statement.
        Instant begun {};
        Instant lastUsed {};
    };

    /// Holds the lock; carries out the collected effects after releasing it.
    class Locked {
    public:
        explicit Locked(GroupShard&);
        ~Locked();
        Locked(const Locked&) = delete;
        Locked& operator=(const Locked&) = delete;

    private:
        GroupShard& m_shard;
        std::unique_lock<std::mutex> m_lock;
    };

    // Watching and promotion (controller_group_shard.cpp).
    Instant now() const { return m_environment.now(); }
    void tick();
    void tickLater();
    void watch(const std::string& member);
    void watchLater(const std::string& member, bool answered);
    void probe(const std::string& member);
    void probeAll();
    void onStatus(const std::string& member, MemberStatus, Instant sent);
    void onUnreachable(const std::string& member);
    void leaveUnreachable(const std::string& member);
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
    void checkCatchingUp(const std::string& member);
    void enqueue(const PendingRequestPtr&);
    void pump(Member&);
    void start(const PendingRequestPtr&, Member&);
    void send(const PendingRequestPtr&);
    std::optional<ResultCode> refusalBeforeSending(const PendingRequest&);
    void apply(Member&, const ConnectionLedger::Actions&);
    void openConnection(const Member&);
    void closeConnection(const Member&, const std::string& connection);
    void onExecuted(uint64_t id, unsigned attempt, const ExecuteOutcome&);
    void onRun(const PendingRequestPtr&, const ExecuteOutcome&);
    void onRefused(const PendingRequestPtr&, const ExecuteOutcome&);
    void onNotSent(const PendingRequestPtr&, const ExecuteOutcome&);
    void onInDoubt(const PendingRequestPtr&, const std::string& message);
    void onPrimaryReplaced(const std::string& primary, uint64_t term);
    void retryOr(const PendingRequestPtr&, ResultCode, const std::string& message);
    void beginTransaction(const PendingRequestPtr&, const ExecuteOutcome&);
    void abortTransaction(const std::string& id);
    void endTransaction(const PendingRequest&, bool reusable);
    void sweep(Instant);

    // Acknowledgement and outcomes (controller_group_settle.cpp).
    void confirm(const PendingRequestPtr&, std::string_view primary, uint64_t term, const ExecuteOutcome&);
    void apply(const AckTracker::Actions&);
    void settle(const PendingRequestPtr&);
    void lookUp(const PendingRequestPtr&);
    void onLookedUp(uint64_t id, const std::string& primary, uint64_t term, const ExecuteOutcome&, const MemberStatus&);
    void onNotFound(const PendingRequestPtr&, const std::string& primary, uint64_t term);
    void closeForCommit(const PendingRequestPtr&);
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
    std::vector<std::function<void()>> m_effects;
    GroupCounters m_counters;
    uint64_t m_lastRequestId = 0;
    Instant m_lastProgressNeeded {}; ///< When a write or read last waited for a member to receive or apply entries.
    bool m_stopped = false;
};

} // namespace plantainwall
