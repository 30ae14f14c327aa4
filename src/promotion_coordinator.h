#pragma once

#include "failover_plan.h"
#include "gateway.h"
#include "lease_grantor.h"
#include "revocation_exchange.h"

namespace plantainwall {

/// Polls the status of every server of every service and changes primaries, while this host is the coordinator. Servers
/// whose registrations have ended are polled too, as long as they may hold an acknowledged commit.
class PromotionCoordinator {
public:
    struct Settings {
        /// Not shorter, because each status request briefly takes one of the server's slots.
        Duration pollInterval = std::chrono::milliseconds(400);
        /// The same while the service's primary is being replaced, and for the server whose promotion was accepted, for
        /// promotedPollTime: callers wait for each step.
        Duration changePollInterval = std::chrono::milliseconds(60);
        Duration promotedPollTime = std::chrono::milliseconds(2000);
        /// A server that does not answer for this long counts as silent.
        Duration answerTimeout = std::chrono::milliseconds(700);
        /// A connection without an answer for this long is replaced.
        Duration replaceAfter = std::chrono::milliseconds(1500);
        Duration reconnectInterval = std::chrono::milliseconds(300);
        /// The same for a server whose registration has ended: most of those do not run any more.
        Duration lapsedReconnectInterval = std::chrono::milliseconds(1000);
    };

    PromotionCoordinator(
        Gateway&, BackendConnector&, PromotionService&, IndirectProbes&, Gateway::Clock, std::string host, Metrics&);
    ~PromotionCoordinator();

    /// Activates this host as the coordinator, or deactivates it. A greater token belongs to a newer coordinator.
    void setActive(bool, uint64_t token);
    bool isActive() const { return m_active; }

    /// Sets who permits promotions; without one all are permitted.
    void setGuard(PromotionGuard& guard) { m_guard = &guard; }

    /// Sets how other hosts are told that a primary is being replaced. Without it no host is assumed to acknowledge its
    /// commits.
    void setRevocations(RevocationExchange& revocations) { m_revocations = &revocations; }

    /// Returns whether a change of a primary failed because this host cannot reach the servers involved.
    bool serversUnreachable() const;

    /// Polls servers and orders changes. Must be called every few milliseconds. mayOrder is false while another host
    /// may have become the coordinator; servers are then polled only.
    void tick(bool mayOrder);

private:
    struct Member;

    void pollServers(const std::string& service, Instant now);
    Member& pollServer(const ServerEntry&, const std::string& customer, Instant now);
    void planService(const std::string& service, Instant now);
    void confirmPrimary(const std::string& service);
    /// Returns the revocation of an earlier coordinator's change of a primary that has not ended, and withdraws it if
    /// the change has.
    std::optional<PrimaryRevocation> unfinishedChange(const std::string& service, const std::vector<FailoverMember>&);
    void probeIndirectly(const ServerEntry&, Member&);
    void carryOut(const std::string& service, const FailoverPlan::Step&);
    void promote(const std::string& service, const FailoverPlan::Step&);
    void logProbes(const Member&, const ProbeSummary&) const;
    void logServers(const std::string& service) const;
    void logMissing(const std::string& service, const FailoverPlan::Step&) const;
    void sendCommand(const std::string& id, BackendCommandKind, uint64_t term);

    Gateway& m_gateway;
    BackendConnector& m_connector;
    PromotionService& m_promotions;
    IndirectProbes& m_probes;
    PromotionGuard* m_guard = nullptr;
    RevocationExchange* m_revocations = nullptr;
    Gateway::Clock m_clock;
    std::string m_host;
    Metrics& m_metrics;
    Settings m_settings;
    bool m_active = false;
    uint64_t m_token = 0;
    uint64_t m_orderCount = 0; ///< Promotions ordered under the token.
    std::map<std::string, FailoverPlan> m_plans; ///< By service.
    std::map<std::string, std::unique_ptr<Member>> m_members; ///< By server id.
    std::vector<std::unique_ptr<BackendLink>> m_closed; ///< Destroyed by the next tick.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainwall
