#include "fleet_member.h"
#include "log_event.h"
#include <algorithm>
#include <sstream>
#include <xxhash.h>

// Coordinator lease: claiming, renewing and handing it over.

namespace plantainwall {

namespace {

    const std::string coordinatorKey = std::string(StoreFollower::ownPrefix) + "promotions";

    /// Hosts claim a free coordinator lease one after the other, this long apart: several round trips to the store plus
    /// the time in which a change reaches hosts that do not watch the store themselves.
    constexpr Duration claimStep = std::chrono::milliseconds(100);
    constexpr size_t maxClaimSteps = 40; ///< Bounds the wait in large fleets; the last hosts claim together.

    /// Shortest delay of a claim for a lease whose release was not observed.
    constexpr Duration claimPause = std::chrono::milliseconds(50);
    /// The first watch returns the other hosts; after a restore of the store they register again within this time.
    constexpr Duration firstClaimPause = std::chrono::milliseconds(700);

    /// Fencing tokens rise with the era, because revisions go back: more revisions than a store gives out in an era.
    constexpr unsigned revisionBits = 36;

    uint64_t fencingToken(uint64_t era, uint64_t revision) { return (era << revisionBits) + revision; }

    /// Returns the era in which a claim was made, or nothing if its value names none.
    std::optional<uint64_t> eraOfClaim(const std::string& value)
    {
        std::istringstream words(value);
        std::string host;
        uint64_t incarnation = 0;
        uint64_t era = 0;
        return words >> host >> incarnation >> era ? std::make_optional(era) : std::nullopt;
    }

} // namespace

std::string FleetMember::coordinatorValue() const
{
    return m_gatewaySettings.host + " " + std::to_string(m_incarnation) + " " + std::to_string(m_follower.era());
}

const StoreItem* FleetMember::coordinatorItem() const
{
    const auto it = m_follower.items().find(coordinatorKey);
    return it == m_follower.items().end() ? nullptr : &it->second;
}

// A claim without an answer may be carried out later, and the item then names this host under a lease that it does not
// hold. A claim of an earlier era may be under another host's lease, which may never end.
bool FleetMember::claimable() const
{
    if (!m_follower.listedFromStore() || !m_follower.reachable() || m_coordinator.isActive() || m_claiming)
        return false;
    const StoreItem* const item = coordinatorItem();
    return item == nullptr || item->value == coordinatorValue()
        || (m_outdatedClaim && m_clock() - m_outdatedClaim->readAt >= m_settings.coordinatorLease);
}

// A host that claimed in an earlier era stops by the end of its lease of that era. A coordinator whose item a late
// claim has replaced stops when it reads that. So the role is free when an outdated claim is as old as the lease.
void FleetMember::noteOutdatedClaim(const StoreItem* item)
{
    const std::optional<uint64_t> era = item == nullptr ? std::nullopt : eraOfClaim(item->value);
    if (!era || *era >= m_follower.era()) {
        m_outdatedClaim.reset();
        return;
    }
    if (m_outdatedClaim && m_outdatedClaim->revision == item->revision)
        return;
    m_outdatedClaim = OutdatedClaim { item->revision, m_clock() };
    logEvent(LogEvent::DutyClaimOutdated,
        { { "claim", item->value }, { "revision", item->revision }, { "era", m_follower.era() } });
}

void FleetMember::coordinatorItemRead()
{
    const StoreItem* const item = coordinatorItem();
    noteOutdatedClaim(item);
    // The item may not have been read since this host replaced it.
    if (m_coordinator.isActive() && item != nullptr && item->revision > m_coordinatorRevision
        && item->value != coordinatorValue())
        coordinationEnded();
    if (item == nullptr && !m_coordinator.isActive() && m_claimAt == Instant())
        m_claimAt = m_clock() + claimDelay(Duration(0));
}

void FleetMember::tickCoordinator()
{
    const Instant now = m_clock();
    if (m_claimAt != Instant() && now >= m_claimAt) {
        m_claimAt = Instant();
        if (claimable() && now >= m_noClaimBefore)
            claimCoordination();
    }
    if (claimable() && m_claimAt == Instant())
        m_claimAt = now + claimDelay(claimPause);
    m_coordinator.tick(mayCoordinate());
    if (m_coordinator.isActive() && m_coordinator.serversUnreachable() && !m_peers.empty())
        handOverCoordination();
}

void FleetMember::claimCoordination()
{
    if (m_claiming || m_resigned || m_gatewaySettings.promotionAddress.empty())
        return;
    m_claiming = true;
    const Instant sentAt = m_clock();
    const uint64_t claim = ++m_coordination;
    // Only the item that was found claimable may be replaced.
    const StoreItem* const item = coordinatorItem();
    const uint64_t revision = item == nullptr ? 0 : item->revision;
    m_store.createLease(m_settings.coordinatorLease, [this, sentAt, claim, revision](const StoreResult& lease) {
        const bool newestEra = isOfNewestEra(lease, "lease");
        if (claim != m_coordination)
            return;
        if (lease.outcome != StoreOutcome::Ok || !newestEra) {
            m_claiming = false;
            return;
        }
        StoreWrite write;
        write.key = coordinatorKey;
        write.value = coordinatorValue();
        write.expectedRevision = revision;
        write.lease = lease.number;
        m_store.write(write, [this, sentAt, claim, lease](const StoreResult& result) {
            isOfNewestEra(result, "write");
            if (claim != m_coordination)
                return;
            m_claiming = false;
            if (result.outcome != StoreOutcome::Ok)
                return;
            if (m_resigned) {
                removeItem(coordinatorKey, result.number);
                return;
            }
            m_coordinatorLease = lease.number;
            m_coordinatorRevision = result.number;
            m_coordinatorUntil = sentAt + m_settings.coordinatorLease - m_settings.coordinatorMargin;
            m_coordinator.setActive(true, fencingToken(m_follower.era(), result.number));
            m_after(m_settings.coordinatorRenewal, [this, claim] {
                if (claim == m_coordination)
                    renewCoordination();
            });
        });
    });
}

void FleetMember::renewCoordination()
{
    if (!m_coordinator.isActive() || m_resigned)
        return;
    const Instant sentAt = m_clock();
    const uint64_t claim = m_coordination;
    m_store.keepLease(m_coordinatorLease, [this, sentAt, claim](const StoreResult& result) {
        isOfNewestEra(result, "lease renewal");
        if (claim != m_coordination || !m_coordinator.isActive())
            return;
        if (result.outcome == StoreOutcome::NotFound) {
            coordinationEnded();
            return;
        }
        if (result.outcome == StoreOutcome::Ok)
            m_coordinatorUntil = sentAt + m_settings.coordinatorLease - m_settings.coordinatorMargin;
        m_after(result.outcome == StoreOutcome::Ok ? m_settings.coordinatorRenewal : m_settings.coordinatorRenewal / 4,
            [this, claim] {
                if (claim == m_coordination)
                    renewCoordination();
            });
    });
}

void FleetMember::coordinationEnded() { m_coordinator.setActive(false, 0); }

bool FleetMember::mayCoordinate() const
{
    const Instant now = m_clock();
    if (!m_listedAt || now - *m_listedAt < m_settings.settleTime || now - m_storeReachableSince < m_settings.settleTime)
        return false;
    if (now < m_coordinatorUntil)
        return true;
    if (m_follower.reachable() || now > m_coordinatorUntil + m_settings.coordinatorOutageExtension)
        return false;
    // No other host can have become coordinator while none of them reaches the store.
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !peer.second.storeReachable && now - peer.second.lastSeen < outageSilence(peer.second);
    });
}

