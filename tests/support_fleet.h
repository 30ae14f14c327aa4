#pragma once

#include "fleet_member.h"
#include "support_gateway.h"

namespace plantainwall {

/// Runs tasks at their virtual time.
class FakeTimers {
public:
    void add(Instant due, std::function<void()> task) { m_tasks.emplace(due, std::move(task)); }

    /// Runs all tasks that are due.
    void run(Instant now);

private:
    std::multimap<Instant, std::function<void()>> m_tasks;
};

/// Metadata store of a fleet in virtual time: items, revisions, watches and leases. It may be replaced by an older
/// copy.
class FakeFleetStore final : public MetadataStore {
public:
    explicit FakeFleetStore(FakeTimers& timers, const Instant& now)
        : m_timers(timers)
        , m_now(now)
    {
    }

    void list(const std::string&, const std::string&, std::function<void(StoreItems)>) override;
    void watch(const std::string&, uint64_t after, Duration wait, std::function<void(StoreItems)>) override;
    void write(const StoreWrite&, std::function<void(StoreResult)>) override;
    void createLease(Duration, std::function<void(StoreResult)>) override;
    void keepLease(uint64_t, std::function<void(StoreResult)>) override;
    void cancelReads() override { }

    void after(Duration, std::function<void()>);
    void afterRoundTrip(std::function<void()>);

    /// Runs a task after the time that a host waits for an answer.
    void afterTimeout(std::function<void()>);

    /// Writes an item as a client outside the fleet does.
    void put(const std::string& key, const std::string& value, uint64_t lease = 0);

    /// Removes an item as a client outside the fleet does.
    void erase(const std::string& key);

    /// Returns the value of an item, or nothing if it does not exist.
    std::optional<std::string> valueOf(const std::string& key) const;

    /// Returns the revision of an item, or 0 if it does not exist.
    uint64_t revisionOf(const std::string& key) const;

    /// Copies the items, revisions and leases.
    void snapshot();

    /// Replaces the items, revisions and leases by those of the last copy and raises the era. Revisions and lease ids
    /// are given out again. Watches in progress are cut.
    void restore();

    /// Returns the keys with a prefix.
    std::vector<std::string> keysOf(const std::string& prefix) const;

    /// Returns the leases of the items whose keys have a prefix.
    std::vector<uint64_t> leasesOf(const std::string& prefix) const;

    uint64_t era() const { return m_era; }

    unsigned watches = 0; ///< Watch calls so far.
    unsigned leases = 0; ///< Leases created so far.
    bool unavailable = false; ///< Every call fails.
    bool losesWatches = false; ///< Watches that restore() cuts remain unanswered until their wait has passed.

private:
    struct Watch {
        uint64_t after;
        std::function<void(StoreItems)> handler;
        bool done = false;
        bool lost = false;
    };

    struct Lease {
        Duration lifetime { 0 };
        Instant endsAt;
    };

    struct Copy {
        std::map<std::string, StoreItem> items;
        std::map<std::string, uint64_t> leaseOf;
        std::map<uint64_t, Lease> leases;
        uint64_t revision = 1;
        unsigned lastLease = 0;
    };

    void scheduleLeaseEnd(uint64_t lease);
    void removeItemsOf(uint64_t lease);
    void notifyWatches();
    StoreItems since(uint64_t revision) const;

    FakeTimers& m_timers;
    const Instant& m_now;
    std::map<std::string, StoreItem> m_items; ///< Including removed items.
    std::map<std::string, uint64_t> m_leaseOf; ///< By key.
    std::map<uint64_t, Lease> m_leases;
    std::vector<std::shared_ptr<Watch>> m_watches;
    uint64_t m_revision = 1;
    uint64_t m_era = 1;
    Copy m_copy;
};

/// Access of one host to the store.
class FakeHostStore final : public MetadataStore {
public:
    explicit FakeHostStore(FakeFleetStore& store)
        : m_store(store)
    {
    }

    void list(const std::string&, const std::string&, std::function<void(StoreItems)>) override;
    void watch(const std::string&, uint64_t after, Duration wait, std::function<void(StoreItems)>) override;
    void write(const StoreWrite&, std::function<void(StoreResult)>) override;
    void createLease(Duration, std::function<void(StoreResult)>) override;
    void keepLease(uint64_t, std::function<void(StoreResult)>) override;
    void cancelReads() override;

    /// Returns whether a lease was granted to this host in the present era.
    bool holds(uint64_t lease) const;

    unsigned reads = 0; ///< Listings and watches of this host so far.
    bool refuses = false; ///< Fails every call of this host.
    bool refusesReads = false; ///< Fails every listing and watch of this host.
    bool refusesRenewals = false; ///< Fails every renewal of a lease of this host.
    std::function<void(const StoreWrite&)> beforeWrite; ///< Called before each write; may be empty.
    Duration leaseDelay { 0 }; ///< Delay of the answers to this host's requests for leases.
    bool rejects = false; ///< Rejects every call of this host with an answer, which carries the era.
    bool ignores = false; ///< Answers no call of this host.
    /// Renewals, ends and writes with a lease that was not granted to this host in the newest era that it was told.
    unsigned callsWithForeignLease = 0;

private:
    template <typename Result> std::function<void(Result)> filter(std::function<void(Result)>);
    std::function<void(StoreItems)> cancellable(std::function<void(StoreItems)>);
    /// Returns whether the call is ignored; the handler is then called without an answer after a timeout.
    template <typename Result> bool ignoresCall(const std::function<void(Result)>&);
    void checkLease(uint64_t lease);

    FakeFleetStore& m_store;
    std::map<uint64_t, uint64_t> m_eraOfLease; ///< Era in which this host was last granted the lease.
    uint64_t m_newestEra = 0;
    std::vector<std::shared_ptr<std::function<void(StoreItems)>>> m_reads; ///< Empty functions have been answered.
};

/// A configuration's value starts with its version. A server's value is its role, optionally "draining", optionally its
/// sequence number and the time of its start.
struct FakeFleetDecoder final : StoreDecoder {
    bool isConfiguration(std::string_view key) const override { return key == "config"; }
    bool isServer(std::string_view key) const override { return key.substr(0, 2) == "s/"; }
    std::optional<std::string> evacuatedDataCentre(std::string_view key) const override
    {
        return key.substr(0, 2) == "e/" ? std::make_optional(std::string(key.substr(2))) : std::nullopt;
    }
    std::shared_ptr<const GatewayConfiguration> configuration(const StoreItem&) const override;
    std::string serverId(std::string_view key) const override { return std::string(key.substr(2)); }
    ServerEntry server(const StoreItem&) const override;

    unsigned connectionsPerServer = 32; ///< Of each service, over all hosts.
};

/// Datagrams between the hosts of a fleet, by address.
class FakePeerNetwork {
public:
    struct Port final : PeerChannel {
        Port(FakePeerNetwork& network, std::string from)
            : network(network)
            , from(std::move(from))
        {
        }
        void send(const std::string& address, const std::string& datagram) override
        {
            network.sent.push_back({ from, address, datagram });
            network.queue.push_back({ from, address, datagram });
        }

        FakePeerNetwork& network;
        std::string from;
    };
    struct Datagram {
        std::string from;
        std::string to;
        std::string text;
    };

    std::deque<Datagram> queue;
    std::vector<Datagram> sent;
};

class FakePromotions final : public PromotionService {
public:
    void promote(const std::string&, const std::string&, const std::string&, uint64_t,
        std::function<void(PromotionOutcome)>) override
    {
    }
};

/// Several entry hosts over one store, in virtual time.
struct FakeFleet {
    struct Host {
        Host(FakeFleet&, size_t index, const GatewaySettings&, uint64_t incarnation = 1);
        Host(FakeFleet& fleet, size_t index, size_t regions, bool promotes)
            : Host(fleet, index, hostSettings(index, regions, promotes, true))
        {
        }
        static GatewaySettings hostSettings(size_t index, size_t regions, bool promotes, bool fenced);

        GatewaySettings settings;
        GatewayFixture fixture;
        FakeHostStore store;
        FakePeerNetwork::Port port;
        QuotaExchange quota;
        FakePromotions promotions;
        ServerProber prober;
        ProbeExchange probes;
        PromotionCoordinator coordinator;
        std::shared_ptr<bool> running = std::make_shared<bool>(true);
        FleetMember member;
    };

    /// Hosts are assigned to the regions in turn. If they promote, the coordinator changes every few seconds, because
    /// no server is reachable. fenced: see GatewaySettings::fencedPrimaries.
    explicit FakeFleet(size_t hosts, size_t regions = 1, bool promotes = true, bool fenced = true);

    /// Makes a fleet of the hosts with the given settings. Each name and address is the index of the host.
    explicit FakeFleet(const std::vector<GatewaySettings>&);

    void pass(Duration);

    /// Ends a host's process and starts another one with the given incarnation at once.
    void restart(size_t host, uint64_t incarnation);

    /// Returns the number of reports that a host sent, with or without the known primaries.
    size_t reportsFrom(size_t host, bool withPrimaries) const;

    /// Returns the number of hosts that are active as coordinator.
    size_t activeCoordinators() const;

    /// Returns the version of the configuration in force on a host.
    uint64_t versionAt(size_t host) const;

    /// Returns the hosts that relayed store changes, according to channel.sent.
    std::vector<size_t> relays() const;

    Instant now { std::chrono::seconds(1000) };
    FakeTimers timers;
    FakeFleetStore store { timers, now };
    FakeFleetDecoder decoder;
    FakePeerNetwork channel;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Host>> ended; ///< Processes before a restart; answers to their calls may be pending.
    std::set<size_t> dead; ///< Hosts that have stopped.
    std::function<bool(const FakePeerNetwork::Datagram&)> lost; ///< Returns whether a datagram is lost; may be empty.
};

} // namespace plantainwall
