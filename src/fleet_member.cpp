#include "fleet_member.h"
#include "log_event.h"
#include <algorithm>
#include <cpprest/json.h>
#include <xxhash.h>

namespace plantainwall {

namespace {

    const std::string dutyKey = std::string(StoreFollower::ownPrefix) + "promotions";
    const std::string hostsPrefix = std::string(StoreFollower::ownPrefix) + "hosts/";

    /// Hosts claim a free duty one after the other, this long apart: some round trips to the store and a change's way
    /// to hosts that do not watch it themselves.
    constexpr Duration claimStep = std::chrono::milliseconds(100);
    constexpr size_t maxClaimSteps = 40; ///< So that none waits for longer than a lease of the duty.

    /// A duty that is free though nobody gave it up just now is claimed no sooner.
    constexpr Duration claimPause = std::chrono::milliseconds(50);
    constexpr Duration firstClaimPause = std::chrono::milliseconds(700); ///< The first watch brings the other hosts.

    constexpr Duration retryRegistration = std::chrono::seconds(1);

} // namespace

FleetMember::FleetMember(const GatewaySettings& settings, Gateway& gateway, QuotaExchange& quota, PromotionDuty& duty,
    MetadataStore& store, const StoreDecoder& decoder, PeerChannel& channel, DelayedCall after, Gateway::Clock clock,
    uint64_t incarnation, uint64_t seed)
    : m_gatewaySettings(settings)
    , m_gateway(gateway)
    , m_quota(quota)
    , m_duty(duty)
    , m_store(store)
    , m_channel(channel)
    , m_after(std::move(after))
    , m_clock(std::move(clock))
    , m_incarnation(incarnation)
    , m_random(seed)
    , m_follower(store, decoder, *this, m_after, m_clock)
    , m_evidence(settings.host, channel, m_clock, gateway)
    , m_changes(settings.host, channel, m_clock)
{
    m_settings.dutyLease = std::max(m_settings.dutyLease, settings.storeMinLease);
}

void FleetMember::start()
{
    m_follower.start();
    registerHost();
}

void FleetMember::configurationRead(std::shared_ptr<const GatewayConfiguration> configuration)
{
    m_gateway.setConfiguration(std::move(configuration));
    m_gateway.serversChanged();
}

void FleetMember::serversListed(const std::vector<ServerEntry>& servers)
{
    if (!m_listedAt)
        m_listedAt = m_clock();
    for (const std::string& id : m_gateway.directory().replaceAll(servers, m_clock()))
        logEvent(LogEvent::ServerRemoved, { { "server", id }, { "reason", "not listed" } });
    m_gateway.serversChanged();
}

void FleetMember::serverWritten(const ServerEntry& entry)
{
    m_gateway.directory().put(entry);
    m_gateway.serversChanged();
}

void FleetMember::serverErased(const std::string& id)
{
    const bool removed = m_gateway.directory().remove(id, m_clock());
    logEvent(LogEvent::ServerRemoved,
        { { "server", id }, { "reason", removed ? "left" : "registration ended; kept for the grace time" } });
    m_gateway.serversChanged();
}

void FleetMember::storeReachable(bool reachable)
{
    if (reachable) {
        m_gateway.directory().storeBack(m_clock());
        m_storeBackAt = m_clock();
    } else
        m_gateway.directory().storeLost();
}

void FleetMember::ownItemsChanged()
{
    std::set<std::string> listed;
    for (const auto& [key, item] : m_follower.ownItems()) {
        if (key.rfind(hostsPrefix, 0) != 0)
            continue;
        try {
            const web::json::value value = web::json::value::parse(item.value);
            const std::string host = value.at("host").as_string();
            const auto incarnation = static_cast<uint64_t>(value.at("incarnation").as_number().to_int64());
            if (host == m_gatewaySettings.host)
                continue;
            listed.insert(host);
            Peer& peer = m_peers.try_emplace(host).first->second;
            if (peer.listedAt == Instant())
                peer.listedAt = m_clock();
            if (incarnation >= peer.incarnation) {
                peer.incarnation = incarnation;
                peer.address = value.at("address").as_string();
                peer.region = value.has_field("region") ? value.at("region").as_string() : std::string();
            }
        } catch (const std::exception& error) {
            logEvent(LogEvent::StoreItemRejected, { { "key", key }, { "reason", error.what() } });
        }
    }
    for (auto& [host, peer] : m_peers)
        peer.registered = listed.count(host) != 0;
    fleetChanged();
    chooseSource();
    const auto duty = m_follower.ownItems().find(dutyKey);
    const bool free = duty == m_follower.ownItems().end();
    if (m_duty.holding() && !free && duty->second.value != m_gatewaySettings.host + " " + std::to_string(m_incarnation))
        dutyEnded();
    if (free && !m_duty.holding() && m_claimAt == Instant())
        m_claimAt = m_clock() + claimDelay(Duration(0));
}

void FleetMember::registerHost()
{
    if (m_leaving)
        return;
    m_store.createLease(m_settings.registrationLease, [this](const StoreResult& lease) {
        if (lease.outcome != StoreOutcome::Ok) {
            m_after(retryRegistration, [this] { registerHost(); });
            return;
        }
        m_registrationLease = lease.number;
        web::json::value value = web::json::value::object();
        value["host"] = web::json::value::string(m_gatewaySettings.host);
        value["address"] = web::json::value::string(m_gatewaySettings.peerAddress);
        value["region"] = web::json::value::string(m_gatewaySettings.region);
        value["incarnation"] = web::json::value::number(m_incarnation);
        StoreWrite write;
        write.key = hostsPrefix + m_gatewaySettings.host + "/" + std::to_string(m_incarnation) + "/"
            + std::to_string(lease.number);
        write.value = value.serialize();
        write.lease = lease.number;
        m_store.write(write, [this](const StoreResult& result) {
            if (result.outcome == StoreOutcome::Ok || result.outcome == StoreOutcome::Conflict)
                m_after(m_settings.registrationRenewal, [this] { renewRegistration(); });
            else
                m_after(retryRegistration, [this] { registerHost(); });
        });
    });
}

void FleetMember::renewRegistration()
{
    if (m_leaving)
        return;
    m_store.keepLease(m_registrationLease, [this](const StoreResult& result) {
        if (result.outcome == StoreOutcome::NotFound)
            registerHost();
        else
            m_after(result.outcome == StoreOutcome::Ok ? m_settings.registrationRenewal : retryRegistration,
                [this] { renewRegistration(); });
    });
}

void FleetMember::claimDuty()
{
    if (m_claiming || m_yielded || m_gatewaySettings.promotionAddress.empty())
        return;
    m_claiming = true;
    const Instant sentAt = m_clock();
    m_store.createLease(m_settings.dutyLease, [this, sentAt](const StoreResult& lease) {
        if (lease.outcome != StoreOutcome::Ok) {
            m_claiming = false;
            return;
        }
        StoreWrite write;
        write.key = dutyKey;
        write.value = m_gatewaySettings.host + " " + std::to_string(m_incarnation);
        write.lease = lease.number;
        m_store.write(write, [this, sentAt, number = lease.number](const StoreResult& result) {
            m_claiming = false;
            if (result.outcome != StoreOutcome::Ok) {
                m_store.endLease(number, [](const StoreResult&) {});
                return;
            }
            if (m_yielded) {
                m_store.endLease(number, [](const StoreResult&) {});
                return;
            }
            m_dutyLease = number;
            m_dutyGoodUntil = sentAt + m_settings.dutyLease - m_settings.dutyMargin;
            m_duty.hold(true, result.number);
            m_after(m_settings.dutyRenewal, [this] { renewDuty(); });
        });
    });
}

void FleetMember::renewDuty()
{
    if (!m_duty.holding() || m_yielded)
        return;
    const Instant sentAt = m_clock();
    m_store.keepLease(m_dutyLease, [this, sentAt](const StoreResult& result) {
        if (!m_duty.holding())
            return;
        if (result.outcome == StoreOutcome::NotFound) {
            dutyEnded();
            return;
        }
        if (result.outcome == StoreOutcome::Ok)
            m_dutyGoodUntil = sentAt + m_settings.dutyLease - m_settings.dutyMargin;
        m_after(result.outcome == StoreOutcome::Ok ? m_settings.dutyRenewal : m_settings.dutyRenewal / 4,
            [this] { renewDuty(); });
    });
}

void FleetMember::dutyEnded() { m_duty.hold(false, 0); }

bool FleetMember::dutyAllowed() const
{
    const Instant now = m_clock();
    if (!m_listedAt || now - *m_listedAt < m_settings.settleTime || now - m_storeBackAt < m_settings.settleTime)
        return false;
    if (now < m_dutyGoodUntil)
        return true;
    if (m_follower.reachable() || now > m_dutyGoodUntil + m_settings.outageLimit)
        return false;
    // Nobody can have taken over while nobody reaches the store.
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !peer.second.storeReachable && now - peer.second.heard < silenceLimit(peer.second);
    });
}

void FleetMember::tick()
{
    const Instant now = m_clock();
    if (m_claimAt != Instant() && now >= m_claimAt) {
        m_claimAt = Instant();
        const bool free = m_follower.ownItems().count(dutyKey) == 0;
        if (free && m_follower.reachable() && !m_duty.holding() && now >= m_noClaimBefore)
            claimDuty();
    }
    const bool unclaimed = m_follower.listed() && m_follower.reachable() && !m_duty.holding() && !m_claiming
        && m_follower.ownItems().count(dutyKey) == 0;
    if (unclaimed && m_claimAt == Instant())
        m_claimAt = now + claimDelay(claimPause);
    if (now >= m_reportAt)
        sendReports();
    greet();
    probe();
    if (m_fleetChanged)
        fleetChanged();
    if (now >= m_relayAt) {
        m_relayAt = now + m_settings.relayEvery;
        chooseSource();
        if (m_source == StoreSource::WatchForOthers && m_follower.reachable())
            relay(m_follower.standing());
    }
    m_evidence.tick([this] { return watchingHosts(); });
    m_changes.tick(m_follower.lackingAfter(), [this] { return watchingHosts(); });
    m_quota.tick();
    m_duty.tick(dutyAllowed());
    if (m_duty.holding() && m_duty.outOfReach() && !m_peers.empty())
        passDutyOn();
}

bool FleetMember::largeFleet() const { return m_peers.size() + 1 >= m_gatewaySettings.largeFleet; }

bool FleetMember::reportsSparsely(const Peer& peer) const
{
    return largeFleet() && peer.region != m_gatewaySettings.region;
}

Duration FleetMember::silenceLimit(const Peer& peer) const
{
    const Duration interval = reportInterval() * (reportsSparsely(peer) ? m_settings.sparseReports : 1U);
    return interval * m_settings.silentReports;
}

// Hosts claim in the order of a hash of their names: the first ends the others' claims before they are made.
Duration FleetMember::claimDelay(Duration least)
{
    const auto place = [](const std::string& host) { return XXH64(host.data(), host.size(), 0); };
    const uint64_t own = place(m_gatewaySettings.host);
    const auto ahead = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return peer.second.registered && peer.second.storeReachable && !outOfReach(peer.second)
            && place(peer.first) < own;
    });
    const size_t steps = std::min(static_cast<size_t>(ahead), maxClaimSteps);
    // A new process does not know the fleet yet, and may not order anything before the settle time.
    const bool first = !m_listedAt || m_clock() - *m_listedAt < m_settings.settleTime / 2;
    return least + (first ? firstClaimPause : Duration(0)) + claimStep * steps
        + Duration(std::uniform_int_distribution<int64_t>(0, claimStep.count())(m_random));
}

// A host that was never heard is taken to be in reach until its reports are overdue.
bool FleetMember::outOfReach(const Peer& peer) const
{
    return peer.silent && (peer.probed || m_clock() - std::max(peer.listedAt, peer.heard) > silenceLimit(peer));
}

std::vector<std::string> FleetMember::relays() const
{
    std::vector<RelayCandidate> candidates;
    if (m_follower.reachable())
        candidates.push_back({ m_gatewaySettings.host, m_gatewaySettings.region });
    for (const auto& [host, peer] : m_peers) {
        if (peer.registered && peer.storeReachable && !outOfReach(peer))
            candidates.push_back({ host, peer.region });
    }
    return relaysOf(m_gatewaySettings.region, candidates, m_settings.relaysPerRegion);
}

