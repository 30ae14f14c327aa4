#include "configuration.h"
#include <algorithm>

namespace plantainwall {

Configuration::Configuration(uint64_t seed, Instant now, const ConfigTiming& timing)
    : m_timing(timing)
    , m_random(seed)
    , m_startedAt(now)
{
}

bool Configuration::merge(const StoreEntry& entry)
{
    // The copy already reflects every change up to m_completeRevision.
    if (entry.revision <= m_completeRevision)
        return false;
    const auto it = m_entries.find(entry.key);
    if (it != m_entries.end() && it->second.revision >= entry.revision)
        return false;
    m_entries[entry.key] = entry;
    m_latestRevision = std::max(m_latestRevision, entry.revision);
    setValue(entry);
    return true;
}

void Configuration::setValue(const StoreEntry& entry)
{
    if (entry.key.compare(0, configPrefix.size(), configPrefix) != 0)
        return;
    const std::string_view path = std::string_view(entry.key).substr(configPrefix.size());
    if (!entry.value) {
        m_builder.set(path, std::nullopt);
        return;
    }
    const std::optional<ConfigEnvelope> envelope = decodeEnvelope(*entry.value);
    if (envelope)
        m_builder.set(path, envelope->value);
    else
        m_builder.reject(path, "the stored envelope cannot be read");
}

bool Configuration::removeAbsent(const ConfigBatch& batch)
{
    std::set<std::string_view> present;
    bool removed = false;
    for (const StoreEntry& entry : batch.entries)
        present.insert(entry.key);
    present.insert(batch.unchanged.begin(), batch.unchanged.end());
    for (std::pair<const std::string, StoreEntry>& entry : m_entries) {
        if (!entry.second.value || entry.second.revision > batch.to || present.count(entry.first))
            continue;
        entry.second.value.reset();
        entry.second.revision = batch.to;
        m_latestRevision = std::max(m_latestRevision, batch.to);
        setValue(entry.second);
        removed = true;
    }
    m_listedRevision = std::max(m_listedRevision, batch.to);
    return removed;
}

void Configuration::apply(const ConfigBatch& batch)
{
    std::vector<const StoreEntry*> changed;
    for (const StoreEntry& entry : batch.entries) {
        if (merge(entry))
            changed.push_back(&entry);
    }
    const bool complete = batch.from <= m_completeRevision;
    const bool first = !m_hasCopy && batch.full && complete;
    bool removed = false;
    if (batch.full && complete && (batch.to > m_completeRevision || first))
        removed = removeAbsent(batch);
    if (complete && batch.to > m_completeRevision)
        m_completeRevision = batch.to;
    m_hasCopy = m_hasCopy || first;
    if (m_hasCopy && (!m_snapshot || removed || !changed.empty()))
        m_snapshot = m_builder.build(m_latestRevision);
    if (!m_topology.relay || changed.empty() || changed.size() > m_timing.maxPushedEntries)
        return;
    for (const StoreEntry* entry : changed)
        m_pendingPushes[entry->key] = *entry;
    m_pushTargets.insert(m_topology.localHosts.begin(), m_topology.localHosts.end());
}

void Configuration::confirm(Instant at)
{
    if (!m_confirmedAt || *m_confirmedAt < at)
        m_confirmedAt = at;
}

void Configuration::storeAnswered(uint64_t id, Instant sentAt, uint64_t revision, uint64_t completeBefore)
{
    if (m_pendingStoreCall && m_pendingStoreCall->id == id)
        m_pendingStoreCall.reset();
    m_storeFailures = 0;
    // A reply older than the copy does not confirm that the copy is current.
    if (revision < completeBefore)
        return;
    confirm(sentAt);
    if (!m_storeConfirmedAt || *m_storeConfirmedAt < sentAt)
        m_storeConfirmedAt = sentAt;
}

void Configuration::storeFailed(uint64_t id, Instant now)
{
    if (!m_pendingStoreCall || m_pendingStoreCall->id != id)
        return;
    m_pendingStoreCall.reset();
    const Duration delay = std::min<Duration>(
        m_timing.minStoreRetryDelay * (1LL << std::min(m_storeFailures, 10U)), m_timing.maxStoreRetryDelay);
    ++m_storeFailures;
    // Jitter prevents the relays from calling a recovering store at the same time.
    const uint64_t half = static_cast<uint64_t>(delay.count()) / 2;
    m_nextStoreCallAt = now + Duration(half + m_random() % (half + 1));
}

void Configuration::watchAnswered(const WatchStore& request, const StoreListing& listing)
{
    const uint64_t completeBefore = m_completeRevision;
    apply({ request.after, listing.revision, false, {}, listing.entries });
    storeAnswered(request.id, request.sentAt, listing.revision, completeBefore);
}

void Configuration::watchFailed(const WatchStore& request, StoreFailure failure, Instant now)
{
    if (failure == StoreFailure::Gap)
        m_listRequired = true;
    storeFailed(request.id, now);
}

void Configuration::listAnswered(const ListStore& request, const StoreListing& listing)
{
    const uint64_t completeBefore = m_completeRevision;
    apply({ 0, listing.revision, true, {}, listing.entries });
    storeAnswered(request.id, request.sentAt, listing.revision, completeBefore);
    m_listRequired = false;
}

void Configuration::listFailed(const ListStore& request, Instant now) { storeFailed(request.id, now); }

void Configuration::fetchAnswered(const FetchFromPeer& request, const ConfigBatch& batch)
{
    apply(batch);
    // This copy contains every change of the peer's confirmed copy and is therefore confirmed as of the same time.
    if (m_hasCopy && batch.to <= m_completeRevision && batch.age != Duration::max())
        confirm(request.sentAt - batch.age);
    if (m_pendingFetch && m_pendingFetch->id == request.id) {
        m_pendingFetch.reset();
        m_fetchFailures = batch.age > m_timing.staleAge ? m_fetchFailures + 1 : 0;
    }
}

void Configuration::fetchFailed(const FetchFromPeer& request)
{
    if (!m_pendingFetch || m_pendingFetch->id != request.id)
        return;
    m_pendingFetch.reset();
    ++m_fetchFailures;
    m_nextFetchAt = request.sentAt + m_timing.startupFetchInterval;
}

void Configuration::pushReceived(const ConfigBatch& batch)
{
    // Earlier changes may be missing, so single entries do not advance the complete revision.
    apply({ 0, 0, false, {}, batch.entries });
}

void Configuration::digestReceived(std::string_view host, const ConfigDigest& digest)
{
    if (m_hasCopy && digest.revision > std::max(m_latestRevision, m_completeRevision))
        m_hintedHost = std::string(host);
}

void Configuration::changeAccepted(const StoreEntry& entry)
{
    apply({ 0, 0, false, {}, { entry } });
    m_pendingPushes[entry.key] = entry;
    m_pushTargets.insert(m_topology.relays.begin(), m_topology.relays.end());
    if (m_topology.relays.empty())
        m_pushTargets.insert(m_topology.localHosts.begin(), m_topology.localHosts.end());
}

std::optional<ConfigBatch> Configuration::changesSince(uint64_t after, Instant now) const
{
    if (!m_hasCopy)
        return std::nullopt;
    ConfigBatch batch;
    batch.from = after;
    batch.to = m_completeRevision;
    batch.full = after < m_listedRevision || after == 0;
    batch.age = age(now);
    for (const std::pair<const std::string, StoreEntry>& entry : m_entries) {
        if (entry.second.revision > after)
            batch.entries.push_back(entry.second);
        else if (batch.full && entry.second.value)
            batch.unchanged.push_back(entry.first);
    }
    return batch;
}

std::vector<StoreEntry> Configuration::entries(std::string_view keyPrefix) const
{
    std::vector<StoreEntry> found;
    for (auto it = m_entries.lower_bound(keyPrefix); it != m_entries.end(); ++it) {
        if (it->first.compare(0, keyPrefix.size(), keyPrefix) != 0)
            break;
        found.push_back(it->second);
    }
    return found;
}

std::vector<ConfigAction> Configuration::tick(Instant now)
{
    std::vector<ConfigAction> actions;
    tickStore(now, actions);
    tickFetch(now, actions);
    tickPush(now, actions);
    return actions;
}

void Configuration::tickStore(Instant now, std::vector<ConfigAction>& actions)
{
    if (m_pendingStoreCall && now >= m_pendingStoreCall->deadline)
        storeFailed(m_pendingStoreCall->id, now);
    if (m_pendingStoreCall || now < m_nextStoreCallAt)
        return;
    const uint64_t id = m_nextId;
    if (!m_hasCopy || (m_topology.relay && m_listRequired)) {
        actions.emplace_back(ListStore { id, now });
        m_pendingStoreCall = PendingCall { id, now + m_timing.listTimeout };
    } else if (m_topology.relay) {
        const Duration wait = m_storeFailures == 0 ? m_timing.watchWait : m_timing.retryWatchWait;
        actions.emplace_back(WatchStore { id, m_completeRevision, wait, now });
        m_pendingStoreCall = PendingCall { id, now + wait + m_timing.watchGrace };
    } else {
        return;
    }
    ++m_nextId;
}

bool Configuration::watchIsHealthy(Instant now) const
{
    return m_topology.relay && m_storeConfirmedAt
        && now - *m_storeConfirmedAt <= m_timing.watchWait + m_timing.watchGrace;
}

void Configuration::tickFetch(Instant now, std::vector<ConfigAction>& actions)
{
    if (m_pendingFetch && now >= m_pendingFetch->deadline) {
        m_pendingFetch.reset();
        ++m_fetchFailures;
        m_nextFetchAt = now;
    }
    if (!m_hasCopy && now < m_startedAt + m_timing.listTimeout)
        return;
    if (m_pendingFetch || m_topology.peers.empty())
        return;
    const bool hinted = !m_hintedHost.empty() && now - m_lastFetchAt >= m_timing.minHintedFetchInterval;
    const bool due = now >= m_nextFetchAt && !watchIsHealthy(now);
    if (!hinted && !due)
        return;
    std::string host = hinted ? std::move(m_hintedHost) : chooseFetchHost();
    m_hintedHost.clear();
    m_pendingFetch = PendingCall { m_nextId, now + m_timing.fetchTimeout };
    m_lastFetchAt = now;
    m_nextFetchAt = now + (m_hasCopy ? m_timing.fetchInterval : m_timing.startupFetchInterval);
    actions.emplace_back(FetchFromPeer { m_nextId, std::move(host), m_hasCopy ? m_completeRevision : 0, now });
    ++m_nextId;
}

const std::string& Configuration::pickRandom(const std::vector<std::string>& hosts)
{
    return hosts[m_random() % hosts.size()];
}

std::string Configuration::chooseFetchHost()
{
    // After two failed attempts the local relays may be disconnected; hosts of other data centres are tried too.
    if (!m_topology.localRelays.empty() && !m_topology.relay && m_fetchFailures < 2)
        return pickRandom(m_topology.localRelays);
    if (!m_topology.relays.empty() && m_random() % 2 == 0)
        return pickRandom(m_topology.relays);
    return pickRandom(m_topology.peers);
}

void Configuration::tickPush(Instant now, std::vector<ConfigAction>& actions)
{
    if (m_pendingPushes.empty() || now < m_nextPushAt)
        return;
    PushToPeers push;
    push.hosts.assign(m_pushTargets.begin(), m_pushTargets.end());
    for (const std::pair<const std::string, StoreEntry>& entry : m_pendingPushes)
        push.batch.entries.push_back(entry.second);
    m_pendingPushes.clear();
    m_pushTargets.clear();
    m_nextPushAt = now + m_timing.pushInterval;
    if (!push.hosts.empty())
        actions.emplace_back(std::move(push));
}

} // namespace plantainwall
