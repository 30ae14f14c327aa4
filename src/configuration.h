#pragma once

#include "config_schema.h"
#include "config_schema_envelope.h"
#include <random>

namespace plantainwall {

/// Timing of the distribution of the configuration.
struct ConfigTiming {
    Duration watchWait = std::chrono::seconds(2); ///< 12 relays make 6 store calls per second without changes.
    Duration watchGrace = std::chrono::seconds(1); ///< A watch without an answer for watchWait + watchGrace is lost.
    Duration listTimeout = std::chrono::seconds(1); ///< A starting host then asks peers too.
    Duration fetchTimeout = std::chrono::milliseconds(500);
    Duration fetchInterval = std::chrono::seconds(1);
    Duration startFetchInterval = std::chrono::milliseconds(250);
    Duration hintInterval = std::chrono::milliseconds(50); ///< Shortest time between fetches that gossip causes.
    Duration pushInterval = std::chrono::milliseconds(20); ///< Entries that arrive meanwhile go out in one batch.
    Duration minRetry = std::chrono::milliseconds(250); ///< Of store calls; doubles up to maxRetry.
    Duration maxRetry = std::chrono::seconds(2);
    Duration staleAge = std::chrono::seconds(5); ///< A relay with an older copy is not preferred.
    size_t maxPushedEntries = 64; ///< Larger differences are left to the fetches.
};

/// The entry hosts that matter for the distribution; none of the lists contains this host.
struct ConfigTopology {
    bool relay = false; ///< This host is one of the relays of its data centre.
    std::vector<std::string> localHosts; ///< Same data centre.
    std::vector<std::string> localRelays;
    std::vector<std::string> relays; ///< Of all data centres.
    std::vector<std::string> peers; ///< Every other entry host.
};

/// What a host says about its copy in gossip.
struct ConfigDigest {
    uint64_t revision = 0; ///< Greatest revision of an entry of the copy.
    Duration age {};
};

struct WatchStore {
    uint64_t id = 0;
    uint64_t after = 0;
    Duration wait {};
    Instant sentAt {};
};

struct ListStore {
    uint64_t id = 0;
    Instant sentAt {};
};

struct FetchFromPeer {
    uint64_t id = 0;
    std::string host;
    uint64_t after = 0;
    Instant sentAt {};
};

struct PushToPeers {
    std::vector<std::string> hosts;
    ConfigBatch batch;
};

using ConfigAction = std::variant<WatchStore, ListStore, FetchFromPeer, PushToPeers>;

enum class StoreFailure : uint8_t {
    Unavailable,
    Gap, ///< The store cannot tell the changes since the revision; a full listing is needed.
    Count
};

/// Keeps this host's copy of the configuration and decides what to ask, from whom, and what to pass on.
/// A decision object. The copy is complete up to a store revision and may contain single later entries. An entry is
/// only replaced by one of a greater revision, and nothing at or below the complete revision is taken in again, so no
/// order of messages can revert the copy.
class Configuration {
public:
    Configuration(uint64_t seed, Instant now, const ConfigTiming& = {});

    void setTopology(ConfigTopology topology) { m_topology = std::move(topology); }

    /// Returns what is due now. Call it after every input and at least every 50 ms.
    std::vector<ConfigAction> tick(Instant now);

    void watchAnswered(const WatchStore&, const StoreListing&);
    void watchFailed(const WatchStore&, StoreFailure, Instant now);
    void listAnswered(const ListStore&, const StoreListing&);
    void listFailed(const ListStore&, Instant now);
    void fetchAnswered(const FetchFromPeer&, const ConfigBatch&);
    void fetchFailed(const FetchFromPeer&);

    /// A peer pushed single entries.
    void pushReceived(const ConfigBatch&);

    /// A peer's gossip arrived.
    void digestReceived(std::string_view host, const ConfigDigest&);

    /// The store accepted an operator's change that came in through this host.
    void changeAccepted(const StoreEntry&);

    /// Returns the answer to a peer that has every change up to a revision, or nothing before there is a copy.
    std::optional<ConfigBatch> changesSince(uint64_t after, Instant now) const;

    ConfigDigest digest(Instant now) const { return { m_latest, age(now) }; }

    /// Returns the snapshot in force, or nullptr before there is a copy.
    std::shared_ptr<const ConfigSnapshot> snapshot() const { return m_snapshot; }

    /// Returns the time since the store confirmed the copy, directly or through peers; Duration::max() if never.
    Duration age(Instant now) const { return m_confirmedAt ? now - *m_confirmedAt : Duration::max(); }

    /// Returns the entries with a key prefix, deletions included.
    std::vector<StoreEntry> entries(std::string_view keyPrefix) const;

    std::vector<ConfigFault> faults() const { return m_builder.faults(); }

private:
    struct StoreCall {
        uint64_t id = 0;
        Instant deadline {};
    };

    void apply(const ConfigBatch&);
    bool merge(const StoreEntry&);
    bool removeAbsent(const ConfigBatch&);
    void setValue(const StoreEntry&);
    void confirm(Instant);
    void storeAnswered(uint64_t id, Instant sentAt, uint64_t revision, uint64_t completeBefore);
    void storeFailed(uint64_t id, Instant now);
    void tickStore(Instant now, std::vector<ConfigAction>&);
    void tickFetch(Instant now, std::vector<ConfigAction>&);
    void tickPush(Instant now, std::vector<ConfigAction>&);
    bool watchIsHealthy(Instant now) const;
    std::string chooseFetchHost();
    const std::string& pick(const std::vector<std::string>& hosts);

    ConfigTiming m_timing;
    std::mt19937_64 m_random;
    ConfigTopology m_topology;
    Instant m_startedAt;

    std::map<std::string, StoreEntry, std::less<>> m_entries; ///< By key; an absent value is a deletion.
    uint64_t m_complete = 0; ///< Every change up to this store revision is in the copy.
    uint64_t m_listedAt = 0; ///< Deletions before this revision are not known.
    uint64_t m_latest = 0;
    bool m_hasCopy = false;
    std::optional<Instant> m_confirmedAt;
    std::optional<Instant> m_storeConfirmedAt;
    ConfigSnapshotBuilder m_builder;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;

    uint64_t m_nextId = 1;
    std::optional<StoreCall> m_storeCall;
    bool m_needList = true;
    unsigned m_storeFailures = 0;
    Instant m_nextStoreCall {};
    std::optional<StoreCall> m_fetch;
    unsigned m_fetchFailures = 0;
    Instant m_nextFetch {};
    Instant m_lastFetch {};
    std::string m_hint; ///< Host whose gossip showed a later entry; empty if none.
    std::map<std::string, StoreEntry> m_toPush;
    std::set<std::string> m_pushTargets;
    Instant m_nextPush {};
};

} // namespace plantainwall
