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
    , m_after(std::move(after))
    , m_clock(std::move(clock))
    , m_settings(settings)
    , m_retry(settings.firstRetry)
{
}

void StoreFollower::start()
{
    m_startedAt = m_clock();
    list();
}

void StoreFollower::list()
{
    m_listingOpen = true;
    if (m_listing.empty())
        m_listingSentAt = m_clock();
    const std::string afterKey = m_listing.empty() ? std::string() : m_listing.back().key;
    m_store.list({}, afterKey, [this](StoreItems page) { listed(std::move(page)); });
}

void StoreFollower::listed(StoreItems page)
{
    if (page.outcome != StoreOutcome::Ok) {
        failed(page.outcome, "list");
        return;
    }
    succeeded();
    // Pages are no snapshot: what changed after the first page comes again through the watch.
    if (m_listing.empty())
        m_listingAsOf = page.asOf;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_listing));
    if (page.more && !page.items.empty()) {
        list();
        return;
    }
    std::vector<ServerEntry> servers;
    m_ownItems.clear();
    for (const StoreItem& item : m_listing) {
        if (m_decoder.isConfiguration(item.key))
            decodeConfiguration(item);
        else if (m_decoder.isServer(item.key)) {
            const std::optional<ServerEntry> entry = decodeServer(item);
            if (entry)
                servers.push_back(*entry);
        } else if (item.key.rfind(ownPrefix, 0) == 0)
            m_ownItems[item.key] = item;
    }
    m_listing.clear();
    m_listingOpen = false;
    m_revision = m_listingAsOf;
    m_contactAt = std::max(m_contactAt, m_listingSentAt);
    m_listed = true;
    m_quietWatches = 0;
    m_observer.serversListed(servers);
    m_observer.ownItemsChanged();
    watch();
}

bool StoreFollower::acceptsRelayedState() const
{
    return m_source == StoreSource::Relay && m_clock() - m_contactAt < m_settings.relayedStateValidity;
}

void StoreFollower::watch()
{
    const Instant now = m_clock();
    const bool behind = m_behindSince && now - *m_behindSince >= m_settings.catchUpAfter;
    if (acceptsRelayedState() && !behind) {
        m_after(m_settings.relayCheck, [this] { watch(); });
        return;
    }
    Duration wait = m_settings.watchWait;
    if (m_source != StoreSource::Watch)
        wait = behind ? m_settings.relayCheck : m_settings.relayWatchWait;
    m_store.watch({}, m_revision, wait, [this, now, wait](const StoreItems& events) { watched(events, now, wait); });
}

void StoreFollower::watched(const StoreItems& events, Instant sentAt, Duration wait)
{
    if (events.outcome == StoreOutcome::HistoryLost) {
        succeeded();
        list();
        return;
    }
    if (events.outcome != StoreOutcome::Ok) {
        failed(events.outcome, "watch");
        return;
    }
    succeeded();
    // Without events the store held the call for the whole wait: nothing had changed by then.
    const bool held = events.items.empty() && m_clock() - sentAt >= wait;
    m_contactAt = std::max(m_contactAt, held ? sentAt + wait : sentAt);
    StoreEvents read;
    read.from = m_revision;
    read.to = std::max(m_revision, events.asOf);
    read.items = events.items;
    advance(events.items, read.to);
    read.age = std::chrono::duration_cast<Duration>(m_clock() - m_contactAt);
    m_observer.eventsRead(read);
    m_quietWatches = events.items.empty() ? m_quietWatches + 1 : 0;
    const Duration usual = m_source == StoreSource::Watch ? m_settings.watchWait : m_settings.relayWatchWait;
    if (usual * m_quietWatches >= m_settings.relistAfter)
        list();
    else if (events.items.empty())
        watch();
    else
        m_after(m_clock() - m_startedAt < m_settings.startTime ? m_settings.startBatchDelay : m_settings.batchDelay,
            [this] { watch(); });
}

void StoreFollower::advance(const std::vector<StoreItem>& items, uint64_t to)
{
    bool ownChanged = false;
    for (const StoreItem& item : items) {
        if (item.revision <= m_revision)
            continue;
        apply(item);
        ownChanged = ownChanged || item.key.rfind(ownPrefix, 0) == 0;
    }
    m_revision = std::max(m_revision, to);
    if (m_revision >= m_reportedRevision)
        m_behindSince.reset();
    if (ownChanged)
        m_observer.ownItemsChanged();
}

void StoreFollower::applyRelayed(const StoreEvents& events)
{
    const Instant now = m_clock();
    m_reportedRevision = std::max(m_reportedRevision, events.to);
    if (m_listed && !m_listingOpen && events.from <= m_revision && events.from < events.to)
        advance(events.items, events.to);
    if (m_reportedRevision > m_revision && !m_behindSince)
        m_behindSince = now;
    if (events.to <= m_revision)
        m_contactAt = std::max(m_contactAt, now - events.age);
}

std::optional<uint64_t> StoreFollower::missingAfter() const
{
    const bool lacking = m_source == StoreSource::Relay && m_listed && !m_listingOpen && m_behindSince
        && m_reportedRevision > m_revision && m_clock() - *m_behindSince >= m_settings.missingAfter;
    return lacking ? std::optional<uint64_t>(m_revision) : std::nullopt;
}

StoreEvents StoreFollower::knownState() const
{
    return { m_revision, m_revision, std::chrono::duration_cast<Duration>(m_clock() - m_contactAt), {} };
}

void StoreFollower::apply(const StoreItem& item)
{
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
    if (item.key.rfind(ownPrefix, 0) != 0)
        return;
    if (item.removed)
        m_ownItems.erase(item.key);
    else
        m_ownItems[item.key] = item;
}

std::optional<ServerEntry> StoreFollower::decodeServer(const StoreItem& item) const
{
    try {
        return m_decoder.server(item);
    } catch (const std::exception& error) {
        logEvent(LogEvent::StoreItemRejected,
            { { "key", item.key }, { "revision", item.revision }, { "reason", error.what() } });
        return std::nullopt;
    }
}

void StoreFollower::decodeConfiguration(const StoreItem& item)
{
    if (item.revision <= m_configurationRevision)
        return;
    try {
        m_observer.configurationRead(m_decoder.configuration(item));
        m_configurationRevision = item.revision;
    } catch (const std::exception& error) {
        logEvent(LogEvent::StoreItemRejected,
            { { "key", item.key }, { "revision", item.revision }, { "reason", error.what() } });
    }
}

void StoreFollower::failed(StoreOutcome outcome, std::string_view what)
{
    m_listing.clear();
    m_listingOpen = false;
    if (m_reachable || !m_stateKnown) {
        logEvent(LogEvent::StoreUnreachable,
            { { "call", what }, { "outcome", storeOutcomeName(outcome) }, { "revision", m_revision } });
        m_stateKnown = true;
        m_reachable = false;
        m_observer.storeReachable(false);
    }
    const bool behind = m_behindSince.has_value();
    m_after(acceptsRelayedState() && !behind ? m_settings.relayedRetry : m_retry, [this] {
        // After an outage a watch alone would miss which entries lapsed while the history went on without it.
        list();
    });
    m_retry = std::min(m_retry * 2, m_settings.maxRetry);
}

void StoreFollower::succeeded()
{
    m_retry = m_settings.firstRetry;
    if (m_reachable)
        return;
    m_reachable = true;
    m_stateKnown = true;
    logEvent(LogEvent::StoreReachable, { { "revision", m_revision } });
    m_observer.storeReachable(true);
}

} // namespace plantainwall
