#include "store_follower.h"
#include "log_event.h"
#include <algorithm>

namespace plantainwall {

std::string_view storeSourceName(StoreSource source)
{
    constexpr std::string_view names[] = { "watch", "watch_for_others", "relay" };
    static_assert(sizeof(names) / sizeof(names[0]) == static_cast<size_t>(StoreSource::Count), "one entry each");
    return names[static_cast<size_t>(source)];
}

StoreFollower::StoreFollower(MetadataStore& store, const StoreDecoder& decoder, StoreObserver& observer,
    DelayedCall after, std::function<Instant()> clock, const StoreFollowerSettings& settings)
    : m_store(store)
    , m_decoder(decoder)
    , m_observer(observer)
    , m_delayedCall(std::move(after))
    , m_clock(std::move(clock))
    , m_settings(settings)
    , m_retryDelay(settings.firstRetryDelay)
{
}

void StoreFollower::start()
{
    m_startedAt = m_clock();
    list();
}

void StoreFollower::list()
{
    m_listingInProgress = true;
    if (m_listing.empty()) {
        m_listingSentAt = m_clock();
        m_listingEra = m_era;
    }
    const std::string afterKey = m_listing.empty() ? std::string() : m_listing.back().key;
    m_store.list({}, afterKey, [this, sequence = m_sequence](StoreItems page) {
        if (sequence == m_sequence)
            pageReceived(std::move(page));
    });
}

void StoreFollower::pageReceived(StoreItems page)
{
    const bool firstPage = m_listing.empty();
    const bool newerEra = readNewerEra(page.era, page.asOf, "list");
    if (page.outcome != StoreOutcome::Ok) {
        storeCallFailed(page, "list");
        return;
    }
    storeCallSucceeded();
    if (isOutdated(page) && m_listingEra == m_era)
        dropRelayedEra(page.era);
    if (isOutdated(page)) {
        m_listing.clear();
        m_listingInProgress = false;
        schedule(m_retryDelay, &StoreFollower::list);
        return;
    }
    if (newerEra && !firstPage) {
        list();
        return;
    }
    // The pages are not one snapshot: changes after the first page are received again through the watch.
    if (m_listing.empty())
        m_listingRevision = page.asOf;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_listing));
    if (page.more && !page.items.empty()) {
        list();
        return;
    }
    m_listingInProgress = false;
    m_stateAsOf = std::max(m_stateAsOf, m_listingSentAt);
    m_listedFromStore = true;
    // A revision that was reported before the request for the listing is not above its revision, unless it is false.
    if (m_reportedAt < m_listingSentAt)
        m_reportedRevision = std::min(m_reportedRevision, m_listingRevision);
    applyListing(std::exchange(m_listing, {}), m_listingRevision);
    watch();
}

void StoreFollower::applyListing(const std::vector<StoreItem>& listing, uint64_t revision)
{
    const StoreEvents changes = changesTo(listing, revision);
    std::vector<ServerEntry> servers;
    std::vector<std::string> evacuated;
    m_items.clear();
    for (const StoreItem& item : listing) {
        m_items[item.key] = item;
        if (m_decoder.isConfiguration(item.key))
            decodeConfiguration(item);
        else if (m_decoder.isServer(item.key)) {
            const std::optional<ServerEntry> entry = decodeServer(item);
            if (entry)
                servers.push_back(*entry);
        } else {
            const std::optional<std::string> dataCentre = m_decoder.evacuatedDataCentre(item.key);
            if (dataCentre)
                evacuated.push_back(*dataCentre);
        }
    }
    m_revision = revision;
    m_changesMissingSince.reset();
    if (m_reportedRevision > m_revision)
        m_changesMissingSince = m_clock();
    m_listed = true;
    m_emptyWatches = 0;
    m_observer.evacuationsListed(evacuated);
    m_observer.serversListed(servers);
    m_observer.ownItemsChanged();
    if (changes.from == changes.to)
        return;
    m_observer.changesApplied(changes);
    m_observer.eventsRead(changes);
}

