#include "fleet_member.h"
#include <algorithm>
#include <xxhash.h>

// The duty of ordering promotions: who holds it, for how long, and who claims it next.

namespace plantainwall {

namespace {

    const std::string coordinatorKey = std::string(StoreFollower::ownPrefix) + "promotions";

    /// Hosts claim a free duty one after the other, this long apart: some round trips to the store and a change's way
    /// to hosts that do not watch it themselves.
    constexpr Duration claimStep = std::chrono::milliseconds(100);
    constexpr size_t maxClaimSteps = 40; ///< Bounds the wait in large fleets, whose last hosts claim together.

    /// A duty that is free though nobody gave it up just now is claimed no sooner.
    constexpr Duration claimPause = std::chrono::milliseconds(50);
    constexpr Duration firstClaimPause = std::chrono::milliseconds(700); ///< The first watch brings the other hosts.

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
    if (m_coordinator.isActive() && m_coordinator.outOfReach() && !m_peers.empty())
        handOverCoordination();
}

void FleetMember::claimCoordination()
{
    if (m_claiming || m_yielded || m_gatewaySettings.promotionAddress.empty())
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
            if (m_yielded) {
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
    if (!m_coordinator.isActive() || m_yielded)
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
    // Nobody can have taken over while nobody reaches the store.
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !peer.second.storeReachable && now - peer.second.heard < silenceLimit(peer.second);
    });
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
    m_yielded = true;
    handOverCoordination();
}

} // namespace plantainwall
