#include "server_prober.h"
#include <algorithm>

namespace plantainwall {

/// Connection over which one server is polled.
struct ServerProber::Probe final : BackendObserver {
    Probe(ServerProber& prober, ServerEntry server)
        : prober(prober)
        , server(std::move(server))
    {
    }

    void backendOpened() override { open = true; }

    void backendReplied(BackendReply) override
    {
        requestedAt.reset();
        reached();
    }

    void backendClosed(BackendCloseReason reason) override
    {
        const Instant now = prober.m_clock();
        // Only a process that runs counts its connections.
        if (reason == BackendCloseReason::ConnectionLimit)
            reached();
        else if (!result.silentSince)
            result.silentSince = waitingSince(now);
        close(now);
    }

    void reached()
    {
        result.reachedAt = prober.m_clock();
        result.silentSince.reset();
    }

    void close(Instant now)
    {
        open = false;
        requestedAt.reset();
        reconnectAt = now + prober.m_settings.reconnectInterval;
        if (link)
            prober.m_closed.push_back(std::move(link));
    }

    Instant waitingSince(Instant now) const { return !open ? openedAt : requestedAt.value_or(now); }

    ServerProber& prober;
    ServerEntry server;
    std::unique_ptr<BackendLink> link;
    bool open = false;
    Instant openedAt;
    Instant reconnectAt;
    std::optional<Instant> requestedAt; ///< Of the unanswered status request.
    Instant lastRequestAt;
    Instant wantedUntil;
    ProbeResult result;
};

ServerProber::ServerProber(Gateway& gateway, BackendConnector& connector, Gateway::Clock clock, std::string host)
    : m_gateway(gateway)
    , m_connector(connector)
    , m_clock(std::move(clock))
    , m_host(std::move(host))
{
}

ServerProber::~ServerProber() = default;

std::optional<ServerEntry> ServerProber::findProcess(const std::string& id, uint64_t startedUnixMs) const
{
    const ServerEntry* const registered = m_gateway.directory().find(id);
    if (registered != nullptr && registered->startedUnixMs == startedUnixMs)
        return *registered;
    for (const LapsedServer* const server : m_gateway.directory().lapsed()) {
        if (server->entry.id == id && server->entry.startedUnixMs == startedUnixMs && !server->ended)
            return server->entry;
    }
    return std::nullopt;
}

std::optional<ProbeResult> ServerProber::probe(const std::string& id, uint64_t startedUnixMs)
{
    const Instant now = m_clock();
    auto it = m_probes.find({ id, startedUnixMs });
    if (it == m_probes.end()) {
        const std::optional<ServerEntry> server = findProcess(id, startedUnixMs);
        if (!server || m_probes.size() >= m_settings.maxServers)
            return std::nullopt;
        it = m_probes.emplace(std::make_pair(id, startedUnixMs), std::make_unique<Probe>(*this, *server)).first;
        poll(*it->second, now);
    }
    it->second->wantedUntil = now + m_settings.keepTime;
    return it->second->result;
}

bool ServerProber::reachesAny() const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
        [](const auto& probe) { return probe.second->result.reachedAt && !probe.second->result.silentSince; });
}

void ServerProber::tick()
{
    m_closed.clear();
    const Instant now = m_clock();
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        if (now >= it->second->wantedUntil) {
            it = m_probes.erase(it);
            continue;
        }
        poll(*it->second, now);
        ++it;
    }
}

void ServerProber::poll(Probe& probe, Instant now)
{
    if (!probe.link) {
        if (now < probe.reconnectAt || m_gateway.configuration() == nullptr)
            return;
        const GatewayConfiguration& configuration = *m_gateway.configuration();
        const std::string customer = configuration.customers.empty() ? m_host : configuration.customers.begin()->first;
        probe.open = false;
        probe.openedAt = now;
        probe.link = m_connector.open(probe.server, customer, probe);
        return;
    }
    const Instant waitingSince = probe.waitingSince(now);
    if (now - waitingSince > m_settings.answerTimeout && !probe.result.silentSince)
        probe.result.silentSince = waitingSince;
    if (now - waitingSince > m_settings.replaceAfter) {
        probe.close(now);
        return;
    }
    if (!probe.open || probe.requestedAt || now - probe.lastRequestAt < m_settings.pollInterval)
        return;
    BackendCommand command;
    command.kind = BackendCommandKind::Status;
    probe.requestedAt = now;
    probe.lastRequestAt = now;
    probe.link->send(command);
}

} // namespace plantainwall
