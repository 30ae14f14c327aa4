#pragma once

#include "failover_plan.h"
#include "gateway.h"

namespace plantainwall {

/// Watches every server of every service and changes primaries while this host holds the duty.
class PromotionCoordinator {
public:
    struct Settings {
        Duration pollInterval
            = std::chrono::milliseconds(400); ///< Each status takes one of the server's slots for a moment.
        Duration answerTimeout = std::chrono::milliseconds(700); ///< Afterwards the server counts as silent.
        Duration replaceAfter = std::chrono::milliseconds(1500); ///< A connection that stays silent is replaced.
        Duration reconnectEvery = std::chrono::milliseconds(300);
    };

    PromotionCoordinator(Gateway&, BackendConnector&, PromotionService&, Gateway::Clock, std::string host, Metrics&);
    ~PromotionCoordinator();

    /// Takes up or lays down the duty. token orders the holders: a greater one is newer.
    void setActive(bool, uint64_t token);
    bool isActive() const { return m_active; }

    /// Returns whether a change failed because this host does not reach the servers that it needs.
    bool outOfReach() const;

    /// Asks servers and acts; to be called every few milliseconds. allowed is false while the duty may have passed on.
    void tick(bool allowed);

private:
    struct Member;

    void follow(const std::string& service, Instant now);
    void act(const std::string& service, const FailoverPlan::Step&);
    void promote(const std::string& service, const FailoverPlan::Step&);
    void command(const std::string& id, BackendCommandKind, uint64_t term);

    Gateway& m_gateway;
    BackendConnector& m_connector;
    PromotionService& m_promotions;
    Gateway::Clock m_clock;
    std::string m_host;
    Metrics& m_metrics;
    Settings m_settings;
    bool m_active = false;
    uint64_t m_token = 0;
    uint64_t m_orders = 0; ///< Orders given under the token.
    std::map<std::string, FailoverPlan> m_plans; ///< By service.
    std::map<std::string, std::unique_ptr<Member>> m_members; ///< By server id.
    std::vector<std::unique_ptr<BackendLink>> m_closed; ///< Destroyed by the next tick.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainwall
