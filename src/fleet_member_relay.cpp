#include "fleet_member.h"
#include "log_event.h"
#include <algorithm>

// Choice of the hosts that watch the store for others, and relay of its changes.

namespace plantainwall {

namespace {

    /// Precedes relayed changes that the receiver is to send to the other hosts of its data centre.
    constexpr std::string_view passOnWord = "pass ";

} // namespace

std::vector<RelayCandidate> FleetMember::relayCandidates() const
{
    std::vector<RelayCandidate> candidates;
    if (m_follower.reachable())
        candidates.push_back({ m_gatewaySettings.host, m_gatewaySettings.region, m_gatewaySettings.capacity });
    for (const auto& [host, peer] : m_peers) {
        // Registrations that a copy of the store lacks do not matter: the host reports that it reaches the store.
        if (peer.storeReachable && !isUnreachable(peer))
            candidates.push_back({ host, peer.region, peer.capacity });
    }
    return candidates;
}

// The relays of a region without hosts that reach the store are the first of all regions, which are also the first of
// their own.
std::vector<std::string> FleetMember::relays(const std::string& region) const
{
    std::vector<RelayCandidate> candidates = relayCandidates();
    const auto isOfRegion = [&region](const RelayCandidate& it) { return it.region == region; };
    if (std::none_of(candidates.begin(), candidates.end(), isOfRegion)) {
        for (RelayCandidate& candidate : candidates)
            candidate.region = region;
    }
    return relaysOf(region, candidates, m_settings.relaysPerRegion);
}

StoreSource FleetMember::storeSource() const
{
    const bool refused = std::any_of(m_peers.begin(), m_peers.end(),
        [](const auto& peer) { return !peer.second.silent && !peer.second.storeReachable; });
    if (!largeFleet() && m_follower.reachable() && !refused)
        return StoreSource::Watch;
    // A host knows others only after a complete listing.
    if (!largeFleet() && !m_follower.reachable())
        return m_peers.empty() ? StoreSource::Watch : StoreSource::Relay;
    const std::vector<std::string> hosts = relays(m_gatewaySettings.region);
    if (std::find(hosts.begin(), hosts.end(), m_gatewaySettings.host) != hosts.end())
        return StoreSource::WatchForOthers;
    // Promotions must not be based on relayed state.
    const bool coordinates = m_coordinator.isActive() && (m_follower.reachable() || m_clock() < m_coordinatorUntil);
    return coordinates || !largeFleet() ? StoreSource::Watch : StoreSource::Relay;
}

void FleetMember::chooseSource()
{
    const StoreSource source = storeSource();
    if (source == m_source)
        return;
    m_source = source;
    m_follower.setSource(source);
    m_gateway.setPositionsFromPeers(source == StoreSource::Relay && largeFleet());
    logEvent(LogEvent::StoreSourceChanged,
        { { "source", storeSourceName(source) }, { "hosts", m_peers.size() + 1 }, { "era", m_follower.era() },
            { "revision", m_follower.knownState().to } });
}

std::vector<std::pair<std::string, std::string>> FleetMember::watchingHosts() const
{
    std::vector<std::pair<std::string, std::string>> sources;
    if (m_source != StoreSource::Relay)
        return sources;
    for (const std::string& host : relays(m_gatewaySettings.region)) {
        const auto it = m_peers.find(host);
        if (it != m_peers.end() && !it->second.address.empty())
            sources.emplace_back(host, it->second.address);
    }
    rotate(sources);
    return sources;
}

// Each host starts with a different source, which spreads the load.
void FleetMember::rotate(std::vector<std::pair<std::string, std::string>>& sources) const
{
    if (!sources.empty())
        std::rotate(
            sources.begin(), sources.begin() + static_cast<ptrdiff_t>(m_incarnation % sources.size()), sources.end());
}

// Returns the hosts of this host's data centre, itself included.
std::vector<RelayCandidate> FleetMember::localHosts() const
{
    std::vector<RelayCandidate> hosts { { m_gatewaySettings.host, m_gatewaySettings.dataCentre,
        m_gatewaySettings.capacity } };
    for (const auto& [host, peer] : m_peers) {
        if (peer.dataCentre == m_gatewaySettings.dataCentre && !peer.address.empty() && !isUnreachable(peer))
            hosts.push_back({ host, peer.dataCentre, peer.capacity });
    }
    return hosts;
}

// Returns the hosts that pass on what the data centre receives; none if no host of it does.
std::set<std::string> FleetMember::distributorsOf(const std::string& dataCentre) const
{
    std::vector<RelayCandidate> hosts;
    if (dataCentre == m_gatewaySettings.dataCentre)
        hosts.push_back({ m_gatewaySettings.host, dataCentre, m_gatewaySettings.capacity });
    for (const auto& [host, peer] : m_peers) {
        if (peer.distributes && peer.dataCentre == dataCentre && !peer.address.empty() && !isUnreachable(peer))
            hosts.push_back({ host, dataCentre, peer.capacity });
    }
    const std::vector<std::string> chosen = relaysOf(dataCentre, hosts, m_settings.distributorsPerDataCentre);
    return { chosen.begin(), chosen.end() };
}

void FleetMember::updateDistribution()
{
    if (!m_gatewaySettings.localDistribution)
        return;
    const std::vector<std::string> reporters
        = relaysOf(m_gatewaySettings.dataCentre, localHosts(), m_settings.primariesReporters);
    m_reportsPrimaries = std::find(reporters.begin(), reporters.end(), m_gatewaySettings.host) != reporters.end();
    const bool distributes = distributorsOf(m_gatewaySettings.dataCentre).count(m_gatewaySettings.host) != 0;
    m_positionExchange.setPollInterval(distributes && largeFleet() ? m_gatewaySettings.positionDistributionInterval
                                                                   : m_gatewaySettings.positionInterval);
}

// Load pattern: 15 hosts of each data centre request the same positions from relays in another one, 2.5 times a second
// each. Relays of the own data centre come first, then the hosts that request positions for all others of it.
std::vector<std::pair<std::string, std::string>> FleetMember::positionSources() const
{
    std::vector<std::pair<std::string, std::string>> sources = watchingHosts();
    if (!m_gatewaySettings.localDistribution || sources.empty() || !largeFleet())
        return sources;
    const auto isLocal = [this](const std::pair<std::string, std::string>& source) {
        return m_peers.at(source.first).dataCentre == m_gatewaySettings.dataCentre;
    };
    const auto distant = std::stable_partition(sources.begin(), sources.end(), isLocal);
    const std::set<std::string> distributors = distributorsOf(m_gatewaySettings.dataCentre);
    if (distributors.count(m_gatewaySettings.host) != 0)
        return sources;
    std::vector<std::pair<std::string, std::string>> near;
    for (const std::string& host : distributors) {
        const auto isHost = [&host](const auto& source) { return source.first == host; };
        if (std::none_of(sources.begin(), sources.end(), isHost))
            near.emplace_back(host, m_peers.at(host).address);
    }
    rotate(near);
    sources.insert(distant, near.begin(), near.end());
    return sources;
}

// Load pattern: a configuration of some ten kilobytes for 150 hosts of a region every 0.3 s. Three relays cannot send
// it to all in time, and most of it would cross data centres. So a few hosts of each data centre request changes from
// the relays, and the others from those, which answer as soon as they have them.
std::vector<std::pair<std::string, std::string>> FleetMember::changeSources() const
{
    std::vector<std::pair<std::string, std::string>> sources = watchingHosts();
    if (m_source != StoreSource::Relay || !largeFleet())
        return sources;
    const std::vector<RelayCandidate> local = localHosts();
    const size_t count = (local.size() + m_settings.hostsPerDistributor - 1) / m_settings.hostsPerDistributor;
    const std::vector<std::string> distributors = relaysOf(m_gatewaySettings.dataCentre, local, count);
    if (std::find(distributors.begin(), distributors.end(), m_gatewaySettings.host) != distributors.end())
        return sources;
    std::vector<std::pair<std::string, std::string>> near;
    near.reserve(distributors.size() + sources.size());
    for (const std::string& host : distributors)
        near.emplace_back(host, m_peers.at(host).address);
    rotate(near);
    near.insert(near.end(), sources.begin(), sources.end());
    return near;
}

// Load pattern: three relays of a region send every change to some fifteen hosts in each data centre. Two hosts of each
// data centre get it from them, and pass it on.
void FleetMember::relay(const StoreEvents& events)
{
    std::map<std::string, std::set<std::string>> distributors; // By data centre.
    for (const std::string& datagram : encodeStoreEvents(events)) {
        for (const auto& [host, peer] : m_peers) {
            if (peer.region != m_gatewaySettings.region || peer.address.empty() || isUnreachable(peer))
                continue;
            if (!m_gatewaySettings.localDistribution || peer.dataCentre == m_gatewaySettings.dataCentre) {
                m_channel.send(peer.address, datagram);
                continue;
            }
            const auto [it, added] = distributors.try_emplace(peer.dataCentre);
            if (added)
                it->second = distributorsOf(peer.dataCentre);
            if (it->second.empty())
                m_channel.send(peer.address, datagram);
            else if (it->second.count(host) != 0)
                m_channel.send(peer.address, std::string(passOnWord) + datagram);
        }
    }
}

// Applies relayed changes and sends them to the other hosts of the data centre. Returns false if the datagram is no
// request for that. The copies of several relays are sent once.
bool FleetMember::passOn(const std::string& datagram)
{
    if (datagram.rfind(passOnWord, 0) != 0)
        return false;
    const Instant now = m_clock();
    StoreEvents events = decodeStoreEvents(std::string_view(datagram).substr(passOnWord.size()));
    // The state is older than the datagram says if this host did not run when it arrived.
    Duration late = std::chrono::duration_cast<Duration>(now - m_tickedAt);
    if (now - m_lateTickAt < m_settings.lateDatagramTime)
        late = std::max(late, m_lateBy);
    if (late > m_settings.maxTickGap)
        events.age += late;
    m_follower.applyRelayed(events);
    // A state that this host does not accept must not hide later ones.
    if (events.era != m_follower.era())
        return true;
    const std::pair<uint64_t, uint64_t> state(events.era, events.to);
    const Instant asOf = now - events.age;
    if (state < m_passedOn || (state == m_passedOn && asOf < m_passedOnAsOf + m_settings.relayInterval / 2))
        return true;
    m_passedOn = state;
    m_passedOnAsOf = asOf;
    for (const std::string& text : encodeStoreEvents(events)) {
        for (const auto& [host, peer] : m_peers) {
            if (peer.dataCentre == m_gatewaySettings.dataCentre && !peer.address.empty() && !isUnreachable(peer))
                m_channel.send(peer.address, text);
        }
    }
    return true;
}

// Between regions only the revision is relayed, and changes are sent on request, several at once and compressed: those
// links are narrow.
void FleetMember::relayState()
{
    const StoreEvents state = m_follower.knownState();
    relay(state);
    std::set<std::string> uncovered;
    for (const auto& [host, peer] : m_peers)
        uncovered.insert(peer.region);
    for (const RelayCandidate& candidate : relayCandidates())
        uncovered.erase(candidate.region);
    if (uncovered.empty())
        return;
    const std::vector<std::string> hosts = relays(*uncovered.begin());
    if (std::find(hosts.begin(), hosts.end(), m_gatewaySettings.host) == hosts.end())
        return;
    const std::string datagram = encodeStoreEvents(state).front();
    for (const auto& [host, peer] : m_peers) {
        if (uncovered.count(peer.region) != 0 && !peer.address.empty() && !isUnreachable(peer))
            m_channel.send(peer.address, datagram);
    }
}

void FleetMember::eventsRead(const StoreEvents& events)
{
    if (m_source == StoreSource::WatchForOthers && events.from < events.to)
        relay(events);
}

// A host that loses the store also needs the changes from before the other hosts detect it and relay to it.
void FleetMember::changesApplied(const StoreEvents& changes) { m_changeExchange.keep(changes); }

} // namespace plantainwall