// Load pattern: the store drops its history in a fleet of hundreds of hosts. The hosts that watch it list it; the
// others get the difference from them instead of listing too.
StoreEvents StoreFollower::changesTo(const std::vector<StoreItem>& listing, uint64_t revision) const
{
    StoreEvents changes;
    if (!m_listed || revision <= m_revision)
        return changes;
    changes.from = m_revision;
    changes.to = revision;
    changes.era = m_era;
    changes.age = std::chrono::duration_cast<Duration>(m_clock() - m_stateAsOf);
    std::set<std::string_view> listed;
    for (const StoreItem& item : listing) {
        listed.insert(item.key);
        if (item.revision > m_revision)
            changes.items.push_back(item);
    }
    std::stable_sort(changes.items.begin(), changes.items.end(),
        [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
    for (const auto& [key, item] : m_items) {
        if (listed.count(key) == 0)
            changes.items.push_back({ key, std::string(), revision, true });
    }
    return changes;
}

bool StoreFollower::acceptsRelayedState() const
{
    // A host that receives changes hears from others, but the age of its state is known only once it has them all.
    const Instant now = m_clock();
    const bool receiving = m_changesMissingSince && now - m_peerProgressAt < m_settings.catchUpDelay;
    return m_source == StoreSource::Relay && (receiving || now - m_stateAsOf < m_settings.relayedStateValidity);
}

// Load pattern: a large configuration passes from host to host for a second. If every host that waits for it read it
// from the store, the links would be full for longer than that.
bool StoreFollower::mustCatchUp() const
{
    if (!m_changesMissingSince)
        return false;
    const Instant now = m_clock();
    return now - std::max(*m_changesMissingSince, m_peerProgressAt) >= m_settings.catchUpDelay
        || now - *m_changesMissingSince >= m_settings.maxCatchUpDelay;
}

void StoreFollower::watch()
{
    const Instant now = m_clock();
    const bool catchUp = mustCatchUp();
    if (acceptsRelayedState() && !catchUp) {
        schedule(m_settings.relayCheckInterval, &StoreFollower::watch);
        return;
    }
    Duration wait = m_settings.watchWait;
    if (m_source != StoreSource::Watch)
        wait = catchUp ? m_settings.relayCheckInterval : m_settings.relayWatchWait;
    m_store.watch(
        {}, m_revision, wait, [this, now, wait, after = m_revision, sequence = m_sequence](const StoreItems& events) {
            if (sequence != m_sequence)
                return;
            const bool behind = events.era == m_era && events.asOf != 0 && events.asOf < after;
            if (behind)
                logRestored("watch", m_era, events.asOf);
            // The revision was never reached, so true changes would seem older than it.
            if (behind && events.outcome == StoreOutcome::Ok) {
                storeCallSucceeded();
                list();
                return;
            }
            watchAnswered(events, now, wait);
        });
}

void StoreFollower::watchAnswered(const StoreItems& events, Instant sentAt, Duration wait)
{
    const bool newerEra = readNewerEra(events.era, events.asOf, "watch");
    if (events.outcome == StoreOutcome::HistoryLost) {
        storeCallSucceeded();
        list();
        return;
    }
    if (events.outcome != StoreOutcome::Ok) {
        storeCallFailed(events, "watch");
        return;
    }
    storeCallSucceeded();
    if (isOutdated(events)) {
        schedule(m_retryDelay, &StoreFollower::list);
        return;
    }
    if (newerEra) {
        list();
        return;
    }
    // A watch that returned no events after its whole wait confirms that nothing changed until its end.
    const bool heldFullWait = events.items.empty() && m_clock() - sentAt >= wait;
    m_stateAsOf = std::max(m_stateAsOf, heldFullWait ? sentAt + wait : sentAt);
    StoreEvents changes;
    changes.from = m_revision;
    changes.to = std::max(m_revision, events.asOf);
    changes.items = events.items;
    changes.era = m_era;
    advance(events.items, changes.to);
    changes.age = std::chrono::duration_cast<Duration>(m_clock() - m_stateAsOf);
    m_observer.eventsRead(changes);
    m_emptyWatches = events.items.empty() ? m_emptyWatches + 1 : 0;
    const Duration usualWait = m_source == StoreSource::Watch ? m_settings.watchWait : m_settings.relayWatchWait;
    if (usualWait * m_emptyWatches >= m_settings.relistInterval)
        list();
    else if (events.items.empty())
        watch();
    else
        schedule(
            m_clock() - m_startedAt < m_settings.startupPeriod ? m_settings.startupBatchDelay : m_settings.batchDelay,
            &StoreFollower::watch);
}

void StoreFollower::advance(const std::vector<StoreItem>& items, uint64_t to)
{
    bool ownChanged = false;
    StoreEvents changes;
    changes.from = m_revision;
    changes.to = std::max(m_revision, to);
    changes.era = m_era;
    for (const StoreItem& item : items) {
        if (item.revision <= m_revision)
            continue;
        apply(item);
        changes.items.push_back(item);
        ownChanged = ownChanged || item.key.rfind(ownPrefix, 0) == 0;
    }
    m_revision = changes.to;
    m_observer.changesApplied(changes);
    if (m_revision >= m_reportedRevision)
        m_changesMissingSince.reset();
    else if (!changes.items.empty())
        m_changesMissingSince = m_clock();
    if (ownChanged)
        m_observer.ownItemsChanged();
}

void StoreFollower::applyRelayed(const StoreEvents& events)
{
    const Instant now = m_clock();
    if (m_era != 0 && events.era != m_era && events.era != m_differingEra) {
        m_differingEra = events.era;
        logEvent(LogEvent::RelayEraDiffers,
            { { "era", m_era }, { "relayed_era", events.era }, { "revision", m_revision },
                { "relayed_revision", events.to }, { "source", storeSourceName(m_source) },
                { "outcome", events.era < m_era ? "ignored" : "listing" } });
    }
    if (events.era > m_era)
        noteEra(events.era, "relay");
    if (events.era < m_era)
        return;
    if (!m_listed) {
        if (!m_listingMissingSince)
            m_listingMissingSince = now;
        return;
    }
    if (events.to > m_reportedRevision) {
        m_reportedRevision = events.to;
        m_reportedAt = now;
    }
    if (!m_listingInProgress && events.from <= m_revision && events.from < events.to)
        advance(events.items, events.to);
    if (m_reportedRevision > m_revision && !m_changesMissingSince)
        m_changesMissingSince = now;
    if (events.to <= m_revision)
        m_stateAsOf = std::max(m_stateAsOf, now - events.age);
}

void StoreFollower::applyRelayedListing(const StoreEvents& events)
{
    if (events.era != m_era || events.to <= m_revision || missingAfter() != std::optional<uint64_t>(0))
        return;
    logEvent(LogEvent::ListingRelayed,
        { { "era", m_era }, { "revision", events.to }, { "items", events.items.size() },
            { "previous_revision", m_revision }, { "reported_revision", m_reportedRevision } });
    // The answer of a call in progress may be older.
    ++m_sequence;
    m_listingInProgress = false;
    m_store.cancelReads();
    applyListing(events.items, events.to);
    schedule(m_settings.relayedRetryDelay, &StoreFollower::list);
}

StoreEvents StoreFollower::listing() const
{
    StoreEvents all;
    all.era = m_era;
    if (!m_listed)
        return all;
    all.to = m_revision;
    all.items.reserve(m_items.size());
    for (const auto& [key, item] : m_items)
        all.items.push_back(item);
    return all;
}

bool StoreFollower::listingMissing() const
{
    const Instant now = m_clock();
    if (!m_listed)
        return m_listingMissingSince && now - *m_listingMissingSince >= m_settings.listingRequestDelay;
    return !m_reachable && m_changesMissingSince && m_reportedRevision > m_revision
        && now - *m_changesMissingSince >= m_settings.listingFallbackDelay;
}

std::optional<uint64_t> StoreFollower::missingAfter() const
{
    if (m_source != StoreSource::Relay)
        return std::nullopt;
    if (listingMissing())
        return m_listing.empty() ? std::make_optional<uint64_t>(0) : std::nullopt;
    const bool missing = m_listed && !m_listingInProgress && m_changesMissingSince && m_reportedRevision > m_revision
        && m_clock() - *m_changesMissingSince >= m_settings.peerRequestDelay;
    return missing ? std::make_optional(m_revision) : std::nullopt;
}

StoreEvents StoreFollower::knownState() const
{
    return { m_revision, m_revision, std::chrono::duration_cast<Duration>(m_clock() - m_stateAsOf), {}, m_era };
}

void StoreFollower::apply(const StoreItem& item)
{
    if (item.removed)
        m_items.erase(item.key);
    else
        m_items[item.key] = item;
    if (m_decoder.isConfiguration(item.key)) {
        if (!item.removed)
            decodeConfiguration(item);
        return;
    }
    if (m_decoder.isServer(item.key)) {
        const std::optional<ServerEntry> entry = item.removed ? std::nullopt : decodeServer(item);
        if (entry)
            m_observer.serverWritten(*entry);
        else
            m_observer.serverErased(m_decoder.serverId(item.key));
        return;
    }
    const std::optional<std::string> dataCentre = m_decoder.evacuatedDataCentre(item.key);
    if (dataCentre && item.removed)
        m_observer.evacuationErased(*dataCentre);
    else if (dataCentre)
        m_observer.evacuationWritten(*dataCentre);
}

std::optional<ServerEntry> StoreFollower::decodeServer(const StoreItem& item) const
{
    try {
        return m_decoder.server(item);
    } catch (const std::exception& error) {
        logEvent(LogEvent::StoreItemRejected,
            { { "key", item.key }, { "revision", item.revision }, { "era", m_era }, { "reason", error.what() } });
        return std::nullopt;
    }
}

void StoreFollower::decodeConfiguration(const StoreItem& item)
{
    if (item.revision == m_configurationRevision && m_era == m_configurationEra)
        return;
    try {
        const std::shared_ptr<const GatewayConfiguration> configuration = m_decoder.configuration(item);
        m_configurationEra = m_era;
        m_configurationRevision = item.revision;
        if (configuration->version > m_configurationVersion) {
            m_configurationVersion = configuration->version;
            m_observer.configurationRead(configuration);
        } else if (configuration->version < m_configurationVersion)
            logEvent(LogEvent::ConfigurationNotApplied,
                { { "reason", "older version" }, { "version", configuration->version },
                    { "version_in_force", m_configurationVersion }, { "revision", item.revision }, { "era", m_era } });
    } catch (const std::exception& error) {
        logEvent(LogEvent::StoreItemRejected,
            { { "key", item.key }, { "revision", item.revision }, { "era", m_era }, { "reason", error.what() } });
    }
}

void StoreFollower::schedule(Duration delay, void (StoreFollower::*next)())
{
    m_delayedCall(delay, [this, next, sequence = m_sequence] {
        if (sequence == m_sequence)
            (this->*next)();
    });
}

void StoreFollower::logRestored(std::string_view call, uint64_t previousEra, uint64_t storeRevision) const
{
    logEvent(LogEvent::StoreRestored,
        { { "call", call }, { "era", m_era }, { "previous_era", previousEra }, { "revision", m_revision },
            { "store_revision", storeRevision }, { "reported_revision", m_reportedRevision },
            { "source", storeSourceName(m_source) } });
}

bool StoreFollower::readNewerEra(uint64_t era, uint64_t storeRevision, std::string_view call)
{
    if (era <= m_era)
        return false;
    const uint64_t previous = m_era;
    m_era = era;
    // Until the first listing nothing of an earlier era can be known, unless the start of that listing is.
    const bool restored = m_listed || previous != 0 || !m_listing.empty();
    if (restored) {
        logRestored(call, previous, storeRevision);
        ++m_sequence;
        m_listing.clear();
        m_listingInProgress = false;
        m_listed = false;
        m_listedFromStore = false;
        m_revision = 0;
        m_reportedRevision = 0;
        m_changesMissingSince.reset();
        m_listingMissingSince.reset();
        m_stateAsOf = Instant();
        m_retryDelay = m_settings.firstRetryDelay;
    }
    m_observer.eraRead(era, restored);
    return restored;
}

// Another host relayed an era that the store does not know, although it was asked later.
void StoreFollower::dropRelayedEra(uint64_t era)
{
    logEvent(LogEvent::RelayEraDiffers,
        { { "era", era }, { "relayed_era", m_era }, { "source", storeSourceName(m_source) },
            { "outcome", "unknown to the store" } });
    m_era = era;
    m_observer.eraRead(era, true);
}

void StoreFollower::noteEra(uint64_t era, std::string_view call)
{
    if (!readNewerEra(era, 0, call))
        return;
    m_store.cancelReads();
    schedule(m_settings.restoredListDelay, &StoreFollower::list);
}

void StoreFollower::storeCallFailed(const StoreItems& answer, std::string_view call)
{
    m_listing.clear();
    m_listingInProgress = false;
    if (m_reachable || !m_reachabilityReported) {
        logEvent(LogEvent::StoreUnreachable,
            { { "call", call }, { "outcome", storeOutcomeName(answer.outcome) }, { "era", m_era },
                { "revision", m_revision }, { "incomplete_bytes", answer.incompleteBytes } });
        m_reachabilityReported = true;
        m_reachable = false;
        m_observer.storeReachable(false);
    }
    const bool catchUp = m_changesMissingSince.has_value();
    // After an outage a watch alone could miss entries that expired while the store history continued without it.
    schedule(acceptsRelayedState() && !catchUp ? m_settings.relayedRetryDelay : m_retryDelay, &StoreFollower::list);
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.maxRetryDelay);
}

void StoreFollower::storeCallSucceeded()
{
    m_retryDelay = m_settings.firstRetryDelay;
    if (m_reachable)
        return;
    m_reachable = true;
    m_reachabilityReported = true;
    logEvent(LogEvent::StoreReachable, { { "era", m_era }, { "revision", m_revision } });
    m_observer.storeReachable(true);
}

} // namespace plantainwall
