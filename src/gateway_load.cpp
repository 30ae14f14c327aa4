#include "gateway.h"
#include <algorithm>
#include <cmath>

// Load of backend servers: what this host measures, reports and learns.

namespace plantainwall {

namespace {

    /// Interval of the event server_load.
    constexpr Duration loadLogInterval = std::chrono::seconds(1);

    /// Change of the estimate, in statements, from which a server's event is written again.
    constexpr double loggedChange = 1;

    /// The encoding of reports rounds values up by less than this.
    constexpr double encodingTolerance = 1.1;

} // namespace

std::optional<size_t> Gateway::choose(const std::vector<ServerCandidate>& serverCandidates)
{
    std::uniform_real_distribution<double> randomFraction(0, 1);
    const double fraction = randomFraction(m_random);
    return m_settings.evenLoad ? chooseEvenly(serverCandidates, fraction) : chooseServer(serverCandidates, fraction);
}

void Gateway::noteOwnChoice(GatewayConnection& connection)
{
    endOwnChoice(connection);
    if (!m_settings.evenLoad)
        return;
    connection.chosenAt = m_clock();
    m_loads.noteOwnChoice(connection.server.id, connection.chosenAt);
}

void Gateway::endOwnChoice(GatewayConnection& connection)
{
    if (connection.chosenAt == Instant())
        return;
    m_loads.noteOwnEnd(connection.server.id, connection.chosenAt);
    connection.chosenAt = Instant();
}

// Statements end in many places, so the connections are counted here instead.
void Gateway::measureLoads()
{
    if (!m_settings.evenLoad)
        return;
    const Instant now = m_clock();
    for (auto& [id, server] : m_servers) {
        size_t running = 0;
        for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
            if (connection->job == 0) {
                endOwnChoice(*connection);
                continue;
            }
            ++running;
            if (connection->chosenAt == Instant())
                noteOwnChoice(*connection);
        }
        server.load.setRunning(running, now);
    }
    m_metrics.raiseTo(MetricCounter::LoadReportsRejected, m_loads.rejected());
    if (now - m_loadsLoggedAt >= loadLogInterval)
        reportLoads();
}

void Gateway::reportLoads()
{
    const Instant now = m_clock();
    m_loadsLoggedAt = now;
    Duration oldest { 0 };
    for (auto& [id, server] : m_servers) {
        const std::optional<ServerLoads::Estimate> estimate = m_loads.estimate(id, now);
        if (estimate)
            oldest = std::max(oldest, estimate->age);
        const double running = estimate ? estimate->running + estimate->waiting : -1;
        if ((running < 0) == (server.loggedRunning < 0) && std::abs(running - server.loggedRunning) < loggedChange)
            continue;
        server.loggedRunning = running;
        if (estimate)
            logEvent(LogEvent::ServerLoad,
                { { "service", server.service }, { "server", id }, { "known", true }, { "running", estimate->running },
                    { "waiting", estimate->waiting }, { "response_ms", estimate->responseTime.count() / 1000 },
                    { "age_ms", estimate->age.count() / 1000 }, { "hosts", estimate->sources } });
        else
            logEvent(LogEvent::ServerLoad, { { "service", server.service }, { "server", id }, { "known", false } });
    }
    m_metrics.set(MetricGauge::LoadReportAge, std::chrono::duration<double>(oldest).count());
}

// A connection runs one statement at a time, so no true report of a server exceeds its limit of connections.
double Gateway::connectionLimit(const std::string& server) const
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end() || m_configuration == nullptr)
        return 0;
    const auto service = m_configuration->services.find(it->second.service);
    return service == m_configuration->services.end() ? 0 : service->second.maxConnections * encodingTolerance;
}

std::string Gateway::loadReport() const
{
    const Instant now = m_clock();
    ServerLoadList list;
    list.reserve(m_servers.size());
    for (const auto& [id, server] : m_servers)
        list.emplace_back(id, server.load.sample(0, now));
    return encodeServerLoads(list);
}

void Gateway::loadReported(const std::string& host, std::string_view report)
{
    if (!m_settings.evenLoad)
        return;
    std::vector<std::string> known;
    known.reserve(m_servers.size());
    for (const auto& [id, server] : m_servers)
        known.push_back(id);
    const Instant now = m_clock();
    try {
        const ServerLoadList list = decodeServerLoads(report, known);
        const bool plausible = std::all_of(list.begin(), list.end(),
            [this](const auto& it) { return it.second.running <= connectionLimit(it.first); });
        if (plausible)
            m_loads.noteComplete(host, list, now, now);
        else
            m_loads.noteMalformed();
    } catch (const std::exception&) {
        m_loads.noteMalformed();
    }
}

void Gateway::lenderReported(const std::string& server, const std::string& host, ServerLoadSample sample)
{
    if (!m_settings.evenLoad || m_servers.count(server) == 0)
        return;
    if (sample.running > connectionLimit(server)) {
        m_loads.noteMalformed();
        return;
    }
    sample.coversReceiver = true;
    const Instant now = m_clock();
    m_loads.note(server, host, sample, now, now);
}

} // namespace plantainwall
