#include "gateway.h"
#include <algorithm>

namespace plantainwall {

Gateway::Gateway(const GatewaySettings& settings, BackendConnector& connector, QuotaGate& quota, Clock clock,
    Metrics& metrics, uint64_t seed)
    : m_settings(settings)
    , m_connector(connector)
    , m_clock(std::move(clock))
    , m_metrics(metrics)
    , m_random(seed)
    , m_primaryLeases(!settings.fencedPrimaries, settings.primaryLease)
    , m_quota(quota)
    , m_started(m_clock())
{
}

Gateway::~Gateway() = default;

Gateway::Session* Gateway::findSession(uint64_t number)
{
    const auto it = m_sessions.find(number);
    return it == m_sessions.end() ? nullptr : &it->second;
}

const Gateway::Session* Gateway::findSession(uint64_t number) const
{
    const auto it = m_sessions.find(number);
    return it == m_sessions.end() ? nullptr : &it->second;
}

Gateway::Job* Gateway::findJob(uint64_t number)
{
    const auto it = m_jobs.find(number);
    return it == m_jobs.end() ? nullptr : &it->second;
}

void Gateway::setConfiguration(std::shared_ptr<const GatewayConfiguration> next)
{
    if (m_configuration != nullptr && next->version <= m_configuration->version)
        return;
    logEvent(LogEvent::ConfigurationInForce,
        { { "version", next->version }, { "previous", m_configuration ? m_configuration->version : 0 },
            { "routes", next->routes.size() }, { "customers", next->customers.size() },
            { "keys", next->customerByKey.size() } });
    for (const auto& [name, customer] : next->customers)
        m_quota.setLimit(customer);
    if (m_configuration != nullptr) {
        for (const auto& [name, customer] : m_configuration->customers) {
            if (next->customers.count(name) == 0)
                m_quota.removeCustomer(name);
        }
    }
    m_configuration = std::move(next);
    ++m_warmupFleet;
    noteRegions();
    updateNeeds();
    m_metrics.set(MetricGauge::ConfigurationRevision, static_cast<double>(m_configuration->version));
    // Queued statements of a withdrawn key, or of one that another customer has got, must not run.
    std::vector<std::pair<uint64_t, ResultCode>> refused;
    for (const auto& [number, job] : m_jobs) {
        const Session* const session = findSession(job.session);
        std::string customer;
        if (!job.queued || session == nullptr)
            continue;
        const ResultCode code = authorize(*session, job.route, customer);
        if (code != ResultCode::Ok)
            refused.emplace_back(number, code);
        else if (customer != job.customer)
            refused.emplace_back(number, ResultCode::QueueFull); // It may be sent again as the present customer.
    }
    for (const auto& [number, code] : refused) {
        Job* const job = findJob(number);
        if (job != nullptr)
            refuseJob(*job, code, "key withdrawn or given to another customer while the statement waited",
                code == ResultCode::QueueFull ? defaultRetryAfter : Duration(0));
    }
    refuseQueuedUnplaceable();
}

void Gateway::setHosts(size_t hosts) { m_hosts = std::max<size_t>(1, hosts); }

void Gateway::setAllowance(GatewayServer& server) const
{
    if (m_configuration == nullptr)
        return;
    if (m_sharedConnections) {
        server.allowance.useLenders();
        return;
    }
    const auto it = m_configuration->services.find(server.service);
    server.allowance.setFleet(it == m_configuration->services.end() ? 1 : it->second.maxConnections, m_hosts,
        m_clock() - m_started < m_settings.connections.startupPeriod);
}

GatewayServer& Gateway::serverState(const ServerEntry& entry)
{
    const auto [it, added] = m_servers.try_emplace(entry.id);
    GatewayServer& server = it->second;
    if (added) {
        server.id = entry.id;
        Distance distance = Distance::OtherRegion;
        const auto region = m_settings.regionOfDataCentre.find(entry.dataCentre);
        if (entry.dataCentre == m_settings.dataCentre)
            distance = Distance::SameDataCentre;
        else if (region != m_settings.regionOfDataCentre.end() && region->second == m_settings.region)
            distance = Distance::SameRegion;
        server.speed = ServerSpeed(distance);
        server.distance = distance;
        logEvent(LogEvent::ServerRegistered,
            { { "service", entry.service }, { "server", entry.id }, { "address", entry.address },
                { "data_centre", entry.dataCentre }, { "primary", entry.primary }, { "draining", entry.draining },
                { "started", entry.startedUnixMs }, { "sequence", entry.sequence } });
    }
    server.service = entry.service;
    server.slots = std::max(1U, entry.slots);
    noteLocation(server, entry);
    noteWarmup(server, entry);
    setAllowance(server);
    return server;
}

void Gateway::serversChanged()
{
    const Instant now = m_clock();
    if (m_configuration != nullptr) {
        for (const auto& [name, service] : m_configuration->services) {
            for (const ServerEntry* const entry : m_directory.members(name)) {
                GatewayServer& server = serverState(*entry);
                if (entry->draining && !server.drainingSince) {
                    server.drainingSince = now;
                    logEvent(LogEvent::BackendLeaving, { { "service", name }, { "server", entry->id } });
                } else if (!entry->draining)
                    server.drainingSince.reset();
            }
        }
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        GatewayServer& server = it->second;
        const bool gone = m_directory.find(it->first) == nullptr;
        if (gone || server.drainingSince) {
            std::vector<GatewayConnection*> idle;
            for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
                if (connection->idle())
                    idle.push_back(connection.get());
            }
            const bool keep = !gone && primaryOf(server.service) == server.id;
            for (GatewayConnection* const connection : idle) {
                if (!keep)
                    dropConnection(*connection);
            }
        }
        if (gone && server.connections.empty() && m_discarded.empty()) {
            logEvent(LogEvent::ServerRemoved, { { "service", server.service }, { "server", server.id } });
            m_loads.forgetServer(it->first);
            it = m_servers.erase(it);
        } else
            ++it;
    }
    dispatchQueued();
}

void Gateway::collect(Metrics& metrics) const
{
    size_t connections = 0;
    for (const auto& [id, server] : m_servers)
        connections += server.connections.size();
    double level = 0;
    for (const auto& [id, server] : m_servers)
        level = std::max(level, server.admission.level());
    metrics.set(MetricGauge::AdmissionLevel, level);
    size_t waiting = 0;
    for (const auto& [service, queue] : m_queues)
        waiting += queue.size();
    metrics.set(MetricGauge::CallerConnections, static_cast<double>(m_sessions.size()));
    metrics.set(MetricGauge::BackendConnections, static_cast<double>(connections));
    metrics.set(MetricGauge::QueuedRequests, static_cast<double>(waiting));
    metrics.set(MetricGauge::RunningRequests, static_cast<double>(m_jobs.size() - std::min(waiting, m_jobs.size())));
}

bool Gateway::ready() const { return m_configuration != nullptr && m_directory.size() > 0 && !m_drainStarted; }

void Gateway::tick()
{
    m_discarded.clear();
    const size_t before = m_directory.size();
    for (const std::string& id : m_directory.expire(m_clock()))
        logEvent(LogEvent::ServerRemoved, { { "server", id }, { "reason", "not registered again" } });
    if (m_directory.registerDeferred(m_clock()) || before != m_directory.size())
        serversChanged();
    updateAdmission();
    checkContact();
    checkTimeouts();
    checkConnections();
    checkSessions();
    measureLoads();
    dispatchQueued();
}

void Gateway::checkContact()
{
    const bool lost = m_fleetContact.isLost(m_clock());
    if (lost == m_contactLost)
        return;
    m_contactLost = lost;
    logEvent(lost ? LogEvent::FleetContactLost : LogEvent::FleetContactRegained, {});
    if (lost)
        refuseQueuedUnplaceable();
}

void Gateway::checkTimeouts()
{
    const Instant now = m_clock();
    for (auto& [service, queue] : m_queues) {
        for (const uint64_t number : queue.expire(now)) {
            Job* const job = findJob(number);
            if (job == nullptr)
                continue;
            job->queued = false;
            const bool noPrimary = lacksPrimary(*job);
            refuseJob(*job, noPrimary ? ResultCode::NoPrimary : ResultCode::QueueFull,
                noPrimary ? "no primary is known" : "no connection to a server became free in time", defaultRetryAfter);
        }
    }
    std::vector<uint64_t> unqueued;
    for (const auto& [number, job] : m_jobs) {
        if (!job.queued)
            unqueued.push_back(number);
    }
    for (const uint64_t number : unqueued) {
        Job* const job = findJob(number);
        if (job == nullptr)
            continue;
        Session* const session = findSession(job->session);
        if (session == nullptr) {
            eraseJob(number);
            continue;
        }
        if (job->resendAt != Instant() && job->resendAt <= now && session->pinned != nullptr) {
            job->resendAt = Instant();
            run(*session->pinned, *job);
            continue;
        }
        if (!job->sentToServer && now >= std::min(job->timeoutAt, job->arrived + waitLimit(*job))) {
            refuseJob(*job, ResultCode::QueueFull, "no server took it in time", defaultRetryAfter);
            continue;
        }
        if (now >= job->timeoutAt) {
            const bool commit = job->statement.kind == StatementKind::Commit;
            if (job->inTransaction) {
                const bool outcomeUnknown = commit && session->wrote && job->sentToServer;
                failTransaction(*session, *job,
                    outcomeUnknown ? ResultCode::OutcomeUnknown : ResultCode::TransactionAborted,
                    "no answer within the statement's time limit");
                continue;
            }
            noteOverdueReplies(number);
            logEvent(job->writes && job->sentToServer ? LogEvent::WriteOutcomeUnknown : LogEvent::StatementFailed,
                { { "request", job->statement.id }, { "session", job->session }, { "service", job->route.service },
                    { "reason", "no answer within the statement's time limit" }, { "offered", job->sentToServer },
                    { "attempt", job->attempts + 1 } });
            StatementAnswer result;
            result.code = job->writes ? ResultCode::OutcomeUnknown : ResultCode::StatementTimeout;
            result.detail = "no answer within the time limit";
            finish(*job, std::move(result));
            continue;
        }
        // An overdue read is also sent to another server; the first answer wins.
        if (job->writes || job->inTransaction || job->onPrimary || job->running != 1 || !job->sentToServer)
            continue;
        GatewayConnection* overdue = nullptr;
        for (auto& [id, server] : m_servers) {
            for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
                if (connection->job == number)
                    overdue = connection.get();
            }
        }
        if (overdue == nullptr)
            continue;
        const Duration limit = std::max(m_settings.hedgeMin,
            std::chrono::duration_cast<Duration>(overdue->server.speed.expected(now) * m_settings.hedgeFactor));
        if (now - job->sentAt < limit || job->attempts >= m_settings.maxAttempts)
            continue;
        overdue->server.speed.noteResponse(std::chrono::duration_cast<Duration>(now - job->sentAt), now);
        job->tried.insert(overdue->server.id);
        job->mayHaveRun = true;
        ++job->attempts;
        logEvent(LogEvent::StatementMoved,
            { { "request", job->statement.id }, { "session", job->session }, { "service", job->route.service },
                { "server", overdue->server.id }, { "reason", "answer overdue" },
                { "waited_ms", std::chrono::duration_cast<Duration>(now - job->sentAt).count() / 1000 } });
        tryDispatch(*job);
    }
}

void Gateway::noteOverdueReplies(uint64_t number)
{
    const Instant now = m_clock();
    for (auto& [id, server] : m_servers) {
        for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
            if (connection->job == number && !connection->unansweredCommands.empty())
                server.speed.noteResponse(
                    std::chrono::duration_cast<Duration>(now - connection->unansweredCommands.front().sentAt), now);
        }
    }
}