StoreSource FleetMember::storeSource() const
{
    const bool refused = std::any_of(m_peers.begin(), m_peers.end(),
        [](const auto& peer) { return !peer.second.silent && !peer.second.storeReachable; });
    if (!largeFleet() && m_follower.reachable() && !refused)
        return StoreSource::Watch;
    if (!largeFleet() && !m_follower.reachable())
        return m_follower.listed() ? StoreSource::Relay : StoreSource::Watch;
    const std::vector<std::string> hosts = relays();
    if (std::find(hosts.begin(), hosts.end(), m_gatewaySettings.host) != hosts.end())
        return StoreSource::WatchForOthers;
    // Orders to promote must not rest on what another host believes.
    return m_duty.holding() || !largeFleet() ? StoreSource::Watch : StoreSource::Relay;
}

void FleetMember::chooseSource()
{
    const StoreSource source = storeSource();
    if (source == m_source)
        return;
    m_source = source;
    m_follower.setSource(source);
    m_gateway.setEvidenceFromPeers(source == StoreSource::Relay && largeFleet());
    logEvent(LogEvent::StoreSourceChanged,
        { { "source", storeSourceName(source) }, { "hosts", m_peers.size() + 1 },
            { "revision", m_follower.standing().to } });
}

std::vector<std::pair<std::string, std::string>> FleetMember::watchingHosts() const
{
    std::vector<std::pair<std::string, std::string>> sources;
    if (m_source != StoreSource::Relay)
        return sources;
    for (const std::string& host : relays()) {
        const auto it = m_peers.find(host);
        if (it != m_peers.end() && !it->second.address.empty())
            sources.emplace_back(host, it->second.address);
    }
    // Hosts begin with different ones, so that the load is spread.
    if (!sources.empty())
        std::rotate(
            sources.begin(), sources.begin() + static_cast<ptrdiff_t>(m_incarnation % sources.size()), sources.end());
    return sources;
}

void FleetMember::relay(const StoreEvents& events)
{
    for (const std::string& datagram : encodeStoreEvents(events)) {
        for (const auto& [host, peer] : m_peers) {
            if (peer.region == m_gatewaySettings.region && !peer.address.empty() && !outOfReach(peer))
                m_channel.send(peer.address, datagram);
        }
    }
}

void FleetMember::eventsRead(const StoreEvents& events)
{
    // Hosts that the store will refuse from now on need also what comes before the others notice and tell them.
    m_changes.keep(events);
    if (m_source == StoreSource::WatchForOthers && events.from < events.to)
        relay(events);
}

Duration FleetMember::reportInterval() const
{
    return m_settings.reportEvery * std::max<size_t>(1, (m_peers.size() + 1) / m_settings.reportHosts);
}

void FleetMember::fleetChanged()
{
    const Instant now = m_clock();
    m_fleetChanged = false;
    std::map<std::string, std::string> inReach;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        Peer& peer = it->second;
        if (!peer.registered && peer.silent && now - peer.heard > m_settings.reservation) {
            it = m_peers.erase(it);
            continue;
        }
        if (!peer.silent)
            inReach[it->first] = peer.address;
        ++it;
    }
    m_gateway.setHosts(m_peers.size() + 1);
    m_gateway.setSharedConnections(largeFleet());
    m_quota.setFleet(std::move(inReach), m_peers.size() + 1);
}

FleetMember::Primaries FleetMember::provenPrimaries() const
{
    Primaries result;
    if (m_gateway.configuration() == nullptr)
        return result;
    for (const auto& [name, service] : m_gateway.configuration()->services) {
        const std::pair<std::string, uint64_t> primary = m_gateway.directory().provenPrimary(name);
        if (!primary.first.empty())
            result.emplace(name, primary);
    }
    return result;
}

