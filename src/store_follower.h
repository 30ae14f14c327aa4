#pragma once

#include "store_relay.h"
#include <map>
#include <set>

namespace plantainwall {

/// Runs a function once after a delay, on the event loop.
using DelayedCall = std::function<void(Duration, std::function<void()>)>;

/// Gets what the store holds, in the order of the store's revisions.
class StoreObserver {
public:
    virtual ~StoreObserver() = default;
    virtual void configurationRead(std::shared_ptr<const GatewayConfiguration>) = 0;
    /// A complete listing of the servers.
    virtual void serversListed(const std::vector<ServerEntry>&) = 0;
    virtual void serverWritten(const ServerEntry&) = 0;
    virtual void serverErased(const std::string& id) = 0;
    /// Items of the entry hosts themselves have changed; see StoreFollower::ownItems.
    virtual void ownItemsChanged() = 0;
    virtual void storeReachable(bool) = 0;
    /// A watch has returned with these changes, possibly none.
    virtual void eventsRead(const StoreEvents&) = 0;
};

struct StoreFollowerSettings {
    /// A watch that hears nothing returns after this long, and with its margin before the 5 s after which a host counts
    /// as undisturbed again, so that a connection that went silent is replaced in time.
    Duration watchWait = std::chrono::milliseconds(3500);
    /// Pause after events, so that one call brings what comes in quick succession.
    Duration batchDelay = std::chrono::milliseconds(150);
    /// The same in the first time of a process, in which all others may be starting too.
    Duration startBatchDelay = std::chrono::milliseconds(500);
    Duration startTime = std::chrono::seconds(3);
    Duration firstRetry = std::chrono::milliseconds(200);
    Duration maxRetry = std::chrono::milliseconds(1000);
    /// After this much time without any change a complete listing is read again, in case an event was missed.
    Duration relistAfter = std::chrono::seconds(20);
    /// A host that watches for others asks this often: what it tells must not be older than the others accept.
    Duration relayWatchWait = std::chrono::milliseconds(1500);
    /// Others' word on the store holds for this long; with a call of its own a host is up to date within 4 s, the
    /// strictest time in which configurations must be in force.
    Duration relayedStateValidity = std::chrono::milliseconds(2500);
    /// Changes that others told of without their content, or that were lost, are read from the store after this time.
    /// Other hosts are asked for them first, and some of those twice.
    Duration catchUpAfter = std::chrono::milliseconds(700);
    /// Other hosts are asked after this: all that watch tell a change within moments.
    Duration missingAfter = std::chrono::milliseconds(40);
    Duration relayCheck = std::chrono::milliseconds(100);
    /// A host that the store refuses, and that others keep up to date, asks again this often.
    Duration relayedRetry = std::chrono::seconds(3);
};

/// How a host learns of changes in the store.
enum class StoreSource : uint8_t {
    Watch, ///< By its own watch.
    WatchForOthers, ///< By its own watch, whose results it passes on.
    Relay, ///< From other hosts, and by its own calls where they say too little.
    Count
};

/// Returns a stable lower-case name for logs.
std::string_view storeSourceName(StoreSource);

/// Keeps up with the store: one listing, then one watch over all of it, or what other hosts tell of theirs. After a
/// failure it asks again with growing pauses; if the history is lost, it lists again.
class StoreFollower {
public:
    static constexpr std::string_view ownPrefix = "plantainwall/";

    StoreFollower(MetadataStore&, const StoreDecoder&, StoreObserver&, DelayedCall, std::function<Instant()> clock,
        const StoreFollowerSettings& = {});

    void start();

    /// Sets how changes are learned from the next call on.
    void setSource(StoreSource source) { m_source = source; }

    /// Takes what another host tells of the store.
    void applyRelayed(const StoreEvents&);

    /// Returns the revision up to which everything is known, with the age of that knowledge.
    StoreEvents knownState() const;

    /// Returns the revision after which changes are lacking that another host told of; nothing if none are.
    std::optional<uint64_t> missingAfter() const;

    /// Returns the entry hosts' own items by key.
    const std::map<std::string, StoreItem>& ownItems() const { return m_ownItems; }

    bool reachable() const { return m_reachable; }

    /// Returns whether a complete listing has been read.
    bool listed() const { return m_listed; }

private:
    void list();
    void listed(StoreItems);
    void watch();
    void watched(const StoreItems&, Instant sentAt, Duration wait);
    bool acceptsRelayedState() const;
    void advance(const std::vector<StoreItem>&, uint64_t to);
    void failed(StoreOutcome, std::string_view what);
    void succeeded();
    void apply(const StoreItem&);
    std::optional<ServerEntry> decodeServer(const StoreItem&) const;
    void decodeConfiguration(const StoreItem&);

    MetadataStore& m_store;
    const StoreDecoder& m_decoder;
    StoreObserver& m_observer;
    DelayedCall m_after;
    std::function<Instant()> m_clock;
    StoreFollowerSettings m_settings;
    StoreSource m_source = StoreSource::Watch;
    bool m_listingOpen = false; ///< A listing is in progress; what comes meanwhile may be older or newer than it.
    Instant m_startedAt;
    Instant m_contactAt; ///< The store is known as it was then, by a call or another host's.
    uint64_t m_reportedRevision = 0; ///< Newest revision that another host told of.
    std::optional<Instant> m_behindSince; ///< Since when a told revision is newer than the known one.
    std::vector<StoreItem> m_listing;
    std::map<std::string, StoreItem> m_ownItems;
    Instant m_listingSentAt; ///< Of the first page.
    uint64_t m_listingAsOf = 0;
    uint64_t m_revision = 0;
    uint64_t m_configurationRevision = 0;
    Duration m_retry;
    bool m_reachable = false;
    bool m_stateKnown = false; ///< Whether the observer was told about the store at all.
    bool m_listed = false;
    unsigned m_quietWatches = 0;
};

} // namespace plantainwall
