#include "gateway.h"
#include "locality.h"
#include <algorithm>
#include <cmath>
#include <tuple>

namespace plantainwall {

namespace {

    /// Queued jobs tried each time a connection becomes free. Those further back rarely find a server and cost CPU
    /// time.
    constexpr size_t maxTriedPerPass = 24;

    /// Failed attempts on replicas after which a read goes to the primary.
    constexpr unsigned replicaAttempts = 2;

    /// Fraction of the drain limit during which a draining primary still receives statements, while its successor is
    /// promoted.
    constexpr double drainingPrimaryFraction = 0.6;

} // namespace

std::string Gateway::primaryOf(const std::string& service) const
{
    const Instant now = m_clock();
    const std::string leased(m_primaryLeases.serverFor(service));
    if (leased.empty() || m_directory.find(leased) == nullptr)
        return m_directory.primary(service, now);
    return m_directory.deniedRecently(service, leased, now) ? std::string() : leased;
}

bool Gateway::jobWrites(const Job& job) const
{
    const Session* const session = findSession(job.session);
    return job.writes || (job.opensTransaction && session != nullptr && !session->readOnly);
}

bool Gateway::isRevoked(const std::string& service, const std::string& server) const
{
    // The successor of a revoked primary may have registered before its term is known here.
    const uint64_t term = m_directory.ledTerm(service, server);
    return m_revocations.isRevoked(service, server, term == 0 ? maxLogNumber : term, m_clock());
}

std::string Gateway::primaryFor(const Job& job) const
{
    const std::string& service = job.route.service;
    std::string primary = primaryOf(service);
    if (primary.empty() || !jobWrites(job) || !isRevoked(service, primary))
        return primary;
    const std::string successor = m_directory.registeredPrimary(service, primary, m_clock());
    return successor.empty() || isRevoked(service, successor) ? std::string() : successor;
}

// Load pattern: some hosts still reach a replaced primary that has not heard of its successor.
bool Gateway::leadsFor(const Job& job, const std::string& server) const
{
    const Instant until = m_primaryLeases.until(job.route.service, server);
    if (jobWrites(job))
        return m_clock() <= until;
    const Session* const session = findSession(job.session);
    const bool readsOwnWrite = session != nullptr && session->ownPosition != LogPosition()
        && job.route.consistency == ReadConsistency::ReadYourWrites;
    const bool mayBeStale = job.route.consistency != ReadConsistency::Primary && !readsOwnWrite;
    return job.freshnessTime - (mayBeStale ? job.route.maxStaleness : Duration(0)) <= until;
}

bool Gateway::lacksPrimary(const Job& job) const
{
    if (!job.onPrimary)
        return false;
    const std::string primary = primaryFor(job);
    return primary.empty() || isEvacuated(primary) || !leadsFor(job, primary);
}

Duration Gateway::waitLimit(const Job& job) const
{
    const bool noPrimary = lacksPrimary(job);
    const bool starting = m_clock() - m_started < m_settings.connections.startupPeriod;
    const double fraction = noPrimary || starting ? m_settings.longWaitFraction : m_settings.waitFraction;
    return std::min(
        std::chrono::duration_cast<Duration>(job.route.targetLatency * fraction), job.route.statementTimeout);
}

void Gateway::determineRequirement(Job& job)
{
    job.after.reset();
    job.onPrimary = job.needsPrimary;
    if (!job.onPrimary && job.attempts >= replicaAttempts) {
        const auto primary = m_servers.find(primaryFor(job));
        job.onPrimary = primary == m_servers.end() || mayServe(job, primary->second);
    }
    if (job.onPrimary)
        return;
    const Instant now = m_clock();
    m_positionNeededAt[job.route.service] = now;
    const std::optional<LogPosition> covering
        = m_primaryPositions[job.route.service].covering(job.freshnessTime - job.route.maxStaleness);
    if (!covering) {
        job.onPrimary = true;
        return;
    }
    job.after = covering;
    const Session* const session = findSession(job.session);
    if (job.route.consistency == ReadConsistency::ReadYourWrites && session != nullptr)
        job.after = laterPosition(*covering, session->ownPosition);
}

bool Gateway::usableAsPrimary(const GatewayServer& server) const
{
    return !server.drainingSince
        || m_clock() - *server.drainingSince
        < std::chrono::duration_cast<Duration>(m_settings.drainLimit * drainingPrimaryFraction);
}

std::vector<GatewayServer*> Gateway::candidates(Job& job)
{
    const Instant now = m_clock();
    std::vector<GatewayServer*> result;
    if (job.onPrimary) {
        const std::string primary = primaryFor(job);
        const auto it = m_servers.find(primary);
        if (it != m_servers.end() && usableAsPrimary(it->second) && leadsFor(job, primary) && mayUse(job, it->second))
            result.push_back(&it->second);
        return result;
    }
    bool anyUntried = false;
    for (auto& [id, server] : m_servers) {
        if (server.service != job.route.service || server.drainingSince || m_directory.find(id) == nullptr)
            continue;
        if (server.speed.avoided(now) || !mayUse(job, server))
            continue;
        if (now < server.laggingUntil && server.applied < *job.after)
            continue;
        anyUntried = anyUntried || job.tried.count(id) == 0;
        result.push_back(&server);
    }
    if (anyUntried) {
        result.erase(std::remove_if(result.begin(), result.end(),
                         [&](const GatewayServer* server) { return job.tried.count(server->id) != 0; }),
            result.end());
    }
    if (result.empty()) {
        job.onPrimary = true;
        job.after.reset();
        return candidates(job);
    }
    return result;
}

bool Gateway::connectionsFull(const GatewayServer& server) const
{
    return server.connections.size() >= server.allowance.cap() || !server.allowance.mayOpen(m_clock());
}

ServerCandidate Gateway::candidateOf(GatewayServer& server, const Job& job)
{
    const Instant now = m_clock();
    ServerCandidate candidate;
    candidate.expected = server.speed.expected(now);
    candidate.slots = server.slots;
    if (m_settings.evenLoad)
        candidate.load = m_loads.estimate(server.id, now);
    candidate.distance = server.distance;
    if (now < server.busyUntil)
        return candidate;
    unsigned connecting = 0;
    bool hasEvictable = false;
    bool becomesFree = false; // The customer has a connection outside a transaction, which will become free.
    for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
        if (connection->job != 0)
            ++candidate.runningStatements;
        if (!connection->open)
            ++connecting;
        becomesFree = becomesFree || (connection->customer == job.customer && connection->session == 0);
        if (!connection->idle())
            continue;
        if (connection->customer == job.customer)
            candidate.connected = true;
        else
            hasEvictable = true;
    }
    const bool full = connectionsFull(server);
    candidate.evictsOther = full;
    const bool mayEvict = hasEvictable && (now - job.arrived >= m_settings.evictAfter || !becomesFree);
    const bool mayConnect
        = connecting < m_settings.maxConnecting && now >= server.retryConnectAt && (!full || mayEvict);
    candidate.usable = (candidate.connected || mayConnect) && mayUseConnection(server, job);
    return candidate;
}

