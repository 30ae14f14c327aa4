#pragma once

#include "cluster_view.h"
#include "member_service.h"
#include "read_router.h"
#include "scheduler.h"
#include <functional>
#include <mutex>

namespace plantainwall {

class GroupShard;

/// Dependencies of a GroupController.
struct GroupEnvironment {
    std::function<std::shared_ptr<Database>(const MemberConfig&)> makeDatabase;
    std::function<Instant()> now;
    std::shared_ptr<Scheduler> scheduler;
    /// Set by GroupController, from its configuration.
    std::function<bool(std::string_view customer, std::string_view keyId)> keyWithdrawn;
    /// Must differ between processes, so that the names of promotion candidates are unique.
    uint64_t seed = 0;
};

/// Status of one member, as the `status` command shows it.
struct MemberReport {
    std::string name;
    std::string owner; ///< Name of the owning entry host; empty if no host is live.
    bool reachable = false;
    MemberStatus status; ///< Last status received; default values until the first one arrives.
    size_t connectionsOpen = 0; ///< Connections of this entry host.
    size_t connectionsInUse = 0;
    unsigned connectionLimit = 0; ///< Limit for this entry host.
    size_t queued = 0;
    unsigned running = 0;
};

/// Status of one group, as the `status` command shows it.
struct GroupReport {
    std::string name;
    std::string primary; ///< Empty if no primary is known.
    uint64_t term = 0;
    std::string_view phase; ///< See promotionPhaseName().
    LogPosition confirmed;
    size_t acknowledgementsPending = 0;
    size_t transactions = 0;
    std::vector<MemberReport> members;
};

/// Totals over the groups of this entry host. All are monotonic except acknowledgementsPending.
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

/// Executes requests on the members that this entry host owns: queues them, manages connections and transactions,
/// acknowledges writes, and promotes a new primary when one fails. Safe to call from any thread; state is sharded by
/// group.
class GroupController final : public MemberService, public std::enable_shared_from_this<GroupController> {
public:
    GroupController(
        const Settings&, std::shared_ptr<const ConfigView>, std::shared_ptr<const ClusterView>, GroupEnvironment);
    ~GroupController() override;

    /// Starts applying changes of configuration and ownership. The object must be held by a shared_ptr.
    void start();

    /// Stops polling members and promoting primaries. Requests in progress are still completed.
    void stop();

    /// Applies the current configuration and ownership. Called every 250 ms after start().
    void refresh();

    pplx::task<MemberAnswer> execute(MemberRequest) override;
    pplx::task<MemberAnswer> outcome(std::string_view group, std::string_view requestId, Duration timeLeft) override;

    /// Refuses the queued requests of a customer with KeyWithdrawn and rolls back its open transactions.
    /// @param keyId Limits the call to requests and transactions of this key; empty for all keys.
    void cancelQueued(std::string_view customer, std::string_view keyId = {});

    /// Records the time since another owner of the group last reached the primary.
    void notePeerContact(std::string_view group, std::string_view host, Duration age);

    /// Returns the time since this host last reached the primary, or nullopt if it has no shard for the group.
    std::optional<Duration> primaryContactAge(std::string_view group) const;

    /// Returns the names of the groups that have a shard at this host. Gossip carries primaryContactAge() of each.
    std::vector<std::string> groups() const;

    /// Chooses a member for a read. Returns nullopt if this host has no shard for the group.
    std::optional<ReadChoice> chooseMember(std::string_view group, const ReadRequirement&) const;

    std::vector<GroupReport> status() const;
    GroupCounters counters() const;

    /// Returns the number of requests and transactions in progress. A graceful shutdown waits until it is 0.
    size_t inProgress() const;

private:
    std::shared_ptr<GroupShard> find(std::string_view group) const;
    std::vector<std::shared_ptr<GroupShard>> shards() const;
    void scheduleRefresh();

    Settings m_settings;
    std::shared_ptr<const ConfigView> m_config;
    std::shared_ptr<const ClusterView> m_cluster;
    GroupEnvironment m_environment;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<GroupShard>, std::less<>> m_shards;
    std::vector<std::shared_ptr<GroupShard>> m_retiredShards; ///< Removed or replaced, with requests still in progress.
    GroupCounters m_finishedCounters; ///< Totals of the shards that have been stopped.
    uint64_t m_shardsCreated = 0;
    bool m_stopped = false;
};

} // namespace plantainwall
