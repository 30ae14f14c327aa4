#include "gateway.h"
#include <algorithm>

namespace plantainwall {

namespace {

    const std::set<std::string> allRegions;

} // namespace

void Gateway::setOtherHosts(std::vector<std::string> hosts)
{
    if (hosts == m_otherHosts)
        return;
    m_otherHosts = std::move(hosts);
    ++m_warmupFleet;
}

bool Gateway::isEvacuated(const std::string& server) const
{
    const ServerEntry* const entry = m_evacuations.empty() ? nullptr : m_directory.find(server);
    return entry != nullptr && m_evacuations.contains(entry->dataCentre);
}

void Gateway::evacuationsChanged()
{
    std::vector<GatewayConnection*> idle;
    std::vector<GatewayConnection*> unsent;
    for (auto& [id, server] : m_servers) {
        if (!isEvacuated(server))
            continue;
        for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
            if (connection->idle())
                idle.push_back(connection.get());
            else if (connection->job != 0 && connection->session == 0 && !connection->statementSent)
                unsent.push_back(connection.get());
        }
    }
    for (GatewayConnection* const connection : idle)
        dropConnection(*connection);
    for (GatewayConnection* const connection : unsent) {
        dropConnection(*connection);
        Job* const job = findJob(connection->job);
        if (job != nullptr)
            requeue(*job, *connection, "data centre evacuated");
    }
    dispatchQueued();
    refuseQueuedUnplaceable();
}

void Gateway::noteRegions()
{
    const auto restricted = [](const auto& it) { return !it.second.regions.empty(); };
    m_regionsRestricted = std::any_of(m_configuration->routes.begin(), m_configuration->routes.end(), restricted)
        || std::any_of(m_configuration->customers.begin(), m_configuration->customers.end(), restricted);
}

HomeRegions Gateway::homesOf(const Job& job) const
{
    // The configuration in force applies, also within a transaction that began before it.
    const Session* const session = findSession(job.session);
    const GatewayRoute* const route = session != nullptr && m_configuration != nullptr ? routeOf(*session) : nullptr;
    const std::set<std::string>* ofCustomer = &allRegions;
    if (m_configuration != nullptr) {
        const auto it = m_configuration->customers.find(job.customer);
        if (it != m_configuration->customers.end())
            ofCustomer = &it->second.regions;
    }
    return { route != nullptr ? route->regions : job.route.regions, *ofCustomer };
}

bool Gateway::mayServe(const Job& job, const GatewayServer& server) const
{
    return !isEvacuated(server) && (!m_regionsRestricted || homesOf(job).contains(server.region));
}

bool Gateway::mayUse(const Job& job, GatewayServer& server) { return mayServe(job, server) && admitsWarming(server); }

double Gateway::warmupPerSecond(const GatewayServer& server) const
{
    if (m_configuration == nullptr || server.warmUntil == Instant() || m_clock() >= server.warmUntil)
        return 0;
    const auto it = m_configuration->services.find(server.service);
    return it == m_configuration->services.end() ? 0 : it->second.warmupPerSecond;
}

// Load pattern: a host starts while a server warms up, and knows only some of the hosts that send to it.
bool Gateway::admitsWarming(GatewayServer& server)
{
    const Instant now = m_clock();
    const double perSecond = warmupPerSecond(server);
    if (perSecond <= 0)
        return true;
    if (now - m_started < m_settings.connections.startupPeriod)
        return false;
    if (server.warmupFleet != m_warmupFleet) {
        server.warmupFleet = m_warmupFleet;
        server.warmup.setPerSecond(WarmupShare::of(perSecond, m_settings.host, m_otherHosts, server.id));
    }
    // Statements of open transactions are counted once they are sent: each may wait for the others' share otherwise.
    const auto unsent = std::count_if(server.connections.begin(), server.connections.end(), [](const auto& connection) {
        return connection->job != 0 && connection->session == 0 && !connection->statementSent;
    });
    return server.warmup.admits(static_cast<size_t>(unsent), now);
}

