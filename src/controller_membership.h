#pragma once

#include "clock.h"
#include "membership.h"
#include "scheduler.h"
#include <functional>
#include <mutex>
#include <set>

namespace plantainwall {

/// Calls a method of the host at http://ip:port with parameters as JSON text. The task fails if there is no answer.
using PeerCall = std::function<pplx::task<std::string>(
    std::string_view address, const std::string& method, const std::string& params, Duration timeout)>;

/// Runs Membership: exchanges gossip in control calls and polls the platform's host list. Safe to call from any thread.
class MembershipController final : public ClusterView, public std::enable_shared_from_this<MembershipController> {
public:
    static constexpr const char* gossipMethod = "gossip";

    MembershipController(const Settings&, uint64_t incarnation, PeerCall, std::shared_ptr<Store>,
        std::shared_ptr<const ConfigView>, std::shared_ptr<Scheduler>);

    /// Starts gossip and polling of the platform's list. Both end when the last reference to this object is released.
    void start();

    /// Handles a call of gossipMethod. Must be registered before the peer port opens. Throws std::exception if params
    /// is malformed.
    std::string handleGossip(const std::string& params);

    /// Sets the state of this host to draining and notifies its peers immediately.
    void drain();

    /// Sets a field that every gossip message of this host carries, for example the configuration revision.
    void setPayload(std::string_view field, std::string value);

    /// Returns the last received value of a field of a host, or an empty string if there is none.
    std::string payloadOf(std::string_view host, std::string_view field) const;

    /// Returns how long a host has been absent from the platform's list.
    Duration absentFor(std::string_view host) const;

    /// Returns the hosts as of the last refresh. After start() the list is at most 100 ms old.
    std::shared_ptr<const std::vector<HostInfo>> snapshot() const;

    std::string_view selfName() const override { return m_self; }
    std::vector<HostInfo> hosts() const override { return *snapshot(); }
    std::optional<HostInfo> ownerOf(std::string_view group, const MemberConfig&) const override;
    std::optional<HostInfo> hostFor(std::string_view role, std::string_view dataCentre) const override;
    bool isLeaving(std::string_view name) const override;

private:
    void runEvery(Duration interval, void (MembershipController::*task)());
    void gossip();
    void refresh();
    void pollPlatform();
    void schedulePlatformPoll();
    void setPlatformHosts(const std::vector<PlatformHost>&);
    void send(std::vector<SendGossip>);
    void onGossipAnswer(const SendGossip&, Instant sent, const pplx::task<std::string>&);

    const std::string m_self;
    const Duration m_gossipInterval;
    PeerCall m_call;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<const ConfigView> m_config;
    std::shared_ptr<Scheduler> m_scheduler;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    Membership m_membership;
    std::shared_ptr<const std::vector<HostInfo>> m_snapshot;
    uint64_t m_configRevision = 0;
    std::set<std::string, std::less<>> m_leaving; ///< Names that the platform's list marks as leaving.
    int m_platformListSize = 0;
};

} // namespace plantainwall
