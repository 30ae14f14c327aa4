#include "fleet_member.h"
#include <algorithm>
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
    constexpr Duration firstClaimPause = std::chrono::milliseconds(700); ///< The first watch returns the other hosts.

} // namespace

void FleetMember::coordinatorItemRead()
{
    const auto coordinatorItem = m_follower.ownItems().find(coordinatorKey);
    const bool free = coordinatorItem == m_follower.ownItems().end();
    if (m_coordinator.isActive() && !free
        && coordinatorItem->second.value != m_gatewaySettings.host + " " + std::to_string(m_incarnation))
        coordinationEnded();
    if (free && !m_coordinator.isActive() && m_claimAt == Instant())
        m_claimAt = m_clock() + claimDelay(Duration(0));
}

void FleetMember::tickCoordinator()
{
    const Instant now = m_clock();
    const bool free = m_follower.ownItems().count(coordinatorKey) == 0;
    if (m_claimAt != Instant() && now >= m_claimAt) {
        m_claimAt = Instant();
        if (free && m_follower.reachable() && !m_coordinator.isActive() && now >= m_noClaimBefore)
            claimCoordination();
    }
    const bool unclaimed
        = free && m_follower.listed() && m_follower.reachable() && !m_coordinator.isActive() && !m_claiming;
    if (unclaimed && m_claimAt == Instant())
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
    m_store.createLease(m_settings.coordinatorLease, [this, sentAt](const StoreResult& lease) {
        if (lease.outcome != StoreOutcome::Ok) {
            m_claiming = false;
            return;
        }
        StoreWrite write;
        write.key = coordinatorKey;
        write.value = m_gatewaySettings.host + " " + std::to_string(m_incarnation);
        write.lease = lease.number;
        m_store.write(write, [this, sentAt, number = lease.number](const StoreResult& result) {
            m_claiming = false;
            if (result.outcome != StoreOutcome::Ok) {
                m_store.endLease(number, [](const StoreResult&) {});
                return;
            }
            if (m_resigned) {
                m_store.endLease(number, [](const StoreResult&) {});
                return;
            }
            m_coordinatorLease = number;
            m_coordinatorUntil = sentAt + m_settings.coordinatorLease - m_settings.coordinatorMargin;
            m_coordinator.setActive(true, result.number);
            m_after(m_settings.coordinatorRenewal, [this] { renewCoordination(); });
        });
    });
}

void FleetMember::renewCoordination()
{
    if (!m_coordinator.isActive() || m_resigned)
        return;
    const Instant sentAt = m_clock();
    m_store.keepLease(m_coordinatorLease, [this, sentAt](const StoreResult& result) {
        if (!m_coordinator.isActive())
            return;
        if (result.outcome == StoreOutcome::NotFound) {
            coordinationEnded();
            return;
        }
        if (result.outcome == StoreOutcome::Ok)
            m_coordinatorUntil = sentAt + m_settings.coordinatorLease - m_settings.coordinatorMargin;
        m_after(result.outcome == StoreOutcome::Ok ? m_settings.coordinatorRenewal : m_settings.coordinatorRenewal / 4,
            [this] { renewCoordination(); });
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
        return !peer.second.storeReachable && now - peer.second.lastSeen < silenceTimeout(peer.second);
    });
}

// Hosts claim in the order of a hash of their names, so the first claim normally succeeds before the others are sent.
Duration FleetMember::claimDelay(Duration least)
{
    const auto hashOf = [](const std::string& host) { return XXH64(host.data(), host.size(), 0); };
    const uint64_t own = hashOf(m_gatewaySettings.host);
    const auto earlierClaimants = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return peer.second.registered && peer.second.storeReachable && !isUnreachable(peer.second)
            && hashOf(peer.first) < own;
    });
    const size_t steps = std::min(static_cast<size_t>(earlierClaimants), maxClaimSteps);
    // A new process does not know the fleet yet, and must not order promotions before the settle time.
    const bool startingUp = !m_listedAt || m_clock() - *m_listedAt < m_settings.settleTime / 2;
    return least + (startingUp ? firstClaimPause : Duration(0)) + claimStep * steps
        + Duration(std::uniform_int_distribution<int64_t>(0, claimStep.count())(m_random));
}

void FleetMember::handOverCoordination()
{
    if (!m_coordinator.isActive())
        return;
    m_noClaimBefore = m_clock() + m_settings.coordinatorPause;
    m_coordinator.setActive(false, 0);
    m_store.endLease(m_coordinatorLease, [](const StoreResult&) {});
}

void FleetMember::resignCoordination()
{
    m_resigned = true;
    handOverCoordination();
}

} // namespace plantainwall
