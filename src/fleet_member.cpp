#include "fleet_member.h"
#include "host_capacity.h"
#include "json_number.h"
#include "log_event.h"
#include <algorithm>
#include <charconv>

namespace plantainwall {

namespace {

    const std::string hostsPrefix = std::string(StoreFollower::ownPrefix) + "hosts/";

    constexpr Duration registrationRetryDelay = std::chrono::seconds(1);

    /// Returns the era in which a registration was made, according to its key; 0 if the key names none.
    uint64_t eraOfRegistration(const std::string& key)
    {
        const size_t begin = key.rfind('/') + 1;
        const size_t end = key.find('-', begin);
        uint64_t era = 0;
        if (end != std::string::npos)
            std::from_chars(key.data() + begin, key.data() + end, era);
        return era;
    }

} // namespace

FleetMember::FleetMember(const GatewaySettings& settings, Gateway& gateway, QuotaExchange& quota,
    PromotionCoordinator& coordinator, ProbeExchange& probeExchange, MetadataStore& store, const StoreDecoder& decoder,
    PeerChannel& channel, DelayedCall after, Gateway::Clock clock, uint64_t incarnation, uint64_t seed)
    : m_gatewaySettings(settings)
    , m_gateway(gateway)
    , m_quota(quota)
    , m_coordinator(coordinator)
    , m_probeExchange(probeExchange)
    , m_store(store)
    , m_channel(channel)
    , m_after(std::move(after))
    , m_clock(std::move(clock))
    , m_incarnation(incarnation)
    , m_random(seed)
    , m_follower(store, decoder, *this, m_after, m_clock, followerSettings())
    , m_positionExchange(settings.host, channel, m_clock, gateway, firstPeerRequest(incarnation))
    , m_changeExchange(settings.host, channel, m_clock, [this] { return m_follower.listing(); })
    , m_revocations(settings.host, incarnation, channel, m_clock, gateway)
    , m_leaseGrantor(settings.primaryLease)
    , m_leaseRequest(firstPeerRequest(incarnation) - 1)
{
    m_coordinator.setRevocations(m_revocations);
    if (m_gateway.primaryLeases().required())
        m_coordinator.setGuard(*this);
    m_settings.coordinatorLease = std::max(m_settings.coordinatorLease, settings.storeMinLease);
}

StoreFollowerSettings FleetMember::followerSettings()
{
    StoreFollowerSettings settings;
    settings.restoredListDelay = restoredDelay();
    return settings;
}

Duration FleetMember::restoredDelay()
{
    return Duration(std::uniform_int_distribution<int64_t>(0, m_settings.restoredSpread.count())(m_random));
}

void FleetMember::start()
{
    m_follower.start();
    registerHost();
}

void FleetMember::configurationRead(std::shared_ptr<const GatewayConfiguration> configuration)
{
    m_gateway.setConfiguration(std::move(configuration));
    m_replicaItemsChanged = true;
    m_fleetChanged = true;
    m_gateway.serversChanged();
}

void FleetMember::serversListed(const std::vector<ServerEntry>& servers)
{
    if (!m_listedAt && m_follower.listedFromStore())
        m_listedAt = m_clock();
    for (const std::string& id : m_gateway.directory().replaceAll(servers, m_clock()))
        logEvent(LogEvent::ServerRemoved, { { "server", id }, { "reason", "not listed" } });
    m_gateway.serversChanged();
}

void FleetMember::serverWritten(const ServerEntry& entry)
{
    m_gateway.directory().registerServer(entry);
    m_gateway.serversChanged();
}

void FleetMember::serverErased(const std::string& id)
{
    const bool removed = m_gateway.directory().remove(id, m_clock());
    logEvent(LogEvent::ServerRemoved,
        { { "server", id }, { "reason", removed ? "left" : "registration ended; kept for the grace time" } });
    m_gateway.serversChanged();
}

void FleetMember::evacuationsListed(const std::vector<std::string>& dataCentres)
{
    const Evacuations::Change change = m_gateway.evacuations().list(dataCentres);
    for (const std::string& dataCentre : change.started)
        logEvent(LogEvent::EvacuationStarted, { { "data_centre", dataCentre }, { "reason", "listed" } });
    for (const std::string& dataCentre : change.ended)
        logEvent(LogEvent::EvacuationEnded, { { "data_centre", dataCentre }, { "reason", "not listed" } });
    for (const std::string& dataCentre : change.kept)
        logEvent(LogEvent::EvacuationStarted,
            { { "data_centre", dataCentre }, { "reason", "kept after a restore of the store" } });
    if (!change.started.empty() || !change.ended.empty())
        m_gateway.evacuationsChanged();
}

void FleetMember::evacuationWritten(const std::string& dataCentre)
{
    if (!m_gateway.evacuations().request(dataCentre))
        return;
    logEvent(LogEvent::EvacuationStarted, { { "data_centre", dataCentre }, { "reason", "requested" } });
    m_gateway.evacuationsChanged();
}

void FleetMember::evacuationErased(const std::string& dataCentre)
{
    if (!m_gateway.evacuations().takeBack(dataCentre))
        return;
    logEvent(LogEvent::EvacuationEnded, { { "data_centre", dataCentre }, { "reason", "taken back" } });
    m_gateway.evacuationsChanged();
}

void FleetMember::storeReachable(bool reachable)
{
    if (reachable) {
        m_recordReadFailed = false;
        m_gateway.directory().storeReachableAgain(m_clock());
        m_storeReachableSince = m_clock();
    } else
        m_gateway.directory().storeBecameUnreachable();
}

void FleetMember::eraRead(uint64_t era, bool restored)
{
    m_changeExchange.setEra(era);
    if (!restored)
        return;
    // Leases of the earlier era are neither renewed nor ended: their ids may be given out again.
    m_registrationLease = 0;
    m_registrationRevision = 0;
    ++m_registrationAttempt;
    afterRegistration(restoredDelay(), &FleetMember::registerHost);
    ++m_coordination;
    m_claiming = false;
    m_claimAt = Instant();
    coordinationEnded();
    m_outdatedClaim.reset();
    m_revocations.records().storeRestored();
    // Registrations of the copy may be incomplete.
    m_listedAt.reset();
    m_gateway.evacuations().storeRestored();
    m_gateway.directory().storeRestored(m_clock());
}

/// A registration of a host's process in the store.
struct FleetMember::Registration {
    std::string host;
    uint64_t incarnation = 0;
    std::pair<uint64_t, uint64_t> version; ///< Era and revision.
    std::string address;
    std::string region;
    std::string dataCentre;
    double capacity = 1;
    bool distributes = false;
};

/// Returns the registrations of all hosts, the latest ones last. Malformed ones are logged and left out.
/// @param outdated Set if some are of an earlier era, whose leases may not have ended yet.
std::vector<FleetMember::Registration> FleetMember::registrations(bool& outdated) const
{
    std::vector<Registration> result;
    outdated = false;
    const std::map<std::string, StoreItem>& items = m_follower.items();
    for (auto it = items.lower_bound(hostsPrefix); it != items.end() && it->first.rfind(hostsPrefix, 0) == 0; ++it) {
        // A registration of an earlier era may be under another host's lease, which may never end.
        const uint64_t era = eraOfRegistration(it->first);
        if (era != 0 && era < m_follower.era() && m_listedAt) {
            if (m_clock() - *m_listedAt >= m_settings.registrationLease)
                continue;
            outdated = true;
        }
        try {
            const web::json::value value = web::json::value::parse(it->second.value);
            Registration registration;
            registration.host = value.at("host").as_string();
            registration.incarnation = unsignedFrom(value.at("incarnation"));
            registration.version = { era, it->second.revision };
            registration.address = value.at("address").as_string();
            registration.region = value.has_field("region") ? value.at("region").as_string() : std::string();
            registration.dataCentre
                = value.has_field("data_centre") ? value.at("data_centre").as_string() : std::string();
            const double capacity = value.has_field("capacity") ? value.at("capacity").as_double() : 0;
            registration.capacity = capacity > 0 && capacity <= maxHostCapacity ? capacity : 1;
            registration.distributes = value.has_field("distributes") && value.at("distributes").as_bool();
            result.push_back(std::move(registration));
        } catch (const std::exception& error) {
            logEvent(LogEvent::StoreItemRejected, { { "key", it->first }, { "reason", error.what() } });
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.version < b.version; });
    return result;
}

// The store's order of registrations tells which process of a host runs. Incarnations do not: a clock may be set back
// between two starts.
void FleetMember::noteRegistration(const Registration& registration)
{
    Peer& peer = m_peers.try_emplace(registration.host).first->second;
    if (peer.listedAt == Instant())
        peer.listedAt = m_clock();
    if (peer.registered && peer.incarnation != registration.incarnation)
        peer.endedIncarnations.insert(peer.incarnation);
    if (peer.incarnation != 0 && peer.incarnation != registration.incarnation)
        m_revocations.noteDeparture();
    // The numbers of a process may be lower than those of the one before, if the time of day was set back.
    if (peer.incarnation != registration.incarnation)
        peer.leaseRequest = 0;
    peer.endedIncarnations.erase(registration.incarnation);
    peer.registered = true;
    peer.incarnation = registration.incarnation;
    peer.address = registration.address;
    peer.region = registration.region;
    peer.dataCentre = registration.dataCentre;
    peer.capacity = registration.capacity;
    peer.distributes = registration.distributes;
}

void FleetMember::ownItemsChanged()
{
    m_replicaItemsChanged = true;
    m_revocationItemsChanged = true;
    std::set<std::string> registeredBefore;
    for (auto& [host, peer] : m_peers) {
        if (peer.registered)
            registeredBefore.insert(host);
        peer.registered = false;
        peer.endedIncarnations.clear();
    }
    bool outdated = false;
    for (const Registration& registration : registrations(outdated)) {
        if (registration.host != m_gatewaySettings.host) {
            noteRegistration(registration);
            continue;
        }
        // An earlier process of this host registered late. The others take the last registration for that of the
        // running process.
        const std::pair<uint64_t, uint64_t> own(m_follower.era(), m_registrationRevision);
        if (m_registrationRevision != 0 && registration.incarnation != m_incarnation && own < registration.version)
            afterRegistration(registrationRetryDelay, &FleetMember::registerHost);
    }
    if (std::any_of(registeredBefore.begin(), registeredBefore.end(),
            [this](const std::string& host) { return !m_peers.at(host).registered; }))
        m_revocations.noteDeparture();
    const std::map<std::string, StoreItem>& items = m_follower.items();
    const auto record = items.find(primaryRecordKey);
    if (record != items.end())
        adoptPrimaryRecord({ m_follower.era(), record->second.revision }, record->second.value, "store");
    m_outdatedRegistrationsEnd = outdated ? *m_listedAt + m_settings.registrationLease : Instant();
    fleetChanged();
    chooseSource();
    coordinatorItemRead();
}

bool FleetMember::isOfNewestEra(const StoreResult& result, std::string_view call)
{
    m_follower.noteEra(result.era, call);
    return result.era == 0 || result.era == m_follower.era();
}

// An item with another revision is not this host's, so nothing happens to it.
void FleetMember::removeItem(const std::string& key, uint64_t revision)
{
    StoreWrite write;
    write.key = key;
    write.expectedRevision = revision;
    write.removes = true;
    m_store.write(write, [this](const StoreResult& result) { isOfNewestEra(result, "write"); });
}

void FleetMember::afterRegistration(Duration delay, void (FleetMember::*next)())
{
    m_after(delay, [this, next, attempt = m_registrationAttempt] {
        if (attempt == m_registrationAttempt)
            (this->*next)();
    });
}

void FleetMember::registerHost()
{
    if (m_leaving)
        return;
    const uint64_t attempt = ++m_registrationAttempt;
    m_store.createLease(m_settings.registrationLease, [this, attempt](const StoreResult& lease) {
        const bool newestEra = isOfNewestEra(lease, "lease");
        if (attempt != m_registrationAttempt)
            return;
        if (lease.outcome == StoreOutcome::Ok && newestEra)
            registrationLeaseGranted(lease);
        else
            afterRegistration(registrationRetryDelay, &FleetMember::registerHost);
    });
}

void FleetMember::registrationLeaseGranted(const StoreResult& lease)
{
    m_registrationLease = lease.number;
    web::json::value value = web::json::value::object();
    value["host"] = web::json::value::string(m_gatewaySettings.host);
    value["address"] = web::json::value::string(
        m_gatewaySettings.peerAdvertised.empty() ? m_gatewaySettings.peerAddress : m_gatewaySettings.peerAdvertised);
    value["region"] = web::json::value::string(m_gatewaySettings.region);
    value["data_centre"] = web::json::value::string(m_gatewaySettings.dataCentre);
    value["incarnation"] = web::json::value::number(m_incarnation);
    value["capacity"] = web::json::value::number(m_gatewaySettings.capacity);
    if (m_gatewaySettings.localDistribution)
        value["distributes"] = web::json::value::boolean(true);
    StoreWrite write;
    write.key = hostsPrefix + m_gatewaySettings.host + "/" + std::to_string(m_incarnation) + "/"
        + std::to_string(lease.era) + "-" + std::to_string(lease.number);
    write.value = value.serialize();
    write.lease = lease.number;
    m_registrationKey = write.key;
    m_registrationRevision = 0;
    m_store.write(write, [this, attempt = m_registrationAttempt](const StoreResult& result) {
        isOfNewestEra(result, "write");
        if (attempt != m_registrationAttempt)
            return;
        // After a conflict the item belongs to an unknown lease, so the host registers with a new one.
        if (result.outcome == StoreOutcome::Ok) {
            m_registrationRevision = result.number;
            afterRegistration(m_settings.registrationRenewal, &FleetMember::renewRegistration);
        } else
            afterRegistration(registrationRetryDelay, &FleetMember::registerHost);
    });
}

void FleetMember::renewRegistration()
{
    if (m_leaving)
        return;
    m_store.keepLease(m_registrationLease, [this, attempt = m_registrationAttempt](const StoreResult& result) {
        isOfNewestEra(result, "lease renewal");
        if (attempt != m_registrationAttempt)
            return;
        if (result.outcome == StoreOutcome::NotFound)
            registerHost();
        else
            afterRegistration(
                result.outcome == StoreOutcome::Ok ? m_settings.registrationRenewal : registrationRetryDelay,
                &FleetMember::renewRegistration);
    });
}

void FleetMember::tick()
{
    const Instant now = m_clock();
    if (now - m_tickedAt > m_settings.maxTickGap) {
        m_lateTickAt = now;
        m_lateBy = std::chrono::duration_cast<Duration>(now - m_tickedAt);
    }
    m_tickedAt = now;
    if (now >= m_reportAt)
        sendReports();
    sendFirstReports();
    probe();
    if (m_outdatedRegistrationsEnd != Instant() && now >= m_outdatedRegistrationsEnd)
        ownItemsChanged();
    if (m_fleetChanged)
        fleetChanged();
    if (now >= m_relayAt) {
        m_relayAt = now + m_settings.relayInterval;
        chooseSource();
        updateDistribution();
        if (m_source == StoreSource::WatchForOthers && m_follower.reachable() && m_follower.listed())
            relayState();
    }
    m_positionExchange.tick([this] { return positionSources(); });
    m_changeExchange.tick(m_follower.missingAfter(), [this] { return changeSources(); });
    if (m_changeExchange.isReceiving())
        m_follower.notePeerProgress();
    m_quota.tick();
    tickReplicaRecords();
    tickLeases();
    m_probeExchange.tick([this] { return probingHosts(); });
    tickCoordinator();
    tickRevocations();
}

bool FleetMember::largeFleet() const
{
    return m_peers.size() + 1 >= m_gatewaySettings.largeFleet || m_connectionsScarce;
}

unsigned FleetMember::smallestConnectionLimit() const
{
    unsigned smallest = 0;
    if (m_gateway.configuration() == nullptr)
        return smallest;
    for (const auto& [name, service] : m_gateway.configuration()->services) {
        if (service.maxConnections != 0 && (smallest == 0 || service.maxConnections < smallest))
            smallest = service.maxConnections;
    }
    return smallest;
}

void FleetMember::fleetChanged()
{
    const Instant now = m_clock();
    m_fleetChanged = false;
    m_lenders.clear();
    double strongest = m_gatewaySettings.capacity;
    std::map<std::string, std::string> reachableHosts;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        Peer& peer = it->second;
        if (!peer.registered && peer.silent && now - peer.lastSeen > m_settings.quotaReservationTime) {
            m_gateway.forgetReports(it->first);
            m_revocations.noteDeparture();
            it = m_peers.erase(it);
            continue;
        }
        if (!peer.silent) {
            reachableHosts[it->first] = peer.address;
            strongest = std::max(strongest, peer.capacity);
        }
        ++it;
    }
    std::set<std::string> weakHosts;
    if (!isStrongHost(m_gatewaySettings.capacity, strongest))
        weakHosts.insert(m_gatewaySettings.host);
    for (const auto& [host, address] : reachableHosts) {
        if (!isStrongHost(m_peers.at(host).capacity, strongest))
            weakHosts.insert(host);
    }
    std::vector<std::string> otherHosts;
    otherHosts.reserve(m_peers.size());
    for (const auto& [host, peer] : m_peers)
        otherHosts.push_back(host);
    m_gateway.setHosts(m_peers.size() + 1);
    const bool scarce = m_connectionScarcity.update(smallestConnectionLimit(), m_peers.size() + 1);
    if (scarce != m_connectionsScarce)
        logEvent(LogEvent::ConnectionSharingChanged,
            { { "scarce", scarce }, { "hosts", m_peers.size() + 1 }, { "smallest_limit", smallestConnectionLimit() } });
    m_connectionsScarce = scarce;
    m_gateway.setOtherHosts(std::move(otherHosts));
    m_gateway.setSharedConnections(largeFleet());
    m_quota.setFleet(std::move(reachableHosts), m_peers.size() + 1, std::move(weakHosts));
}

size_t FleetMember::reachableHostCount() const
{
    return 1 + static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& peer) {
        return !peer.second.silent;
    }));
}

const std::vector<LenderCandidate>& FleetMember::lenders(const std::string& dataCentre) const
{
    const auto [it, added] = m_lenders.try_emplace(dataCentre);
    std::vector<LenderCandidate>& hosts = it->second;
    const auto region = m_gatewaySettings.regionOfDataCentre.find(dataCentre);
    if (!added || !largeFleet() || region == m_gatewaySettings.regionOfDataCentre.end())
        return hosts;
    std::vector<double> capacities;
    const auto add
        = [&](const std::string& host, const std::string& address, const std::string& itsDataCentre, double capacity) {
              // A lender beside the server saves a passage between data centres.
              hosts.push_back({ host, address, itsDataCentre == dataCentre ? LenderRank::Near : LenderRank::InRegion });
              capacities.push_back(capacity);
          };
    if (region->second == m_gatewaySettings.region && !m_leaving && !m_gateway.draining())
        add(m_gatewaySettings.host, std::string(), m_gatewaySettings.dataCentre, m_gatewaySettings.capacity);
    for (const auto& [host, peer] : m_peers) {
        if (peer.region == region->second && !peer.silent && !peer.address.empty())
            add(host, peer.address, peer.dataCentre, peer.capacity);
    }
    const double strongest = capacities.empty() ? 0 : *std::max_element(capacities.begin(), capacities.end());
    for (size_t i = 0; i < hosts.size(); ++i) {
        if (!isStrongHost(capacities[i], strongest))
            hosts[i].rank = LenderRank::Weak;
    }
    return hosts;
}

size_t FleetMember::lendingHosts() const
{
    const std::vector<LenderCandidate>& hosts = lenders(m_gatewaySettings.dataCentre);
    const auto own = std::find_if(hosts.begin(), hosts.end(), [](const auto& it) { return it.address.empty(); });
    if (own == hosts.end() || own->rank != LenderRank::Near)
        return std::max<size_t>(1, hosts.size());
    return static_cast<size_t>(
        std::count_if(hosts.begin(), hosts.end(), [](const auto& it) { return it.rank == LenderRank::Near; }));
}

void FleetMember::leave()
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_lenders.clear();
    for (const auto& [host, peer] : m_peers)
        m_channel.send(peer.address, report(ReportKind::Leaving, {}));
    resignCoordination();
    if (m_registrationRevision != 0)
        removeItem(m_registrationKey, m_registrationRevision);
}

} // namespace plantainwall
