#pragma once

#include "clock.h"
#include "membership.h"
#include "scheduler.h"
#include <functional>
#include <mutex>
#include <set>

namespace plantainwall {

/// Calls a method of the host at http://ip:port with parameters as JSON text; the task fails without an answer.
using PeerCall = std::function<pplx::task<std::string>(
    std::string_view address, const std::string& method, const std::string& params, Duration timeout)>;

/// Runs Membership over control calls and the platform's host list. Safe to call from any thread.
class MembershipController final : public ClusterView, public std::enable_shared_from_this<MembershipController> {
public:
    static constexpr const char* gossipMethod = "gossip";

    MembershipController(const Settings&, uint64_t incarnation, PeerCall, std::shared_ptr<Store>,
        std::shared_ptr<const ConfigView>, std::shared_ptr<Scheduler>);

    /// Starts gossip and polling of the platform's list. They end with the last reference to this object.
    void start();

    /// Handles a call of gossipMethod; register it before the peer port opens. Throws if params is not gossip.
    std::string handleGossip(const std::string& params);

    /// Sets this host to draining and tells peers at once.
    void drain();

    /// Sets a field that every gossip message of this host carries, for example the configuration revision.
    void setPayload(std::string_view field, std::string value);

    /// Returns a host's field as last received; empty if there is none.
    std::string payloadOf(std::string_view host, std::string_view field) const;

    /// Returns how long a host has been absent from the platform's list.
    Duration absentFor(std::string_view host) const;

    /// Returns the hosts as of the last refresh, at most 100 ms old once started.
    std::shared_ptr<const std::vector<HostInfo>> snapshot() const;

    std::string_view selfName() const override { return m_self; }
    std::vector<HostInfo> hosts() const override { return *snapshot(); }
    std::optional<HostInfo> ownerOf(std::string_view group, const MemberConfig&) const override;
    std::optional<HostInfo> hostFor(std::string_view role, std::string_view dataCentre) const override;
    bool isLeaving(std::string_view name) const override;

private:
    void every(Duration interval, void (MembershipController::*task)());
    void gossip();
    void refresh();
    void pollPlatform();
    void pollPlatformLater();
    void setPlatformHosts(const std::vector<PlatformHost>&);
    void send(std::vector<SendGossip>);
    void finished(const SendGossip&, Instant sent, const pplx::task<std::string>&);

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
    std::set<std::string, std::less<>> m_leaving; ///< By the platform's list.
    int m_listed = 0;
};

} // namespace plantainwall