void Gateway::checkConnections()
{
    const Instant now = m_clock();
    std::vector<GatewayConnection*> unresponsive;
    std::vector<GatewayConnection*> unused;
    std::map<std::string, GatewayConnection*> idlePrimaryConnections;
    for (auto& [id, server] : m_servers) {
        setAllowance(server);
        for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
            const Instant since = connection->unansweredCommands.empty()
                ? connection->usedAt
                : connection->unansweredCommands.front().sentAt;
            const bool waiting = !connection->open || !connection->unansweredCommands.empty();
            const Duration limit = connection->open ? m_settings.silenceTimeout : m_settings.connectTimeout;
            if (waiting && now - since > limit)
                unresponsive.push_back(connection.get());
            else if (connection->idle() && now - connection->usedAt > server.allowance.idleLimit(now))
                unused.push_back(connection.get());
            else if (connection->idle() && server.id == primaryOf(server.service))
                idlePrimaryConnections[server.service] = connection.get();
        }
    }
    for (GatewayConnection* const connection : unresponsive)
        connectionClosed(*connection, BackendCloseReason::Lost);
    for (GatewayConnection* const connection : unused) {
        if (connection->idle())
            dropConnection(*connection);
    }
    for (const std::string& service : servicesToRefresh()) {
        // Closing the connections above may have started a statement on this one, or closed it.
        const auto it = idlePrimaryConnections.find(service);
        refreshPosition(service, it != idlePrimaryConnections.end() && it->second->idle() ? it->second : nullptr);
    }
}

bool Gateway::positionNeeded(const std::string& service) const
{
    const auto it = m_positionNeededAt.find(service);
    return it != m_positionNeededAt.end() && m_clock() - it->second < m_settings.positionRefreshPeriod;
}

std::vector<std::string> Gateway::servicesToRefresh() const
{
    std::vector<std::string> services;
    for (const auto& [service, at] : m_positionNeededAt) {
        if (positionNeeded(service))
            services.push_back(service);
    }
    return services;
}

std::optional<PrimaryPositions::Observation> Gateway::positionOf(const std::string& service)
{
    if (m_configuration == nullptr || m_configuration->services.count(service) == 0)
        return std::nullopt;
    m_positionNeededAt[service] = m_clock();
    return m_primaryPositions[service].newest();
}

void Gateway::positionReceived(const std::string& service, const PrimaryPositions::Observation& observation)
{
    if (m_configuration != nullptr && m_configuration->services.count(service) != 0)
        m_primaryPositions[service].note(observation.position, observation.requestedAt);
}

AcknowledgedCommits Gateway::acknowledgedCommits(const std::string& service) const
{
    const auto acknowledged = m_acknowledged.find(service);
    AcknowledgedCommits result = acknowledged == m_acknowledged.end() ? AcknowledgedCommits() : acknowledged->second;
    const auto positions = m_primaryPositions.find(service);
    if (positions != m_primaryPositions.end())
        result.observed = positions->second.newest();
    return result;
}

void Gateway::commitAcknowledged(const std::string& service, const LogPosition& before, const LogPosition& end)
{
    m_acknowledged[service].note(before, end);
}

void Gateway::refreshPosition(const std::string& service, GatewayConnection* idle)
{
    const Instant now = m_clock();
    const std::optional<PrimaryPositions::Observation> newest = m_primaryPositions[service].newest();
    Duration interval = m_positionsFromPeers ? m_settings.positionFallbackInterval : m_settings.positionInterval;
    if (m_positionsFromPeers && m_settings.localDistribution)
        interval += m_settings.positionDistributionInterval;
    if (newest && now - newest->requestedAt < interval)
        return;
    // Load pattern: an answer takes many ticks from another region. Every idle connection would poll meanwhile.
    Instant& polledAt = m_positionPolledAt[service];
    if (polledAt != Instant() && now - polledAt < m_settings.positionRetryInterval)
        return;
    if (idle != nullptr) {
        polledAt = now;
        BackendCommand command;
        command.kind = BackendCommandKind::Begin;
        send(*idle, CommandRole::Check, command);
        command.kind = BackendCommandKind::Rollback;
        send(*idle, CommandRole::Setup, command);
        return;
    }
    if (m_positionsFromPeers)
        return; // Reads without a recent position go to the primary, whose reply contains one.
    // Without any connection the position would not be polled; the replies on a busy one contain it anyway.
    const auto it = m_servers.find(primaryOf(service));
    if (it == m_servers.end() || isEvacuated(it->second) || !it->second.connections.empty()
        || connectionsFull(it->second) || now < it->second.retryConnectAt || m_configuration->customers.empty())
        return;
    openConnection(it->second, m_configuration->customers.begin()->first);
}

} // namespace plantainwall