// Load pattern: transactions follow each other on a connection while nothing is committed. The reply to a BEGIN may
// then look like the one before; after such a reply a job uses another connection, or a new one.
GatewayConnection* Gateway::takeConnection(GatewayServer& server, const Job& job)
{
    const Session* const session = findSession(job.session);
    GatewayConnection* best = nullptr;
    GatewayConnection* oldest = nullptr;
    const auto rank = [&](const GatewayConnection& connection) {
        const bool provable = !job.opensTransaction || connection.beginIsProvable();
        const bool matches = connection.valuesKnown && session != nullptr && connection.values == session->values;
        return std::make_tuple(provable, connection.errorIsProvable(), matches, connection.usedAt);
    };
    for (const std::unique_ptr<GatewayConnection>& it : server.connections) {
        GatewayConnection& connection = *it;
        if (!connection.idle())
            continue;
        if (oldest == nullptr || connection.usedAt < oldest->usedAt)
            oldest = &connection;
        if (connection.customer == job.customer && (best == nullptr || rank(*best) < rank(connection)))
            best = &connection;
    }
    if (best != nullptr && (!job.beginInDoubt || best->beginIsProvable()))
        return best;
    if (connectionsFull(server)) {
        GatewayConnection* const replaced = best != nullptr ? best : oldest;
        if (replaced == nullptr)
            return nullptr;
        dropConnection(*replaced);
    }
    return openConnection(server, job.customer, job.route.priority);
}

