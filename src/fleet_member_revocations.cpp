#include "fleet_member.h"

// Revocations of primaries in the store, and whether this host would learn of them.

namespace plantainwall {

void FleetMember::tickRevocations()
{
    const Instant now = m_clock();
    FleetContact& contact = m_gateway.fleetContact();
    contact.setOthers(!m_peers.empty());
    // Nobody else orders promotions while this host may.
    if (m_coordinator.isActive() && mayCoordinate())
        contact.heard(now);
    if (m_gateway.configuration() != nullptr && !m_readingRevocations && contact.takeReadDue(now))
        readRevocations();
    if (m_revocationItemsChanged) {
        m_revocationItemsChanged = false;
        m_revocations.itemsRead(m_follower.items(), true);
    }
    m_revocations.setStoreReachable(m_follower.reachable());
    if (m_coordinator.isActive() && now < m_coordinatorUntil && m_follower.reachable() && m_follower.listedFromStore())
        writeRevocations();
    m_revocations.tick([this] { return revocationTargets(); });
}

void FleetMember::readRevocations()
{
    const Instant sentAt = m_clock();
    m_readingRevocations = true;
    m_store.list(RevocationRecords::prefix, std::string(), [this, sentAt](const StoreItems& listed) {
        m_readingRevocations = false;
        m_follower.noteEra(listed.era, "list");
        if (listed.outcome != StoreOutcome::Ok || (listed.era != 0 && listed.era != m_follower.era()))
            return;
        std::map<std::string, StoreItem> items;
        for (const StoreItem& item : listed.items)
            items[item.key] = item;
        m_revocations.itemsRead(items, false);
        m_gateway.fleetContact().storeRead(sentAt);
    });
}

void FleetMember::writeRevocations()
{
    for (const StoreWrite& write : m_revocations.records().due(m_follower.items(), m_clock())) {
        m_store.write(write, [this, key = write.key](const StoreResult& result) {
            const bool newestEra = isOfNewestEra(result, "write");
            StoreResult known = result;
            if (!newestEra)
                known.outcome = StoreOutcome::Unreachable;
            m_revocations.records().written(key, known, m_clock());
        });
    }
}

std::vector<RevocationTarget> FleetMember::revocationTargets() const
{
    std::vector<RevocationTarget> targets;
    targets.reserve(m_peers.size());
    for (const auto& [host, peer] : m_peers)
        targets.push_back({ host, peer.address, peer.incarnation, peer.registered && !isUnreachable(peer),
            peer.registered || !peer.silent });
    return targets;
}

} // namespace plantainwall
