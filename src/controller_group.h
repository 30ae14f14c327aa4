#pragma once

#include "cluster_view.h"
#include "member_service.h"
#include "read_router.h"
#include "scheduler.h"
#include <functional>
#include <mutex>

namespace plantainwall {

class GroupShard;

/// What a GroupController needs from its surroundings.
struct GroupEnvironment {
    std::function<std::shared_ptr<Database>(const MemberConfig&)> makeDatabase;
    std::function<Instant()> now;
    std::shared_ptr<Scheduler> scheduler;
    /// Set by GroupController, from its configuration.
    std::function<bool(std::string_view customer, std::string_view keyId)> keyWithdrawn;
    uint64_t seed = 0; ///< Must differ between processes: it makes the names of promotion candidates unique.
};

/// One member as `status` shows it.
struct MemberReport {
    std::string name;
    std::string owner; ///< Entry host; empty if none is live.
    bool reachable = false;
    MemberStatus status; ///< The last one received; not meaningful before the first.
    size_t connectionsOpen = 0; ///< Of this entry host.
    size_t connectionsInUse = 0;
    unsigned connectionLimit = 0; ///< For this entry host.
    size_t queued = 0;
    unsigned running = 0;
};

/// One group as `status` shows it.
struct GroupReport {
    std::string name;
    std::string primary; ///< Empty: none known.
    uint64_t term = 0;
    std::string_view phase; ///< See promotionPhaseName().
    LogPosition confirmed;
    size_t acknowledgementsPending = 0;
    size_t transactions = 0;
    std::vector<MemberReport> members;
};

/// Sums over the groups of this entry host; all but acknowledgementsPending only grow.
struct GroupCounters {
    uint64_t promotions = 0;
    uint64_t fenceRounds = 0;
    uint64_t acknowledged = 0;
    uint64_t outcomesUnknown = 0;
    uint64_t outcomeLookups = 0;
    uint64_t resends = 0;
    uint64_t transactionsRolledBack = 0;
    uint64_t connectionsOpened = 0;
    uint64_t acknowledgementsPending = 0;

    GroupCounters& operator+=(const GroupCounters&);
};

/// Serves the members that this entry host owns: queue, connections, execution, acknowledgement, transactions, and
/// promotion in their groups. Safe to call from any thread; state is sharded by group.
class GroupController final : public MemberService, public std::enable_shared_from_this<GroupController> {
public:
    GroupController(
        const Settings&, std::shared_ptr<const ConfigView>, std::shared_ptr<const ClusterView>, GroupEnvironment);
    ~GroupController() override;

    /// Starts following configuration and ownership. The object must be held by a shared_ptr.
    void start();

    /// Stops watching and promoting; requests in progress still end.
    void stop();

    /// Applies the present configuration and ownership; start() calls it every 250 ms.
    void refresh();

    pplx::task<MemberAnswer> execute(MemberRequest) override;
    pplx::task<MemberAnswer> outcome(std::string_view group, std::string_view requestId, Duration timeLeft) override;

    /// Refuses the queued requests of a customer with KeyWithdrawn and rolls back its open transactions: those under
    /// one key, or all if keyId is empty.
    void cancelQueued(std::string_view customer, std::string_view keyId = {});

    /// Another owner of the group last reached its primary age ago.
    void notePeerContact(std::string_view group, std::string_view host, Duration age);

    /// Returns the time since this host last reached the primary; nothing if it does not follow the group.
    std::optional<Duration> primaryContactAge(std::string_view group) const;

    /// Returns the names of the groups this host follows, for gossip of primaryContactAge().
    std::vector<std::string> groups() const;

    /// Chooses a member for a read; nothing if this host does not follow the group.
    std::optional<ReadChoice> chooseMember(std::string_view group, const ReadRequirement&) const;

    std::vector<GroupReport> status() const;
    GroupCounters counters() const;

    /// Returns the requests and transactions in progress, which a graceful shutdown waits for.
    size_t inProgress() const;

private:
    std::shared_ptr<GroupShard> find(std::string_view group) const;
    std::vector<std::shared_ptr<GroupShard>> shards() const;
    void refreshLater();

    Settings m_settings;
    std::shared_ptr<const ConfigView> m_config;
    std::shared_ptr<const ClusterView> m_cluster;
    GroupEnvironment m_environment;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<GroupShard>, std::less<>> m_shards;
    std::vector<std::shared_ptr<GroupShard>> m_retired; ///< Replaced by a changed configuration, still working.
    GroupCounters m_finished; ///< Counters of shards that have ended.
    uint64_t m_created = 0;
    bool m_stopped = false;
};

} // namespace plantainwall