std::string FleetMember::report(ReportKind kind, const Primaries& primaries) const
{
    web::json::value value = web::json::value::object();
    value["h"] = web::json::value::string(m_gatewaySettings.host);
    value["i"] = web::json::value::number(m_incarnation);
    value["s"] = web::json::value::boolean(m_follower.reachable());
    if (kind == ReportKind::Leaving)
        value["e"] = web::json::value::boolean(true);
    if (kind == ReportKind::Asking)
        value["q"] = web::json::value::boolean(true);
    if (primaries.empty())
        return value.serialize();
    web::json::value entries = web::json::value::object();
    for (const auto& [service, primary] : primaries)
        entries[service] = web::json::value::array(
            { web::json::value::string(primary.first), web::json::value::number(primary.second) });
    value["p"] = entries;
    return value.serialize();
}

void FleetMember::sendReports()
{
    const Instant now = m_clock();
    m_reportAt = now + reportInterval();
    Primaries primaries = provenPrimaries();
    if (primaries != m_reported)
        m_repeats = m_settings.primariesRepeats;
    const bool complete = m_repeats > 0 || m_reports % m_settings.primariesEvery == 0;
    m_reported = std::move(primaries);
    const std::string full = report(ReportKind::Plain, m_reported);
    const std::string brief = complete ? full : report(ReportKind::Plain, {});
    // New knowledge goes everywhere at once.
    const bool due = m_repeats > 0 || m_reports % m_settings.sparseReports == 0;
    for (auto& [host, peer] : m_peers) {
        if (!peer.silent && now - peer.heard > silenceLimit(peer))
            noteSilent(host, peer, "reports are overdue");
        if (peer.address.empty() || (reportsSparsely(peer) && peer.informed && !due))
            continue;
        m_channel.send(peer.address, peer.informed ? brief : full);
        peer.informed = !peer.silent;
    }
    ++m_reports;
    m_repeats -= std::min(m_repeats, 1U);
    fleetChanged();
}

void FleetMember::noteSilent(const std::string& host, Peer& peer, const std::string& reason)
{
    peer.silent = true;
    peer.informed = false;
    logEvent(LogEvent::PeerSilent,
        { { "peer", host }, { "reason", reason },
            { "silent_ms", std::chrono::duration_cast<Duration>(m_clock() - peer.heard).count() / 1000 } });
}

// Hosts that do not know each other yet count customers' operations apart, each within its part of the rate. In large
// fleets reports are seconds apart, so a host that becomes known is told, and asked, at once.
void FleetMember::greet()
{
    std::string asking;
    std::string plain;
    for (auto& [host, peer] : m_peers) {
        if (peer.greeted == peer.incarnation || peer.address.empty())
            continue;
        peer.greeted = peer.incarnation;
        std::string& text = peer.silent ? asking : plain;
        if (text.empty())
            text = report(peer.silent ? ReportKind::Asking : ReportKind::Plain, {});
        m_channel.send(peer.address, text);
    }
}

// After a partition customers' operations are counted anew on each side, by the hosts in reach. Reports show it only
// after several intervals, so hosts that fail to answer questions make this one ask everybody.
void FleetMember::probe()
{
    const Instant now = m_clock();
    const auto ask = [&](Instant unlessHeardSince) {
        const std::string text = report(ReportKind::Asking, {});
        for (const auto& [host, peer] : m_peers) {
            if (!peer.silent && peer.heard < unlessHeardSince)
                m_channel.send(peer.address, text);
        }
    };
    if (m_probeStarted == Instant()) {
        const bool useful = reportInterval() * m_settings.silentReports > 2 * m_settings.probeLimit;
        if (!useful || m_quota.suspects() < m_settings.suspects || now < m_noProbeBefore)
            return;
        m_probeStarted = now;
        m_probeRepeated = false;
        ask(now);
        return;
    }
    if (!m_probeRepeated && now - m_probeStarted >= m_settings.probeRepeat) {
        m_probeRepeated = true;
        ask(m_probeStarted);
    }
    if (now - m_probeStarted < m_settings.probeLimit)
        return;
    for (auto& [host, peer] : m_peers) {
        if (peer.silent || peer.heard >= m_probeStarted)
            continue;
        noteSilent(host, peer, "did not answer a probe");
        peer.probed = true;
    }
    m_probeStarted = Instant();
    m_noProbeBefore = now + m_settings.probePause;
    fleetChanged();
}

void FleetMember::peerDatagram(const std::string& datagram)
{
    if (m_quota.datagram(datagram))
        return;
    try {
        const auto addressOf = [this](const std::string& host) {
            const auto it = m_peers.find(host);
            return it == m_peers.end() ? std::string() : it->second.address;
        };
        if (m_evidence.datagram(datagram, addressOf))
            return;
        std::optional<StoreEvents> changes;
        if (m_changes.datagram(datagram, addressOf, changes)) {
            if (changes)
                m_follower.relayed(*changes);
            return;
        }
        if (isStoreEvents(datagram)) {
            m_follower.relayed(decodeStoreEvents(datagram));
            return;
        }
        const web::json::value value = web::json::value::parse(datagram);
        const std::string host = value.at("h").as_string();
        const auto incarnation = static_cast<uint64_t>(value.at("i").as_number().to_int64());
        const auto it = m_peers.find(host);
        if (it == m_peers.end() || incarnation < it->second.incarnation)
            return;
        if (value.has_field("e")) {
            m_peers.erase(it);
            m_fleetChanged = true;
            return;
        }
        Peer& peer = it->second;
        peer.heard = m_clock();
        m_quota.heard(host);
        peer.storeReachable = value.at("s").as_bool();
        if (value.has_field("p")) {
            for (const auto& [service, entry] : value.at("p").as_object()) {
                const std::string id = entry.at(0).as_string();
                const auto term = static_cast<uint64_t>(entry.at(1).as_number().to_int64());
                if (!m_gateway.directory().hearPrimary(service, id, term, m_clock()))
                    continue;
                // What others tell everybody need not be told again.
                m_reported[service] = { id, term };
                logEvent(LogEvent::PrimaryChanged,
                    { { "service", service }, { "server", id }, { "term", term }, { "source", host } });
            }
        }
        if (value.has_field("q") || peer.silent)
            m_channel.send(peer.address, report(ReportKind::Plain, {}));
        if (!peer.silent)
            return;
        peer.silent = false;
        peer.probed = false;
        m_fleetChanged = true;
        logEvent(LogEvent::PeerHeard, { { "peer", host }, { "incarnation", incarnation } });
    } catch (const std::exception& error) {
        logEvent(LogEvent::BadRequest, { { "from", "peer" }, { "reason", error.what() } });
    }
}

size_t FleetMember::hostsInReach() const
{
    return 1 + static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& peer) {
        return !peer.second.silent;
    }));
}

std::vector<std::pair<std::string, std::string>> FleetMember::lenders(const std::string& dataCentre) const
{
    std::vector<std::pair<std::string, std::string>> hosts;
    const auto region = m_gatewaySettings.regionOfDataCentre.find(dataCentre);
    if (!largeFleet() || region == m_gatewaySettings.regionOfDataCentre.end())
        return hosts;
    if (region->second == m_gatewaySettings.region && !m_leaving && !m_gateway.draining())
        hosts.emplace_back(m_gatewaySettings.host, std::string());
    for (const auto& [host, peer] : m_peers) {
        if (peer.region == region->second && !peer.silent && !peer.address.empty())
            hosts.emplace_back(host, peer.address);
    }
    return hosts;
}

size_t FleetMember::lendingHosts() const
{
    return 1 + static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !peer.second.silent && peer.second.region == m_gatewaySettings.region;
    }));
}

void FleetMember::passDutyOn()
{
    if (!m_duty.holding())
        return;
    m_noClaimBefore = m_clock() + m_settings.dutyPause;
    m_duty.hold(false, 0);
    m_store.endLease(m_dutyLease, [](const StoreResult&) {});
}

void FleetMember::yieldDuty()
{
    m_yielded = true;
    passDutyOn();
}

void FleetMember::leave()
{
    if (m_leaving)
        return;
    m_leaving = true;
    for (const auto& [host, peer] : m_peers)
        m_channel.send(peer.address, report(ReportKind::Leaving, {}));
    yieldDuty();
    if (m_registrationLease != 0)
        m_store.endLease(m_registrationLease, [](const StoreResult&) {});
}

} // namespace plantainwall
