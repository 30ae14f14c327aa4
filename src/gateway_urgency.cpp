#include "connection_reserve.h"
#include "gateway.h"
#include <algorithm>
#include <cmath>
#include <cstdio>

namespace plantainwall {

namespace {

    /// Spreads successive numbers evenly over 0 to 1, so that any run of jobs is turned away in the intended fraction.
    double spreadOf(uint64_t number)
    {
        constexpr double goldenRatio = 0.6180339887498949;
        return std::fmod(static_cast<double>(number) * goldenRatio, 1.0);
    }

    /// A caller that returns later than this part of its latency objective cannot be served within the rest.
    constexpr double latestReturnFraction = 0.5;

    constexpr double usPerMs = 1000;

    /// Shortest interval between two events of a level for one server.
    constexpr Duration levelLogInterval = std::chrono::seconds(1);

    std::string describe(const GatewayServer& server, unsigned priority)
    {
        const ServerPressure& known = server.admission.knowledge();
        char level[16];
        std::snprintf(level, sizeof(level), "%.2f", server.admission.level());
        return "priority " + std::to_string(priority) + " is turned away at level " + level + ": server " + server.id
            + " answers in " + std::to_string(std::lround(static_cast<double>(known.responseTime.count()) / usPerMs))
            + " ms, known for " + std::to_string(std::lround(static_cast<double>(known.age.count()) / usPerMs))
            + " ms from " + std::to_string(known.sources) + " hosts";
    }

} // namespace

void Gateway::updateNeeds()
{
    m_needs.clear();
    if (!m_settings.urgency)
        return;
    std::map<std::string, std::map<unsigned, Duration>> objectives; // By service and priority.
    for (const auto& [database, route] : m_configuration->routes) {
        const Duration needed = route.targetLatency > Duration(0)
            ? std::min(route.targetLatency, route.statementTimeout)
            : route.statementTimeout;
        const auto [it, added] = objectives[route.service].try_emplace(route.priority, needed);
        it->second = std::min(it->second, needed);
    }
    for (const auto& [service, byPriority] : objectives) {
        UrgencyNeeds needs;
        for (const auto& [priority, objective] : byPriority)
            needs.priorities.push_back(priority);
        needs.objective = byPriority.begin()->second;
        if (needs.ordered())
            m_needs[service] = std::move(needs);
    }
}

const UrgencyNeeds* Gateway::needsOf(const std::string& service) const
{
    const auto it = m_needs.find(service);
    return it == m_needs.end() ? nullptr : &it->second;
}

std::optional<unsigned> Gateway::urgentPriority(const std::string& service) const
{
    const UrgencyNeeds* const needs = needsOf(service);
    return needs != nullptr ? std::optional<unsigned>(needs->priorities.front()) : std::nullopt;
}

// Reports of other hosts count only while they agree that the slots are in use: response times alone also grow with the
// distance of the host that reports them.
ServerPressure Gateway::pressureAt(const GatewayServer& server) const
{
    const Instant now = m_clock();
    ServerPressure result;
    result.responseTime = server.speed.expected(now);
    result.age = server.speed.age(now);
    const std::optional<ServerLoads::Estimate> estimate
        = m_settings.evenLoad ? m_loads.estimate(server.id, now) : std::nullopt;
    if (!estimate || estimate->sources == 0)
        return result;
    // Hosts that have not reported lately may use the slots that seem free, so own slow answers still count.
    const bool hasFreeSlot = estimate->running + estimate->waiting < server.slots;
    result.hasFreeSlot = hasFreeSlot && result.age > estimate->age;
    if (!hasFreeSlot && estimate->responseTime > result.responseTime) {
        result.responseTime = estimate->responseTime;
        result.age = estimate->age;
        result.sources = estimate->sources;
    }
    return result;
}

void Gateway::updateAdmission()
{
    if (!m_settings.urgency)
        return;
    const Instant now = m_clock();
    const UrgencyNeeds none;
    for (auto& [id, server] : m_servers) {
        const UrgencyNeeds* const needs = needsOf(server.service);
        const ServerPressure pressure = pressureAt(server);
        server.admission.update(needs != nullptr ? *needs : none, pressure, now);
        const auto turnedAway = static_cast<unsigned>(std::ceil(server.admission.level()));
        if (turnedAway == server.loggedLevel || now - server.levelLoggedAt < levelLogInterval)
            continue;
        server.levelLoggedAt = now;
        logEvent(LogEvent::AdmissionLevelChanged,
            { { "service", server.service }, { "server", id }, { "priorities", turnedAway },
                { "before", server.loggedLevel }, { "response_ms", pressure.responseTime.count() / 1000 },
                { "age_ms", pressure.age.count() / 1000 }, { "sources", pressure.sources } });
        server.loggedLevel = turnedAway;
    }
}

bool Gateway::turnsAway(const GatewayServer& server, const Job& job) const
{
    const UrgencyNeeds* const needs = needsOf(job.route.service);
    if (needs == nullptr)
        return false;
    return spreadOf(job.number) >= server.admission.admittedFraction(needs->rankOf(job.route.priority));
}

void Gateway::removeTurningAway(Job& job, std::vector<GatewayServer*>& servers) const
{
    job.turnedAwayBy = nullptr;
    if (servers.empty() || job.inTransaction || job.sentToServer || job.attempts > 0)
        return;
    GatewayServer* const first = servers.front();
    servers.erase(std::remove_if(servers.begin(), servers.end(),
                      [&](const GatewayServer* server) { return turnsAway(*server, job); }),
        servers.end());
    if (servers.empty())
        job.turnedAwayBy = first;
}

bool Gateway::mayHoldBack(const GatewayServer& server, const Job& job) const
{
    const UrgencyNeeds* const needs = needsOf(job.route.service);
    if (needs == nullptr)
        return true;
    const size_t rank = needs->rankOf(job.route.priority);
    return server.admission.lowerRanksTurnedAway(rank) || (rank > 0 && !server.admission.isInformed());
}

bool Gateway::mayUseConnection(const GatewayServer& server, const Job& job) const
{
    const UrgencyNeeds* const needs = needsOf(job.route.service);
    if (needs == nullptr)
        return true;
    ConnectionDemand demand;
    demand.limit = server.allowance.cap();
    demand.mostUrgent = needs->rankOf(job.route.priority) == 0;
    demand.customerHasNone = true;
    for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
        if (connection->idle())
            continue;
        ++demand.used;
        demand.customerHasNone = demand.customerHasNone && connection->customer != job.customer;
    }
    return leavesReserve(demand);
}

void Gateway::refuseTurnedAway(Session& session, const Statement& statement, const Job& job)
{
    const UrgencyNeeds* const needs = needsOf(job.route.service);
    const size_t rank = needs != nullptr ? needs->rankOf(job.route.priority) : 0;
    m_metrics.count(rank == 0 ? MetricCounter::TurnedAwayMostUrgent : MetricCounter::TurnedAwayOthers);
    // Callers that were turned away together must not return together.
    const auto wait = std::chrono::duration_cast<Duration>(
        job.turnedAwayBy->admission.returnAfter(rank) * (1 + spreadOf(job.number)));
    const auto latest = std::chrono::duration_cast<Duration>(job.route.targetLatency * latestReturnFraction);
    refuse(session, statement, ResultCode::QueueFull, describe(*job.turnedAwayBy, job.route.priority),
        std::max(defaultRetryAfter, std::min(wait, latest)));
}

void Gateway::refuseTurnedAway(Job& refused)
{
    const Job job = refused;
    Session* const session = findSession(job.session);
    eraseJob(job.number);
    if (session != nullptr)
        refuseTurnedAway(*session, job.statement, job);
}

bool Gateway::refuseBegin(Session& session, const Statement& statement)
{
    if (needsOf(session.route.service) == nullptr)
        return false;
    Job job; // Stands for the first statement, which is not known yet.
    job.number = m_nextNumber++;
    job.session = session.number;
    job.route = session.route;
    job.customer = session.customer;
    job.opensTransaction = true;
    job.needsPrimary = !session.readOnly || job.route.consistency == ReadConsistency::Primary;
    job.arrived = m_clock();
    job.freshnessTime = job.arrived;
    determineRequirement(job);
    std::vector<GatewayServer*> servers = candidates(job);
    removeTurningAway(job, servers);
    if (job.turnedAwayBy == nullptr)
        return false;
    refuseTurnedAway(session, statement, job);
    return true;
}

} // namespace plantainwall
