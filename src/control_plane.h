#pragma once

#include "controller_config.h"
#include "controller_group.h"
#include "controller_limits.h"
#include "controller_membership.h"
#include "peer_rpc.h"
#include "status_report.h"

namespace plantainwall {

/// Creates the controllers of an entry host and connects them to each other, the store and the peers.
class ControlPlane {
public:
    explicit ControlPlane(const Settings&);
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    /// Registers the handlers of the control calls. Must be called before the peer listener opens.
    void registerMethods();

    void start();

    /// Notifies the peers that this host is leaving, so that they take over its roles.
    void drain();

    /// Stops the group and configuration controllers. Requests in progress end by their own deadlines.
    void stop();

    StatusReport status() const;

    const std::shared_ptr<Scheduler>& scheduler() const { return m_scheduler; }
    const std::shared_ptr<Store>& store() const { return m_store; }
    const std::shared_ptr<PeerRpc>& rpc() const { return m_rpc; }
    const std::shared_ptr<ConfigController>& config() const { return m_config; }
    const std::shared_ptr<MembershipController>& membership() const { return m_membership; }
    const std::shared_ptr<GroupController>& groups() const { return m_groups; }
    const std::shared_ptr<LimitsController>& limits() const { return m_limits; }

private:
    class GossipExchange;

    void makeConfig();
    void makeGroups();
    void onConfigChange(const ConfigChange&);

    const Settings m_settings;
    const uint64_t m_incarnation;
    std::atomic<bool> m_draining { false };
    std::shared_ptr<Scheduler> m_scheduler;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<PeerRpc> m_rpc;
    std::shared_ptr<MembershipController> m_membership;
    std::shared_ptr<ConfigController> m_config;
    std::shared_ptr<GroupController> m_groups;
    std::shared_ptr<LimitsController> m_limits;
    std::shared_ptr<GossipExchange> m_gossipExchange;
};

} // namespace plantainwall