void Gateway::noteLocation(GatewayServer& server, const ServerEntry& entry) const
{
    if (server.dataCentre == entry.dataCentre)
        return;
    server.dataCentre = entry.dataCentre;
    const auto region = m_settings.regionOfDataCentre.find(entry.dataCentre);
    server.region = region == m_settings.regionOfDataCentre.end() ? std::string() : region->second;
}

void Gateway::noteWarmup(GatewayServer& server, const ServerEntry& entry)
{
    // An entry that is only listed again is as old as before.
    const std::pair<uint64_t, uint64_t> reported(entry.startedUnixMs, entry.sequence);
    if (reported == server.warmupReported && reported.second != 0)
        return;
    server.warmupReported = reported;
    server.warmUntil = entry.warmupLeft > Duration(0) ? m_clock() + entry.warmupLeft : Instant();
}

void Gateway::noteSent(GatewayServer& server)
{
    if (warmupPerSecond(server) > 0)
        server.warmup.noteSent(m_clock());
}

bool Gateway::refuseOutOfContact(Job& job)
{
    if (!jobWrites(job) || !m_fleetContact.isLost(m_clock()))
        return false;
    refuseJob(job, ResultCode::NoPrimary, "this host reaches neither the other hosts nor the store", defaultRetryAfter);
    return true;
}

bool Gateway::refuseUnplaceable(Job& job)
{
    if (refuseOutOfContact(job))
        return true;
    if (m_evacuations.empty() && !m_regionsRestricted)
        return false;
    const HomeRegions homes = homesOf(job);
    // While no primary is known, primaryOf() returns a server that may become it.
    const std::string known = m_directory.knownPrimary(job.route.service);
    const std::string primary = primaryOf(job.route.service) == known ? known : std::string();
    std::vector<PlacedServer> placed;
    for (const ServerEntry* const entry : m_directory.members(job.route.service)) {
        const auto it = m_servers.find(entry->id);
        if (it == m_servers.end())
            return false;
        placed.push_back(
            { homes.contains(it->second.region), isEvacuated(it->second), entry->draining, entry->id == primary });
    }
    const PlacementVerdict verdict = placementVerdict(placed, job.needsPrimary);
    if (verdict == PlacementVerdict::Possible)
        return false;
    refuseJob(job, job.needsPrimary ? ResultCode::NoPrimary : ResultCode::QueueFull,
        verdict == PlacementVerdict::Evacuated ? "the data centres of its servers are evacuated"
                                               : "no server in the regions of the route and the customer can run it",
        defaultRetryAfter);
    return true;
}

void Gateway::refuseQueuedUnplaceable()
{
    std::vector<uint64_t> queued;
    for (const auto& [number, job] : m_jobs) {
        if (job.queued)
            queued.push_back(number);
    }
    for (const uint64_t number : queued) {
        Job* const job = findJob(number);
        if (job != nullptr && job->queued)
            refuseUnplaceable(*job);
    }
}

bool Gateway::heldBack(GatewayConnection& connection, Job& job, Session& session)
{
    if (session.pinned != &connection)
        return false;
    if (!mayServe(job, connection.server)) {
        failTransaction(session, job, ResultCode::TransactionAborted,
            isEvacuated(connection.server) ? "the data centre of its server is evacuated"
                                           : "its server is no longer in a region of the route and the customer");
        return true;
    }
    // Neither has the statement been sent, nor does an earlier reply leave open whether it has run.
    connection.statementSent = false;
    if (admitsWarming(connection.server))
        return false;
    const Instant resendAt = m_clock() + m_settings.busyRetryDelay;
    if (session.sink == nullptr || resendAt >= job.timeoutAt)
        failTransaction(session, job, ResultCode::TransactionAborted, "its server is warming up");
    else
        job.resendAt = resendAt;
    return true;
}

} // namespace plantainwall