// Hosts claim in the order of a hash of their names, so the first claim normally succeeds before the others are sent.
// Those that reach a server that the last coordinator may not have reached come first.
Duration FleetMember::claimDelay(Duration least)
{
    // The coordinator polls every server, which takes more than a weak host has.
    const auto rankOf = [](const std::string& host, double capacity) {
        return std::make_pair(-capacity, XXH64(host.data(), host.size(), 0));
    };
    const auto own = rankOf(m_gatewaySettings.host, m_gatewaySettings.capacity);
    const auto earlierClaimants = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return peer.second.registered && peer.second.storeReachable && !isUnreachable(peer.second)
            && rankOf(peer.first, peer.second.capacity) < own;
    });
    const size_t steps = std::min(static_cast<size_t>(earlierClaimants), maxClaimSteps);
    // A new process does not know the fleet yet, and must not order promotions before the settle time.
    const bool startingUp = !m_listedAt || m_clock() - *m_listedAt < m_settings.settleTime / 2;
    const Duration jitter(std::uniform_int_distribution<int64_t>(0, claimStep.count())(m_random));
    if (!startingUp && m_probeExchange.reachesProbed())
        return least + jitter;
    return least + (startingUp ? firstClaimPause : Duration(0)) + claimStep * steps + jitter;
}

void FleetMember::handOverCoordination()
{
    if (!m_coordinator.isActive())
        return;
    m_noClaimBefore = m_clock() + m_settings.coordinatorPause;
    m_coordinator.setActive(false, 0);
    removeItem(coordinatorKey, m_coordinatorRevision);
}

void FleetMember::resignCoordination()
{
    m_resigned = true;
    m_lenders.clear(); // A host that shuts down lends no more.
    handOverCoordination();
}

} // namespace plantainwall