GatewayConnection* Gateway::openConnection(
    GatewayServer& server, const std::string& customer, std::optional<unsigned> priority)
{
    const ServerEntry* const entry = m_directory.find(server.id);
    if (entry == nullptr)
        return nullptr;
    server.connections.push_back(std::make_unique<GatewayConnection>(*this, server, customer));
    GatewayConnection& connection = *server.connections.back();
    connection.usedAt = m_clock();
    connection.link = priority && needsOf(server.service) != nullptr
        ? m_connector.openWithPriority(*entry, customer, *priority, connection)
        : m_connector.open(*entry, customer, connection);
    m_metrics.count(MetricCounter::BackendConnects);
    return &connection;
}

bool Gateway::tryDispatch(Job& job)
{
    determineRequirement(job);
    std::vector<GatewayServer*> servers = candidates(job);
    removeTurningAway(job, servers);
    std::vector<ServerCandidate> serverCandidates;
    serverCandidates.reserve(servers.size());
    for (GatewayServer* const server : servers)
        serverCandidates.push_back(candidateOf(*server, job));
    const Duration left = std::chrono::duration_cast<Duration>(job.timeoutAt - m_clock());
    if (m_settings.preferNear)
        preferNearServers(serverCandidates, std::min(left, job.route.targetLatency), m_settings.locality);
    std::uniform_real_distribution<double> randomFraction(0, 1);
    const std::optional<size_t> choice = choose(serverCandidates);
    if (!choice)
        return false;
    // Only the best server is considered: trying a second one would cost the servers another connection.
    job.overloaded = !job.inTransaction && mayHoldBack(*servers[*choice], job)
        && randomFraction(m_random)
            >= admissionProbability(serverCandidates[*choice].expected, left, m_settings.overloadFraction);
    if (job.overloaded)
        return false;
    GatewayConnection* const connection = takeConnection(*servers[*choice], job);
    if (connection == nullptr)
        return false;
    connection->job = job.number;
    noteOwnChoice(*connection);
    connection->statementSent = false;
    ++job.running;
    if (connection->open)
        run(*connection, job);
    return true;
}

void Gateway::dispatch(Job& job)
{
    if (refuseUnplaceable(job))
        return;
    const uint64_t number = job.number;
    const std::string service = job.route.service;
    WorkQueue& queue = m_queues[service];
    if ((queue.empty() || job.attempts > 0) && tryDispatch(job))
        return;
    Job* const waiting = findJob(number);
    if (waiting == nullptr)
        return;
    if (waiting->turnedAwayBy != nullptr) {
        refuseTurnedAway(*waiting);
        return;
    }
    if (waiting->overloaded && !waiting->sentToServer) {
        refuseJob(*waiting, ResultCode::QueueFull, "servers answer too slowly for the statement's time limit",
            defaultRetryAfter);
        return;
    }
    enqueue(*waiting);
    dispatchQueued();
}

double Gateway::capacityPerSecond(const Job& job) const
{
    const Instant now = m_clock();
    const std::string primary = primaryOf(job.route.service);
    double result = 0;
    for (const auto& [id, server] : m_servers) {
        const bool usable = server.service == job.route.service && m_directory.find(id) != nullptr
            && !server.speed.avoided(now) && mayServe(job, server)
            && (job.needsPrimary ? id == primary : !server.drainingSince);
        if (usable)
            result += static_cast<double>(server.allowance.cap())
                / std::chrono::duration<double>(server.speed.expected(now)).count();
    }
    return result;
}

