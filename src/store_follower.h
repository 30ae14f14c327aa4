#pragma once

#include "store_relay.h"
#include <map>
#include <set>

namespace plantainwall {

/// Runs a function once after a delay, on the event loop.
using DelayedCall = std::function<void(Duration, std::function<void()>)>;

/// Receives the contents and changes of the store in the order of its revisions.
class StoreObserver {
public:
    virtual ~StoreObserver() = default;
    virtual void configurationRead(std::shared_ptr<const GatewayConfiguration>) = 0;
    /// Called with a complete listing of the servers.
    virtual void serversListed(const std::vector<ServerEntry>&) = 0;
    virtual void serverWritten(const ServerEntry&) = 0;
    virtual void serverErased(const std::string& id) = 0;
    /// Called with all evacuated data centres of a complete listing, before its servers.
    virtual void evacuationsListed(const std::vector<std::string>& dataCentres) = 0;
    virtual void evacuationWritten(const std::string& dataCentre) = 0;
    virtual void evacuationErased(const std::string& dataCentre) = 0;
    /// Called when the entry hosts' own items have changed; see StoreFollower::ownPrefix.
    virtual void ownItemsChanged() = 0;
    virtual void storeReachable(bool) = 0;
    /// Called with the first era of the store and with each newer one. restored: an older copy has replaced the store,
    /// and a complete listing follows.
    virtual void eraRead(uint64_t era, bool restored) = 0;
    /// Called when a watch has returned, with its changes, possibly none.
    virtual void eventsRead(const StoreEvents&) = 0;
    /// Called when changes have been applied, whether this or another host has read them. They follow the last ones
    /// unless a listing came between.
    virtual void changesApplied(const StoreEvents&) = 0;
};

struct StoreFollowerSettings {
    /// Longest wait of a watch without changes. Including the margin of its timeout it is below the 5 s after which a
    /// host counts as undisturbed again, so that an unresponsive connection is replaced in time.
    Duration watchWait = std::chrono::milliseconds(3500);
    /// Pause after events, so that one call returns all changes that are made in quick succession.
    Duration batchDelay = std::chrono::milliseconds(150);
    /// The same during the startup period, in which all other hosts may be starting too.
    Duration startupBatchDelay = std::chrono::milliseconds(500);
    Duration startupPeriod = std::chrono::seconds(3);
    Duration firstRetryDelay = std::chrono::milliseconds(200);
    Duration maxRetryDelay = std::chrono::milliseconds(1000);
    /// Without any change for this time, a complete listing is read again in case an event was missed.
    Duration relistInterval = std::chrono::seconds(20);
    /// Longest wait of a watch whose results are relayed: relayed state must not be older than relayedStateValidity.
    Duration relayWatchWait = std::chrono::milliseconds(1500);
    /// Relayed state is accepted up to this age. A host whose relayed state has expired and that then calls the store
    /// is up to date within 4 s, the strictest time within which configurations must be in force.
    Duration relayedStateValidity = std::chrono::milliseconds(2500);
    /// Missing changes, whose content was not relayed or was lost, are read from the store after this time. It leaves
    /// time to request them from other hosts first, from some of those twice.
    Duration catchUpDelay = std::chrono::milliseconds(700);
    /// The same while another host is sending them: with the call itself still less than the strictest time within
    /// which configurations must be in force.
    Duration maxCatchUpDelay = std::chrono::milliseconds(2500);
    /// Missing changes are requested from other hosts after this time; all watching hosts relay a change almost at
    /// once.
    Duration peerRequestDelay = std::chrono::milliseconds(40);
    Duration relayCheckInterval = std::chrono::milliseconds(100);
    /// A host without a complete listing of an era that another host has reported requests that host's listing after
    /// this time, in which the store normally answers it.
    Duration listingRequestDelay = std::chrono::milliseconds(700);
    /// A host that does not reach the store requests a listing if no host has sent the missing changes after this time.
    /// It is longer than a call without an answer, during which no changes are applied.
    Duration listingFallbackDelay = std::chrono::seconds(2);
    /// Pause before the next listing after a failed call while relayed state keeps this host up to date.
    Duration relayedRetryDelay = std::chrono::seconds(3);
    /// Pause before the listing of a new era that another host or another call has revealed. It differs between hosts,
    /// because all hosts of a fleet then list.
    Duration restoredListDelay { 0 };
};

/// How a host receives changes of the store.
enum class StoreSource : uint8_t {
    Watch, ///< Through its own watch.
    WatchForOthers, ///< Through its own watch, whose results it relays to other hosts.
    Relay, ///< From other hosts, and through its own calls if relayed state is too old or incomplete.
    Count
};

/// Returns a stable lower-case name for logs.
std::string_view storeSourceName(StoreSource);

/// Follows the state of the store: reads one listing, then either watches the whole store or applies relayed changes of
/// other hosts. After a failed call it lists again, with growing pauses between retries; if the store no longer has the
/// history, it lists again at once. After the first sign of a newer era nothing is applied before a complete listing of
/// it, which may be another host's if the store does not answer this one. Configurations are ordered by their versions,
/// which do not go back with the revisions.
class StoreFollower {
public:
    static constexpr std::string_view ownPrefix = "plantainwall/";

