#include "fleet_member.h"

// Record of the servers that may hold acknowledged commits, in the store.

namespace plantainwall {

void FleetMember::tickReplicaRecords()
{
    const Instant now = m_clock();
    if (m_gateway.configuration() == nullptr || !m_follower.listed())
        return;
    const GatewayConfiguration& configuration = *m_gateway.configuration();
    ServerDirectory& directory = m_gateway.directory();
    const bool coordinator = m_coordinator.isActive();
    if (m_replicaItemsChanged) {
        m_replicaItemsChanged = false;
        m_replicaRecords.itemsRead(m_follower.ownItems(), configuration, coordinator, directory, now);
    }
    if (!m_follower.reachable())
        return;
    m_replicaRecords.forgetUnlisted(configuration, coordinator, directory, now);
    if (!coordinator || now >= m_coordinatorUntil)
        return;
    for (const StoreWrite& write : m_replicaRecords.due(m_follower.ownItems(), configuration, directory, now)) {
        m_store.write(write, [this, key = write.key](const StoreResult& result) {
            isOfNewestEra(result, "write");
            m_replicaRecords.written(key, result.outcome, m_clock());
        });
    }
}

} // namespace plantainwall