void Gateway::enqueue(Job& job)
{
    const Instant now = m_clock();
    WorkQueue& queue = m_queues[job.route.service];
    WorkQueue::Entry entry;
    entry.job = job.number;
    entry.priority = job.route.priority;
    entry.customer = job.customer;
    entry.needsPrimary = job.needsPrimary;
    entry.resumed = job.sentToServer && needsOf(job.route.service) != nullptr;
    entry.arrived = job.arrived;
    entry.expiresAt = job.sentToServer ? job.timeoutAt : std::min(job.timeoutAt, job.arrived + waitLimit(job));
    const double capacity = capacityPerSecond(job);
    const bool inTime = entry.expiresAt > now && now + queue.expectedWait(entry, capacity) <= entry.expiresAt;
    const std::optional<uint64_t> displaced
        = inTime && needsOf(job.route.service) != nullptr ? queue.displacedBy(entry) : std::nullopt;
    if (displaced) {
        Job* const other = findJob(*displaced);
        queue.erase(*displaced);
        if (other != nullptr) {
            other->queued = false;
            refuseJob(*other, ResultCode::QueueFull, "gave way to a more urgent statement", defaultRetryAfter);
        }
    }
    if (entry.expiresAt <= now || !queue.push(entry, capacity, now)) {
        const Duration wait = queue.expectedWait(entry, capacity);
        refuseJob(job, ResultCode::QueueFull,
            "would wait " + std::to_string(wait.count() / 1000) + " ms behind " + std::to_string(queue.size())
                + " others",
            std::max(wait, defaultRetryAfter));
        return;
    }
    job.queued = true;
}

void Gateway::refuseJob(Job& job, ResultCode code, const std::string& detail, Duration retryAfter)
{
    if (job.mayHaveRun)
        code = ResultCode::BackendFailure;
    Session* const session = findSession(job.session);
    if (session == nullptr) {
        eraseJob(job.number);
        return;
    }
    if (job.inTransaction) {
        failTransaction(*session, job, ResultCode::TransactionAborted, detail);
        return;
    }
    const Statement statement = job.statement;
    eraseJob(job.number);
    refuse(*session, statement, code, detail, retryAfter);
}

void Gateway::dispatchQueued()
{
    if (m_dispatchingQueued || m_configuration == nullptr)
        return;
    m_dispatchingQueued = true;
    for (auto& [service, queue] : m_queues) {
        if (queue.empty())
            continue;
        size_t tried = 0;
        for (const uint64_t number : queue.order()) {
            Job* const job = findJob(number);
            if (job == nullptr) {
                queue.erase(number);
                continue;
            }
            if (++tried > maxTriedPerPass)
                break;
            if (!tryDispatch(*job)) {
                if (job->turnedAwayBy != nullptr)
                    refuseTurnedAway(*job);
                continue;
            }
            job->queued = false;
            queue.erase(number);
        }
    }
    m_dispatchingQueued = false;
}

void Gateway::noteLagging(GatewayServer& server) const
{
    constexpr unsigned maxDoublings = 4;
    server.laggingUntil
        = m_clock() + m_settings.laggingReplicaPause * (1 << std::min(server.laggingReplies, maxDoublings));
    ++server.laggingReplies;
}

void Gateway::requeue(Job& job, GatewayConnection& connection, const std::string& cause)
{
    logEvent(LogEvent::StatementMoved,
        { { "request", job.statement.id }, { "session", job.session }, { "service", job.route.service },
            { "server", connection.server.id }, { "lender", connection.lender() }, { "reason", cause },
            { "attempt", job.attempts + 1 }, { "after_term", job.after ? job.after->term : 0 },
            { "after_position", job.after ? job.after->position : 0 } });
    m_metrics.count(MetricCounter::Retries);
    if (connection.job == job.number)
        connection.job = 0;
    job.running -= std::min(job.running, 1U);
    job.tried.insert(connection.server.id);
    ++job.attempts;
    if (job.running > 0 || job.queued)
        return;
    if (job.attempts >= m_settings.maxAttempts) {
        refuseJob(job, ResultCode::QueueFull, "no server could run it: " + cause, defaultRetryAfter);
        return;
    }
    dispatch(job);
}

} // namespace plantainwall
