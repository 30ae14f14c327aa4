#include "fleet_member.h"

// Record of the servers that may hold acknowledged commits, in the store, and the hosts that may probe them.

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
        m_replicaRecords.itemsRead(m_follower.items(), m_follower.era(), configuration, coordinator, directory, now);
    }
    if (!m_follower.reachable() || !m_follower.listedFromStore())
        return;
    m_replicaRecords.forgetUnlisted(configuration, coordinator, directory, now);
    if (!coordinator || now >= m_coordinatorUntil)
        return;
    for (const StoreWrite& write : m_replicaRecords.due(m_follower.items(), configuration, directory, now)) {
        m_store.write(write, [this, key = write.key](const StoreResult& result) {
            isOfNewestEra(result, "write");
            m_replicaRecords.written(key, result.outcome, m_clock());
        });
    }
}

std::vector<ProbingHost> FleetMember::probingHosts() const
{
    std::vector<ProbingHost> hosts { { m_gatewaySettings.host, std::string(), m_gatewaySettings.dataCentre } };
    for (const auto& [host, peer] : m_peers) {
        if (!peer.silent && !peer.address.empty())
            hosts.push_back({ host, peer.address, peer.dataCentre });
    }
    return hosts;
}

} // namespace plantainwall