    StoreFollower(MetadataStore&, const StoreDecoder&, StoreObserver&, DelayedCall, std::function<Instant()> clock,
        const StoreFollowerSettings& = {});

    void start();

    /// Sets how changes are received, from the next call on.
    void setSource(StoreSource source) { m_source = source; }

    /// Applies changes and the age of the state that another host relayed.
    void applyRelayed(const StoreEvents&);

    /// Applies another host's complete listing if one is missing and it is newer than what is known; see
    /// missingAfter().
    void applyRelayedListing(const StoreEvents&);

    /// Returns the revision up to which all changes are known, with the age of that state and without items.
    StoreEvents knownState() const;

    /// Returns all items known, as a listing for a host that the store refuses; without a revision before a complete
    /// listing of the newest era.
    StoreEvents listing() const;

    /// Returns the revision after which changes that another host has reported are missing; nothing if none are. 0: a
    /// complete listing is missing.
    std::optional<uint64_t> missingAfter() const;

    /// Notes that another host is sending the missing changes.
    void notePeerProgress() { m_peerProgressAt = m_clock(); }

    /// Returns the items of the store by key.
    const std::map<std::string, StoreItem>& items() const { return m_items; }

    bool reachable() const { return m_reachable; }

    /// Returns the newest era of the store that an answer or another host carried; 0 if none did.
    uint64_t era() const { return m_era; }

    /// Notes the era in the result of another call of this host.
    void noteEra(uint64_t era, std::string_view call);

    /// Returns whether a complete listing of the newest era has been applied.
    bool listed() const { return m_listed; }

    /// Returns whether a complete listing of the newest era has been read from the store itself.
    bool listedFromStore() const { return m_listedFromStore; }

private:
    void list();
    void pageReceived(StoreItems);
    void watch();
    void watchAnswered(const StoreItems&, Instant sentAt, Duration wait);
    void applyListing(const std::vector<StoreItem>&, uint64_t revision);
    /// Returns the changes from the known state to a complete listing of the same era; without revisions if there was
    /// no listing before, or the listing is not newer.
    StoreEvents changesTo(const std::vector<StoreItem>& listing, uint64_t revision) const;
    bool acceptsRelayedState() const;
    bool mustCatchUp() const;
    bool listingMissing() const;
    void advance(const std::vector<StoreItem>&, uint64_t to);
    void storeCallFailed(const StoreItems&, std::string_view call);
    void storeCallSucceeded();
    void schedule(Duration delay, void (StoreFollower::*next)());
    void logRestored(std::string_view call, uint64_t previousEra, uint64_t storeRevision) const;
    void dropRelayedEra(uint64_t era);
    bool readNewerEra(uint64_t era, uint64_t storeRevision, std::string_view call);
    bool isOutdated(const StoreItems& items) const { return items.era != 0 && items.era < m_era; }
    void apply(const StoreItem&);
    std::optional<ServerEntry> decodeServer(const StoreItem&) const;
    void decodeConfiguration(const StoreItem&);

    MetadataStore& m_store;
    const StoreDecoder& m_decoder;
    StoreObserver& m_observer;
    DelayedCall m_delayedCall;
    std::function<Instant()> m_clock;
    StoreFollowerSettings m_settings;
    StoreSource m_source = StoreSource::Watch;
    bool m_listingInProgress = false; ///< Relayed changes that arrive during a listing may be older or newer than it.
    Instant m_startedAt;
    Instant m_stateAsOf; ///< Time as of which the store is known, through a call of this or another host.
    uint64_t m_reportedRevision = 0; ///< Newest revision that another host has reported.
    Instant m_reportedAt; ///< Time of that report.
    /// Time since when m_reportedRevision is newer than m_revision, or the last changes were applied if that is later.
    std::optional<Instant> m_changesMissingSince;
    Instant m_peerProgressAt; ///< See notePeerProgress().
    std::optional<Instant> m_listingMissingSince; ///< Another host has relayed state of an era that is not listed here.
    std::vector<StoreItem> m_listing;
    std::map<std::string, StoreItem> m_items;
    Instant m_listingSentAt; ///< Time of the request for the first page.
    uint64_t m_listingEra = 0; ///< Newest era known at that time.
    uint64_t m_listingRevision = 0;
    uint64_t m_revision = 0;
    uint64_t m_configurationEra = 0; ///< Era and revision of the last configuration that was read.
    uint64_t m_configurationRevision = 0;
    uint64_t m_configurationVersion = 0; ///< In force.
    uint64_t m_era = 0;
    uint64_t m_sequence = 0; ///< Rises with each new era and each relayed listing. Answers to earlier calls and earlier
                             ///< delays are dropped.
    uint64_t m_differingEra = 0; ///< Last era of a relay that was logged as different.
    Duration m_retryDelay;
    bool m_reachable = false;
    bool m_reachabilityReported = false; ///< The observer has been notified at least once.
    bool m_listed = false;
    bool m_listedFromStore = false;
    unsigned m_emptyWatches = 0;
};

} // namespace plantainwall
